package owner

import (
	"errors"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/safe"
	"github.com/crocusspring/crocusspring/internal/sched"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
)

// TestPanicEndsOwnership guards against a message that ends the owner's process: a panic while it is handled must only
// make the next round fail, with which the cell is loaded anew, and leave no lock held.
func TestPanicEndsOwnership(t *testing.T) {
	c := New(sched.Options{}, memstore.New(), nil, nil, tally.NoopScope, logs.Discard())
	var panicked *safe.PanicError
	err := c.protect("handle a report", func() error {
		c.mu.Lock()
		defer c.mu.Unlock()
		panic("a report that isn't handled")
	})
	if !errors.As(err, &panicked) {
		t.Fatalf("error %v, want a panic", err)
	}
	if _, _, err := c.schedule(); !errors.As(err, &panicked) {
		t.Errorf("next round: %v, want the panic", err)
	}
}
