package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/admit"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/credit"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/route"
)

// TestImpatientTrial guards against a target that gets no requests for good: the caller of its trial had less time than a
// request takes, which says nothing about the target, and the trial never ended.
func TestImpatientTrial(t *testing.T) {
	now := time.Unix(1000, 0)
	book := credit.New(credit.Options{
		Self: "a", Granters: []string{"a"}, Incarnation: 1, Lease: CreditLease, MaxAttempt: MaxAttempt, Margin: creditMargin,
	}, now.Add(-time.Minute))
	c := NewCore(Options{DataCentre: "dc1", MaxAttempt: MaxAttempt, Policy: route.Default, Seed: 1, Queue: admit.Limits{Requests: 8, Bytes: 1000}}, book)
	c.SetTargets(now, []announce.Member{{
		Announcement: announce.Announcement{Role: announce.RoleTarget, Name: "t", Address: "t", DataCentre: "dc1", Service: "holds", Slots: 1, Connections: 4},
		Expires:      now.Add(time.Hour),
	}})
	n := 0
	request := func(budget, took time.Duration, res Result) bool {
		n++
		a := c.Submit(now, Request{ID: fmt.Sprint(n), Service: "holds", Workspace: "w", Deadline: now.Add(budget)})
		if len(a.Starts) != 1 {
			return false
		}
		now = now.Add(took)
		c.Ended(now, a.Starts[0], res)
		c.FreeSlot(now, "holds", a.Starts[0].Token)
		return true
	}
	good := Result{Answered: true, Status: 200}
	lost := Result{Proof: retry.None, Reason: "no answer"}
	for range 10 {
		request(5*time.Second, time.Second, good)
	}
	for range 20 {
		request(5*time.Second, 4*time.Second, lost)
	}
	now = now.Add(15 * time.Second)
	if !request(100*time.Millisecond, 100*time.Millisecond, lost) {
		t.Fatal("no trial after the ejection")
	}
	now = now.Add(time.Second)
	if !request(5*time.Second, time.Second, good) {
		t.Error("no other trial after one whose caller had too little time")
	}
}
