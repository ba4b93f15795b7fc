package guard

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
)

// TestSettledStartAfterRebirth guards against a start that was held up and settled by a stop, and is carried out by the next
// incarnation of the same ID: that one knows nothing of the stop, and the task runs elsewhere.
func TestSettledStartAfterRebirth(t *testing.T) {
	c := newRebornCore(t)
	unanswered := ref(1, 1)
	answer(c, 1100, "w@10", link.RunStatus{RunRef: ref(0, 1)})
	for _, o := range c.DueStops() {
		c.StopAnswered(o.Start.RunRef, nil)
	}
	answer(c, 1200, "w@10", link.RunStatus{RunRef: ref(0, 1)})
	if absent := c.Report(1200, nil, false).Ended; len(absent) != 1 || absent[0].RunRef != unanswered {
		t.Fatalf("absent %v, want the start without an answer", absent)
	}
	answer(c, 4000, "w@20")
	stopped := false
	for _, o := range c.DueStops() {
		stopped = stopped || o.Start.RunRef == unanswered
	}
	if !stopped || !c.Settling() {
		t.Error("the next incarnation isn't told to refuse the run")
	}
	// A start that was sent long ago isn't on its way any more.
	c = newRebornCore(t)
	answer(c, 1000+2*maxLateMS, "w@20")
	if _, late := c.lateStarts[unanswered]; late {
		t.Error("a start of a minute ago is still taken for one on its way")
	}
}

// TestFirstAnswerOfBirth guards against calls to an earlier birth that are carried out in the next: its first answer may be to a poll
// with the token that they have too, so that nothing is reported of it, started there or acknowledged before it has answered a poll
// with a higher one.
func TestFirstAnswerOfBirth(t *testing.T) {
	c := newRebornCore(t)
	c.StartAnswered(ref(1, 1), nil, true, "late")
	c.StartAnswered(ref(2, 1), nil, true, "late")
	c.Report(1010, nil, false)
	early, _ := c.NextPoll(1020, time.Second)
	first := Listing{Incarnation: "w@20", ClockMS: 10, Token: early.Token}
	for range 2 {
		c.ObserveListing(1100, c.Resolvable(), first)
	}
	if up := c.Report(1100, &first, true); up.Inventory || len(up.EndedIncarnations) > 0 {
		t.Errorf("reported %+v of a birth that has answered only to the token of the one before", up)
	}
	if _, ok := c.BeginStart(1100, start(5, 1)); ok {
		t.Error("a run was started in a birth that has answered only to the token of the one before")
	}
	q, _ := c.NextPoll(1100, time.Second)
	if q.Token <= early.Token || q.UntilMS != 0 || q.AckedEnd != 0 || q.Wait != 0 {
		t.Errorf("poll %+v after one with token %d, want a higher one, without lease, acknowledgement or wait", q, early.Token)
	}
	c.ObserveListing(1110, c.Resolvable(), Listing{Incarnation: "w@10", ClockMS: 1090, Token: early.Token})
	first.Token = q.Token
	c.ObserveListing(1120, c.Resolvable(), first)
	if up := c.Report(1120, nil, false); len(up.EndedIncarnations) != 1 || up.EndedIncarnations[0] != "w@10" {
		t.Errorf("reported the end of %v once the birth has answered to the higher token, want w@10", up.EndedIncarnations)
	}
	if c.incarnation != "w@20" || c.Token() != q.Token {
		t.Errorf("incarnation %s, token %d; want w@20 and %d", c.incarnation, c.Token(), q.Token)
	}
}

// TestTokensStayInBounds guards against tokens that JSON readers round, that run into the next epoch, or that are lower than those of
// an earlier owner.
func TestTokensStayInBounds(t *testing.T) {
	c := NewCore(Options{Node: "n", StartedUnix: 1_800_000_000})
	c.ExtendLease(link.OwnerMessage{Epoch: 1<<32 - 2})
	for range 100 {
		before := c.Token()
		c.Fenced(before)
		if now := c.Token(); now < before || c.births.leap < 0 {
			t.Fatalf("token %d after %d", now, before)
		}
	}
	last := c.Token()
	if c.Fenced(last - 1); c.Token() != last {
		t.Error("the refusal of an earlier call raises the token")
	}
	c.ExtendLease(link.OwnerMessage{Epoch: 1<<32 - 1})
	if now := c.Token(); now <= last || now >= 1<<53 || !c.UnderEpoch(now) || c.UnderEpoch(last) {
		t.Errorf("token %d under the next epoch after %d", now, last)
	}
}

// TestRebornUnderEarlierClock guards against a worker that is lost for good: it crashes after its clock was set back and starts again
// under its ID, so that its birth seems to be the earlier one, and its answers counted as delayed ones.
func TestRebornUnderEarlierClock(t *testing.T) {
	c := newRebornCore(t)
	c.StartAnswered(ref(1, 1), nil, true, "late")
	c.StartAnswered(ref(2, 1), nil, true, "late")
	delayed := Listing{Incarnation: "w@10", ClockMS: 1090, Token: c.Token(), Running: []link.RunStatus{{RunRef: ref(0, 1)}}}
	c.PollFailed(1050)
	answer(c, 1100, "w@5")
	c.Describe(1110, worker("w@5"), 1)
	if up := c.Report(1120, nil, false); len(up.EndedIncarnations) != 1 || up.EndedIncarnations[0] != "w@10" || !c.Described() {
		t.Fatalf("ended %v, incarnation %s; want the end of w@10", up.EndedIncarnations, c.incarnation)
	}
	c.ObserveListing(1130, c.Resolvable(), delayed)
	c.Describe(1140, worker("w@10"), 2)
	answer(c, 1150, "w@5")
	c.ExtendLease(link.OwnerMessage{Epoch: 1, EchoMS: 1150, Worker: "w@5"})
	if _, ok := c.BeginStart(1160, start(7, 1)); !ok || c.incarnation != "w@5" {
		t.Errorf("no run starts in the new birth, incarnation %s", c.incarnation)
	}
}
