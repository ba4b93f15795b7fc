package configrun

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// followCheckInterval is how often a process that does not follow the log checks whether it should.
const followCheckInterval = 500 * time.Millisecond

// Pace implements follow.Pacer. A ready process that is not to follow the log polls it only after a random
// delay from 0.5 to 1.5 times Options.PollInterval, so that the reads of all processes together do not grow with
// their number. It returns early when the process is to follow the log.
func (d *Driver) Pace(ctx context.Context) {
	if !d.Ready() || d.opt.Follows() {
		return
	}
	nextPoll := time.Now().Add(d.opt.PollInterval/2 + rand.N(d.opt.PollInterval))
	t := time.NewTicker(followCheckInterval)
	defer t.Stop()
	for time.Now().Before(nextPoll) && !d.opt.Follows() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// LogOK reports whether the newest read of the log succeeded or found that its offset has expired.
func (d *Driver) LogOK() bool { return d.logOK.Load() }

// monitoredLog reads the driver's log and records whether the newest read succeeded. An expired offset
// counts as a success, since the log responded.
type monitoredLog struct{ d *Driver }

// Read implements logsvc.Reader.
func (w monitoredLog) Read(ctx context.Context, stream string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Batch, error) {
	b, err := w.d.logClient.Read(ctx, stream, from, limit, wait)
	var expired *logsvc.ExpiredError
	w.d.logOK.Store(err == nil || errors.As(err, &expired))
	return b, err
}
