package workerstand

import (
	"errors"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
	"pgregory.net/rapid"
)

// history is an Observer that records which attempts run and which ended.
type history struct {
	running map[attemptKey]bool
	ended   map[attemptKey]workerapi.State
	last    time.Time
}

func (h *history) Started(_ string, c workerapi.Command, _ time.Time) {
	h.running[attemptKey{c.Task, c.Attempt}] = true
}

func (h *history) Ended(_, task string, n int, s workerapi.State, at time.Time) {
	delete(h.running, attemptKey{task, n})
	h.ended[attemptKey{task, n}] = s
	h.last = at
}

// TestLeaseEndsWork checks that nothing runs past a lease length after the reading the owner echoed,
// whatever the worker's pauses and however late syncs arrive.
func TestLeaseEndsWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const lease = time.Second
		now := time.Unix(100, 0)
		h := &history{running: map[attemptKey]bool{}, ended: map[attemptKey]workerapi.State{}}
		w := NewAt(announce.Announcement{Name: "w", Incarnation: 1, Capacity: resource.Vector{MilliCPU: 4000}}, h, now)
		first, err := w.Sync(now, workerapi.SyncRequest{Cell: "c", Epoch: 1, Seq: 1})
		if err != nil {
			t.Fatal(err)
		}
		read := now
		echo, seq := first.ClockMS, int64(1)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0:
				w.Pause(now)
			case 1:
				w.Resume(now)
			default:
				seq++
				req := workerapi.SyncRequest{
					Cell: "c", Epoch: 1, Seq: seq, EchoMS: echo, Incarnation: 1, LeaseMS: lease.Milliseconds(),
					Commands: []workerapi.Command{{Op: workerapi.OpStart, Task: "t", Attempt: int(seq)}},
				}
				resp, err := w.Sync(now, req)
				if err == nil && rapid.Bool().Draw(t, "heard") {
					echo, read = resp.ClockMS, now
				}
			}
			w.Advance(now)
			if len(h.running) > 0 && now.Sub(read) > lease {
				t.Fatalf("%d attempts run %v after the echoed reading", len(h.running), now.Sub(read))
			}
		}
	})
}

// TestSpeed checks that a throttle slows work, a checkpoint keeps it, and a crash ends it.
func TestSpeed(t *testing.T) {
	now := time.Unix(100, 0)
	h := &history{running: map[attemptKey]bool{}, ended: map[attemptKey]workerapi.State{}}
	w := NewAt(announce.Announcement{Name: "w", Incarnation: 1, Capacity: resource.Vector{MilliCPU: 4000}}, h, now)
	var seq int64
	var resp workerapi.SyncResponse
	sync := func(cmds ...workerapi.Command) {
		t.Helper()
		seq++
		req := workerapi.SyncRequest{
			Cell: "c", Epoch: 1, Seq: seq, EchoMS: resp.ClockMS, Incarnation: 1, LeaseMS: time.Minute.Milliseconds(), Commands: cmds,
		}
		var err error
		if resp, err = w.Sync(now, req); err != nil {
			t.Fatal(err)
		}
	}
	size := resource.Vector{MilliCPU: 1000}
	work := workerapi.Command{Op: workerapi.OpStart, Task: "t", Attempt: 1, Declare: size, Reserve: size, RunMS: 1000}
	sync()
	sync(work)
	now = now.Add(500 * time.Millisecond)
	sync(workerapi.Command{Op: workerapi.OpCheckpoint, Task: "t", Attempt: 1}, workerapi.Command{Op: workerapi.OpThrottle, Task: "t", Attempt: 1, Percent: 50})
	now = now.Add(900 * time.Millisecond)
	sync()
	if len(resp.Attempts) != 1 || resp.Attempts[0].State != workerapi.StateRunning || resp.Attempts[0].Checkpoint == nil {
		t.Fatalf("throttled work stands as %+v", resp.Attempts)
	}
	if done := resp.Attempts[0].Checkpoint.DoneMS; done != 500 {
		t.Errorf("checkpoint has %d ms of work", done)
	}
	now = now.Add(200 * time.Millisecond)
	w.Advance(now)
	want := now.Add(-100 * time.Millisecond)
	if h.ended[attemptKey{"t", 1}] != workerapi.StateFinished || !h.last.Equal(want) {
		t.Errorf("ended %v at %v, want %v", h.ended, h.last, want)
	}
	work.Attempt = 2
	sync(work)
	w.Crash(now)
	if len(h.running) != 0 {
		t.Error("work runs on a crashed worker")
	}
	if _, err := w.Sync(now, workerapi.SyncRequest{Cell: "c", Epoch: 2, Seq: 1}); !errors.Is(err, ErrDown) {
		t.Errorf("crashed worker answers %v", err)
	}
	w.Restart(now)
	if r, err := w.Sync(now, workerapi.SyncRequest{Cell: "c", Epoch: 2, Seq: 1}); err != nil || r.Incarnation == 1 || len(r.Attempts) != 0 {
		t.Errorf("restarted worker answers %+v, %v", r, err)
	}
}
