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
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"pgregory.net/rapid"
)

// history is what the caller and the targets observe of one request.
type history struct {
	req     Request
	running *Start
	proofs  []retry.Proof
	starts  int
	final   int
}

// model drives a core with random steps and records the history that is checked.
type model struct {
	t         *rapid.T
	core      *Core
	now       time.Time
	members   []announce.Member
	histories map[string]*history
	order     []string
	unfreed   []Start // attempts that may still be running after Ended
	running   map[string]int
	retries   int
	successes int
}

// newModel returns a core with a few live targets of one service.
func newModel(t *rapid.T) *model {
	m := &model{t: t, now: time.Unix(1000, 0), histories: map[string]*history{}, running: map[string]int{}}
	book := credit.New(credit.Options{
		Self: "a", Granters: []string{"a"}, Incarnation: 1, Lease: CreditLease, MaxAttempt: MaxAttempt, Margin: creditMargin,
	}, m.now.Add(-time.Minute))
	m.core = NewCore(Options{
		DataCentre: "dc1", MaxAttempt: MaxAttempt, Policy: route.Default, Seed: 1,
		Queue: admit.Limits{Requests: 8, Bytes: 1000},
	}, book)
	for i := range rapid.IntRange(1, 4).Draw(t, "targets") {
		m.members = append(m.members, announce.Member{
			Announcement: announce.Announcement{
				Role: announce.RoleTarget, Name: fmt.Sprint("target-", i), Address: "127.0.0.1:1", DataCentre: fmt.Sprint("dc", i),
				Service: "holds", Slots: rapid.IntRange(1, 3).Draw(t, "slots"), Connections: 8,
			},
			Expires: m.now.Add(time.Hour),
		})
	}
	m.apply(m.core.SetTargets(m.now, m.members))
	return m
}

// apply checks and records actions.
func (m *model) apply(a Actions) {
	for _, st := range a.Starts {
		m.started(st)
	}
	for _, f := range a.Finals {
		l := m.histories[f.Request]
		l.final++
		if l.running != nil {
			m.t.Fatalf("request %s ended while its attempt runs", f.Request)
		}
		ran := false
		for _, p := range l.proofs {
			ran = ran || !p.NotRun()
		}
		if (f.Outcome == targetapi.NotRun) == ran {
			m.t.Fatalf("request %s got %s after attempts with proofs %v", f.Request, f.Outcome, l.proofs)
		}
	}
}

// started checks and records one start.
func (m *model) started(st Start) {
	l := m.histories[st.Request]
	l.starts++
	if l.running != nil || l.final > 0 {
		m.t.Fatalf("request %s started again while it runs or after it ended", st.Request)
	}
	if n := len(l.proofs); n > 0 {
		m.retries++
		if !retry.Allowed(l.req.Kind, l.proofs[n-1]) {
			m.t.Fatalf("request of kind %d started again after proof %d", l.req.Kind, l.proofs[n-1])
		}
	}
	m.running[st.Target]++
	for _, mb := range m.members {
		if mb.Name != st.Target {
			continue
		}
		if mb.Leaving || m.running[st.Target] > mb.Slots {
			m.t.Fatalf("%s got a request: leaving %v, %d of %d slots in use", st.Target, mb.Leaving, m.running[st.Target], mb.Slots)
		}
	}
	if st.Until.After(l.req.Deadline) || st.Until.Sub(m.now) > MaxAttempt {
		m.t.Fatalf("attempt may run until %v, deadline %v", st.Until, l.req.Deadline)
	}
	l.running = &st
}

// arrive submits a random request.
func (m *model) arrive() {
	q := Request{
		ID: fmt.Sprint("r", len(m.order)), Service: "holds", Workspace: rapid.SampledFrom([]string{"w1", "w2"}).Draw(m.t, "workspace"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(m.t, "budget")) * time.Millisecond),
		Bytes:    rapid.IntRange(0, 300).Draw(m.t, "bytes"), Kind: retry.Kind(rapid.IntRange(0, 2).Draw(m.t, "kind")),
	}
	m.histories[q.ID] = &history{req: q}
	m.order = append(m.order, q.ID)
	m.apply(m.core.Submit(m.now, q))
}

// end ends a random running attempt with a random result.
func (m *model) end() {
	for _, id := range m.order {
		l := m.histories[id]
		if l.running == nil || rapid.IntRange(0, 2).Draw(m.t, "skip") == 0 {
			continue
		}
		st := *l.running
		l.running = nil
		res := Result{Answered: rapid.Bool().Draw(m.t, "answered"), Status: 200, Reason: "lost"}
		if res.Answered {
			l.final++
			m.successes++
		} else {
			res.Proof = retry.Proof(rapid.IntRange(0, 3).Draw(m.t, "proof"))
			l.proofs = append(l.proofs, res.Proof)
			res.ByDeadline = res.Proof == retry.Over && rapid.Bool().Draw(m.t, "by deadline")
		}
		if res.freesSlot() {
			m.running[st.Target]--
		} else {
			m.unfreed = append(m.unfreed, st)
		}
		m.apply(m.core.Ended(m.now, st, res))
		return
	}
}

// step advances the time and does one random operation.
func (m *model) step() {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 10, 100, 700}).Draw(m.t, "ms")) * time.Millisecond)
	switch rapid.SampledFrom([]string{"arrive", "arrive", "end", "end", "free", "tick", "cancel", "leave"}).Draw(m.t, "what") {
	case "arrive":
		m.arrive()
	case "end":
		m.end()
	case "free":
		if len(m.unfreed) > 0 {
			st := m.unfreed[0]
			m.unfreed = m.unfreed[1:]
			m.running[st.Target]--
			m.apply(m.core.FreeSlot(m.now, "holds", st.Token))
		}
	case "tick":
		m.apply(m.core.Tick(m.now))
	case "cancel":
		if len(m.order) > 0 {
			m.apply(m.core.Cancel(m.order[rapid.IntRange(0, len(m.order)-1).Draw(m.t, "request")]))
		}
	case "leave":
		i := rapid.IntRange(0, len(m.members)-1).Draw(m.t, "target")
		m.members[i].Leaving = !m.members[i].Leaving
		m.apply(m.core.SetTargets(m.now, m.members))
	}
}

// TestOneOutcome checks that every request ends exactly once with the correct outcome and never runs
// twice at the same time, and that limits, leaving targets and the retry budget are respected.
func TestOneOutcome(t *testing.T) {
	retried, answered := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			m.step()
		}
		for range len(m.order) {
			m.end()
		}
		for range 40 {
			m.now = m.now.Add(100 * time.Millisecond)
			m.apply(m.core.Tick(m.now))
			for _, id := range m.order {
				if l := m.histories[id]; l.running != nil {
					st := *l.running
					l.running = nil
					l.final++
					m.running[st.Target]--
					m.apply(m.core.Ended(m.now, st, Result{Answered: true, Status: 200}))
				}
			}
		}
		for _, id := range m.order {
			if l := m.histories[id]; l.final != 1 {
				t.Fatalf("request %s ended %d times", id, l.final)
			}
		}
		if limit := retry.Burst + retry.Ratio*float64(m.successes); float64(m.retries) > limit {
			t.Fatalf("%d retries with %d successes", m.retries, m.successes)
		}
		retried, answered = retried+m.retries, answered+m.successes
	})
	if retried == 0 || answered == 0 {
		t.Fatalf("the runs of the model had no retry or no answer: %d retries, %d answers", retried, answered)
	}
}
