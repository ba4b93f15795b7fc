package eject

import (
	"testing"
	"time"
)

// TestTrialWithoutVerdict guards against a target that gets no requests for good: the request on trial ended in a way that
// says nothing about the target, and the trial was still taken for running.
func TestTrialWithoutVerdict(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New()
	for range 10 {
		s.Report(now, "a", Lost, time.Second)
	}
	if s.State("a") != Ejected {
		t.Fatalf("target is %s after ten lost attempts", s.State("a"))
	}
	now = now.Add(maxEjection)
	if !s.Usable(now, "a") {
		t.Fatal("no trial after the ejection")
	}
	s.Begin("a")
	if s.Usable(now, "a") {
		t.Error("a second request during the trial")
	}
	s.Inconclusive("a")
	if !s.Usable(now, "a") || s.State("a") != Trial {
		t.Error("no other trial after one without a verdict")
	}
}
