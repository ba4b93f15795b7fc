package wallclock

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestJumpsOfAThird answers for the pattern "the time of day jumps by seconds on a third of the machines, forward and
// back": whichever clocks jump, the estimate stays within the differences of the others.
func TestJumpsOfAThird(t *testing.T) {
	const (
		processes = 31
		spreadMS  = 40
		jumpMS    = 5000
	)
	rapid.Check(t, func(rt *rapid.T) {
		began := time.Unix(1_800_000_000, 0)
		e := New(began)
		offset := make([]int64, processes)
		for i := range offset {
			offset[i] = rapid.Int64Range(-spreadMS, spreadMS).Draw(rt, "offset")
		}
		for round := range 10 {
			now := began.Add(time.Duration(round) * 2 * time.Second)
			first := rapid.IntRange(0, processes-1).Draw(rt, "first")
			for i := range processes {
				ms := now.UnixMilli() + offset[i]
				if jumped := (i - first + processes) % processes; jumped < processes/3 {
					ms += rapid.SampledFrom([]int64{-jumpMS, jumpMS}).Draw(rt, "jump")
				}
				e.Observe(now, fmt.Sprint(i), ms)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 1900).Draw(rt, "later")) * time.Millisecond)
			if off := e.UnixMS(now) - now.UnixMilli(); off < -spreadMS || off > spreadMS {
				rt.Fatalf("round %d: estimate is off by %d ms", round, off)
			}
		}
	})
}

// TestOwnJump checks that a jump of the process's own clock changes nothing, and that readings expire.
func TestOwnJump(t *testing.T) {
	began := time.Now()
	e := New(began)
	if got := e.UnixMS(began); got != began.UnixMilli() {
		t.Errorf("without readings %d, want %d", got, began.UnixMilli())
	}
	want := began.UnixMilli()
	for i := range 3 {
		e.Observe(began, fmt.Sprint(i), want)
	}
	// Observe and UnixMS use the steady reading of their times only, which Add changes like the time of day.
	e.Observe(began.Add(time.Second), "0", want+1000+7000)
	if got := e.UnixMS(began.Add(2 * time.Second)); got != want+2000 {
		t.Errorf("estimate moved by %d ms", got-want-2000)
	}
	late := began.Add(voteLifetime + 2*time.Second)
	if got := e.UnixMS(late); got != late.UnixMilli() {
		t.Errorf("expired readings still count: %d, want %d", got, late.UnixMilli())
	}
}
