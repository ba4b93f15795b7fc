package sched

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
)

// advised returns a job of one step on a queue that takes advice.
func advised(id string, priority int, s job.Step) *job.Spec {
	spec := one(id, priority, s)
	spec.Policy.Advice = &job.Advice{DecideMS: 20, EachMS: 5, ValidMS: 3000}
	return spec
}

// submitFillers submits jobs of one filler each and runs the round that wants approvals for them.
func submitFillers(now time.Time, c *Core, n int) time.Time {
	for i := range n {
		c.Submit(now, advised(fmt.Sprintf("fill%02d", i), 2, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000 + int64(i), Filler: true}))
	}
	now = now.Add(fillerInterval)
	settle(now, c)
	return now
}

// nextStep returns the step of the request to send next; empty for none.
func nextStep(now time.Time, c *Core) string {
	q, _ := c.NextApprovalRequest(now)
	return q.Step
}

// TestLastingTaskIsApprovedBeforeFillers guards against a task that lasts and stands still for nine seconds with room for it:
// the policy service was asked about dozens of fillers first, whose requests had been queued before.
func TestLastingTaskIsApprovedBeforeFillers(t *testing.T) {
	c := pool(epoch0, "a", "b", "c")
	now := submitFillers(epoch0, c, 20)
	if _, ok := c.NextApprovalRequest(now); !ok {
		t.Fatal("no request for the fillers")
	}
	c.Submit(now, advised("serve", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
	now = now.Add(fillerInterval)
	settle(now, c)
	if got := nextStep(now, c); got != "serve.0.0" {
		t.Errorf("the next request is about %q, want the step that lasts", got)
	}
}

// TestIdleJobIsApprovedBeforeActiveOne guards against a job with nothing running that waits for the approvals of further tasks of
// a job that ranks above it and has some running.
func TestIdleJobIsApprovedBeforeActiveOne(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, advised("active", 0, job.Step{Count: 5, Demand: cores(1), EstimateMS: 60_000}))
	settle(now, c)
	approveAll(now, c)
	var rows []link.RunStatus
	for _, s := range started(settle(now, c))["a"] {
		rows = append(rows, link.RunStatus{RunRef: s.RunRef})
	}
	c.Report(now, "a", link.Listing{Running: rows})
	c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, link.Listing{})
	now = now.Add(fillerInterval)
	c.Submit(now, advised("idle", 2, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	settle(now, c)
	var got []string
	for _, q := range allRequests(now, c) {
		got = append(got, q.Step)
	}
	if want := []string{"idle.0.0", "active.0.0"}; !slices.Equal(got, want) {
		t.Errorf("requests about %v, want %v", got, want)
	}
}

// TestLongIdleJobIsApprovedFirst guards against a job with nothing running that newer ones overtake at the policy service again
// and again, since they rank above it.
func TestLongIdleJobIsApprovedFirst(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, advised("old", 2, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	settle(now, c)
	now = now.Add(time.Second)
	c.Submit(now, advised("new", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	settle(now, c)
	if got := nextStep(now, c); got != "old.0.0" {
		t.Errorf("the next request is about %q, want the job that has stood still longer", got)
	}
}

// TestLowRankedStepIsApprovedInTheEnd guards against a filler that is never approved while steps that last come up all the time.
func TestLowRankedStepIsApprovedInTheEnd(t *testing.T) {
	c := pool(epoch0, "a", "b", "c")
	now := submitFillers(epoch0, c, 1)
	for i := range 2 * longestWaitShare {
		c.Submit(now, advised(fmt.Sprintf("serve%02d", i), 0, job.Step{Count: 1, Demand: cores(0.1), LongRunning: true}))
		now = now.Add(fillerInterval)
		settle(now, c)
		if nextStep(now, c) == "fill00.0.0" {
			return
		}
	}
	t.Errorf("the filler isn't asked about within %d requests", 2*longestWaitShare)
}

// TestApprovalNeededNoMoreIsDropped guards against requests about jobs that have ended, or that approved workers have room for by
// now, that keep the policy service busy.
func TestApprovalNeededNoMoreIsDropped(t *testing.T) {
	c := pool(epoch0, "a", "b")
	now := submitFillers(epoch0, c, 3)
	c.Cancel(now, "fill00")
	s := c.jobs["fill01"].occurrences[0].steps[0]
	s.tickets = map[string]ticket{"a": {text: "t", until: now.Add(time.Minute)}}
	var got []string
	for _, q := range allRequests(now, c) {
		got = append(got, q.Step)
	}
	if want := []string{"fill02.0.0"}; !slices.Equal(got, want) {
		t.Errorf("requests about %v, want %v", got, want)
	}
}

// TestApprovalRequestIsNoWiderThanNeeded guards against calls that take long since a step with one waiting task asks about all
// workers.
func TestApprovalRequestIsNoWiderThanNeeded(t *testing.T) {
	now := epoch0
	ids := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	c := pool(now, ids...)
	c.Submit(now, advised("narrow", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	c.Submit(now, advised("wide", 0, job.Step{Count: 4, Demand: cores(3), EstimateMS: 1000}))
	settle(now, c)
	want := map[string]int{"narrow.0.0": minRequestWorkers, "wide.0.0": len(ids)}
	for _, q := range allRequests(now, c) {
		if len(q.Workers) != want[q.Step] {
			t.Errorf("the request about %s names %d workers, want %d", q.Step, len(q.Workers), want[q.Step])
		}
		delete(want, q.Step)
	}
	if len(want) > 0 {
		t.Errorf("no request about %v", want)
	}
}

// TestDeniedWorkersAreReplaced guards against a step that stands still after a narrow request was denied: the other workers must
// be asked about next.
func TestDeniedWorkersAreReplaced(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b", "c", "d", "e", "f", "g", "h")
	c.Submit(now, advised("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000}))
	for range 4 {
		now = now.Add(placementRetryDelay)
		if len(started(settle(now, c))) > 0 {
			return
		}
		q, _ := c.NextApprovalRequest(now)
		a := Approval{Tickets: map[string]string{}, Valid: 3 * time.Second}
		if slices.Contains(q.Workers, "h") {
			a.Tickets["h"] = "t"
		}
		c.HandleApproval(now, q, a, nil)
	}
	t.Error("the task isn't started although one worker would be approved")
}

// TestApprovedWorkerWithEarlierRunIsNoRoom guards against a task that is never started again: the only approved worker may still
// have an earlier run of it, and nobody asked about others while that one had room.
func TestApprovedWorkerWithEarlierRunIsNoRoom(t *testing.T) {
	now := epoch0
	c := pool(now, "a")
	c.Submit(now, advised("job", 0, job.Step{Count: 1, Demand: cores(1), EstimateMS: 1000, Speculative: true}))
	settle(now, c)
	approveAll(now, c)
	_, ref := firstStart(t, settle(now, c))
	c.Attach(now, "node-b", link.Worker{ID: "b", Service: "pool", Capacity: big}, link.Listing{})
	c.convertToCopy(c.workers["a"], c.task(ref.Task))
	now = now.Add(placementRetryDelay)
	settle(now, c)
	if q, _ := c.NextApprovalRequest(now); !slices.Equal(q.Workers, []string{"b"}) {
		t.Errorf("request %+v, want one about the other worker", q)
	}
}

// TestFailedApprovalLeavesTheHead guards against a step whose requests fail that keeps the policy service from the others: each
// call may take half a second until it times out.
func TestFailedApprovalLeavesTheHead(t *testing.T) {
	now := epoch0
	c := pool(now, "a", "b")
	c.Submit(now, advised("serve", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
	failed, total := time.Duration(0), 10*time.Second
	for end := now.Add(total); now.Before(end); now = now.Add(placementRetryDelay) {
		settle(now, c)
		if q, ok := c.NextApprovalRequest(now); ok {
			now = now.Add(500 * time.Millisecond)
			failed += 500 * time.Millisecond
			c.HandleApproval(now, q, Approval{}, errors.New("timed out"))
		}
	}
	if failed > total*2/5 || failed < total/10 {
		t.Errorf("failed calls take %s of %s", failed, total)
	}
}

// TestApprovalLogSaysWait checks that the log line of an approval says how long the step waited for the policy service, and its
// place in the order.
func TestApprovalLogSaysWait(t *testing.T) {
	c := pool(epoch0, "a", "b")
	now := submitFillers(epoch0, c, 2)
	c.Submit(now, advised("serve", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true}))
	settle(now, c)
	now = now.Add(200 * time.Millisecond)
	c.Decisions()
	approveAll(now, c)
	for _, want := range []string{"waited=200ms class=lasting place=1/3", "waited=200ms class=idle place=1/2"} {
		if !slices.ContainsFunc(c.decisions, func(d DecisionRecord) bool { return strings.Contains(d.Reason, want) }) {
			t.Errorf("no decision says %q: %+v", want, c.decisions)
		}
	}
}

// keptPool returns workers a, which is kept for a suspect of the step kept.0.0 and whose runs haven't settled, and b, and the steps
// of that job and of another suspect, which the policy service has approved for a and for b.
func keptPool(now time.Time, valid time.Duration) (c *Core, kept, other *step) {
	c = pool(now, "a", "b")
	c.Submit(now, one("busy", 0, job.Step{Count: 1, Demand: cores(3), EstimateMS: 10_000}))
	settle(now, c)
	suspect := func(id, worker string) *step {
		c.Submit(now, advised(id, 0, job.Step{Count: 1, Demand: cores(0.5), EstimateMS: 1000}))
		s := c.jobs[id].occurrences[0].steps[0]
		c.addCrash(s.tasks[0], crash{Worker: "gone", Run: 1})
		s.tickets, s.denied = map[string]ticket{worker: newTicket(now, "t", valid)}, map[string]bool{}
		return s
	}
	kept, other = suspect("kept", "a"), suspect("other", "b")
	c.workers["a"].isolated = kept.tasks[0]
	return c, kept, other
}

// TestSuspectAsksAboutKeptWorker guards against suspects that queue for a worker of their own: they may start beside the one that a
// worker is kept for, but no one asked about that worker.
func TestSuspectAsksAboutKeptWorker(t *testing.T) {
	now := epoch0
	c, _, other := keptPool(now, time.Minute)
	now = now.Add(placementRetryDelay)
	settle(now, c)
	if q, _ := c.NextApprovalRequest(now); q.Step != other.name() || !slices.Equal(q.Workers, []string{"a"}) {
		t.Errorf("request %+v, want one of %s about the kept worker", q, other.name())
	}
}

// TestTicketOfKeptWorkerIsRenewed guards against a worker that is kept in vain: the ticket expires before the runs on it have
// settled, so that the suspect waits for another worker.
func TestTicketOfKeptWorkerIsRenewed(t *testing.T) {
	now := epoch0
	valid := 3 * time.Second
	c, kept, _ := keptPool(now, valid)
	renewed := func() bool {
		settle(now, c)
		return slices.ContainsFunc(allRequests(now, c), func(q ApprovalRequest) bool {
			return q.Step == kept.name() && slices.Equal(q.Workers, []string{"a"})
		})
	}
	now = now.Add(valid - ticketMargin - renewalLead - placementRetryDelay)
	if renewed() {
		t.Error("request about the kept worker while its ticket lasts")
	}
	now = now.Add(placementRetryDelay)
	if !renewed() {
		t.Error("no request about the kept worker while its ticket is about to expire")
	}
}

// TestShortTicketIsRenewedSeldom guards against a step that asks about its kept worker again after each response, since its tickets
// are always about to expire.
func TestShortTicketIsRenewedSeldom(t *testing.T) {
	now := epoch0
	valid := ticketMargin + renewalLead/2
	c, kept, _ := keptPool(now, valid)
	asked := 0
	for end := now.Add(2 * time.Second); now.Before(end); now = now.Add(placementRetryDelay) {
		settle(now, c)
		for q, ok := c.NextApprovalRequest(now); ok; q, ok = c.NextApprovalRequest(now) {
			a := Approval{Tickets: map[string]string{}, Valid: valid}
			for _, id := range q.Workers {
				a.Tickets[id] = "t"
			}
			c.HandleApproval(now, q, a, nil)
			if q.Step == kept.name() {
				asked++
			}
		}
	}
	if asked < 2 || asked > 10 {
		t.Errorf("%d requests about the kept worker in 2 s", asked)
	}
}
