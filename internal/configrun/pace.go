package configrun

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// turnEvery is how often a process that does not follow the log asks whether it should.
const turnEvery = 500 * time.Millisecond

// Pace implements follow.Pacer. While others follow the log in its place, this process looks at the log
// only now and then, so that the reads of all processes together don't grow with their number.
func (d *Driver) Pace(ctx context.Context) {
	if !d.Ready() || d.opt.Follows() {
		return
	}
	look := time.Now().Add(d.opt.Look/2 + rand.N(d.opt.Look))
	t := time.NewTicker(turnEvery)
	defer t.Stop()
	for time.Now().Before(look) && !d.opt.Follows() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// LogOK reports whether the newest read of the log succeeded.
func (d *Driver) LogOK() bool { return d.logOK.Load() }

// watched is the log as the driver reads it; it notes whether reads succeed.
type watched struct{ d *Driver }

// Read implements logsvc.Reader.
func (w watched) Read(ctx context.Context, stream string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Batch, error) {
	b, err := w.d.log.Read(ctx, stream, from, limit, wait)
	var gone *logsvc.ExpiredError
	w.d.logOK.Store(err == nil || errors.As(err, &gone))
	return b, err
}
