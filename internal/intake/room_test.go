package intake

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/sched"
)

// largeJob returns a job that takes about 4 kB of memory.
func largeJob(n int) *job.Spec {
	return &job.Spec{ID: fmt.Sprintf("job-%d", n), Payload: strings.Repeat("x", 2000), Steps: []job.Step{{Count: 1}}}
}

// submitted submits large jobs, numbered from first, until one isn't accepted or there are most, and returns how many were
// and the last error.
func (e *entry) submitted(ctx context.Context, first, most int) (int, error) {
	for n := range most {
		if err := e.Submit(ctx, largeJob(first+n)); err != nil {
			return n, err
		}
	}
	return most, nil
}

// TestOwnerWithoutRoom checks that an entry accepts no more than the owner has memory for, that a refused job was surely not
// stored, and that jobs are accepted again once there is room.
func TestOwnerWithoutRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newEntry(ctx)
		e.nodes.limited = true
		n, err := e.submitted(ctx, 0, 1000)
		if !errors.Is(err, ErrNotAccepted) || !errors.Is(err, errNoRoom) {
			t.Errorf("error %v", err)
		}
		size := largeJob(0).Memory()
		if most := int(roomSlack / size); n > most || n < most-1 {
			t.Errorf("%d jobs of %d bytes are accepted without room", n, size)
		}
		if got := len(e.stored(t)); got != n {
			t.Errorf("%d jobs are stored, %d were accepted", got, n)
		}
		asked := e.nodes.roomAsked
		if _, err := e.submitted(ctx, 1000, 1); err == nil || e.nodes.roomAsked != asked {
			t.Errorf("the owner is asked again at once, %v", err)
		}
		e.nodes.room = 3 * largeJob(2000).Memory()
		time.Sleep(roomTTL)
		if n, err := e.submitted(ctx, 2000, 3); n != 3 {
			t.Errorf("%d jobs are accepted where there is room for 3, %v", n, err)
		}
		e.nodes.room = 0
		if err := e.Submit(ctx, largeJob(2003)); !errors.Is(err, ErrNotAccepted) {
			t.Errorf("a fourth job: %v", err)
		}
		cancel()
	})
}

// TestRoomIsSeldomAsked checks that an owner with room is asked once for many jobs.
func TestRoomIsSeldomAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		e := newEntry(ctx)
		const jobs = 1000
		e.nodes.limited, e.nodes.room = true, 1<<40
		if n, err := e.submitted(ctx, 0, jobs); n != jobs {
			t.Fatalf("%d jobs are accepted, %v", n, err)
		}
		if most := int(jobs*largeJob(0).Memory()/roomSlack) + 1; e.nodes.roomAsked > most {
			t.Errorf("the owner is asked %d times for %d jobs", e.nodes.roomAsked, jobs)
		}
		cancel()
	})
}

// TestRoomUnknown checks that jobs are accepted from an owner of a version that tells no limit, and up to a bound while the owner
// doesn't answer.
func TestRoomUnknown(t *testing.T) {
	for _, c := range []struct {
		name string
		err  error
		most int64
	}{{"no limit", sched.ErrNoLimit, 1 << 40}, {"no answer", errors.New("no answer"), roomSlack + blindSlack}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				e := newEntry(ctx)
				e.nodes.roomErr = c.err
				accepted := int64(0)
				for n := range 4000 {
					if e.Submit(ctx, largeJob(n)) == nil {
						accepted += largeJob(n).Memory()
					} else {
						time.Sleep(roomTTL)
					}
				}
				if accepted > c.most || accepted < min(c.most/2, 4000*largeJob(0).Memory()) {
					t.Errorf("jobs of %d bytes are accepted, at most %d are allowed", accepted, c.most)
				}
				cancel()
			})
		})
	}
}
