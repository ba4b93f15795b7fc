package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/admit"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/credit"
	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/route"
)

// The simulated deployment has the shape of the Klang Valley deployment, with entries only.
const (
	simEntries     = 3
	simTargets     = 11
	simSlots       = 8
	simNearDelay   = 200 * time.Microsecond
	simFarDelay    = 1400 * time.Microsecond
	simClientDelay = 3 * time.Millisecond
	simBudget      = 500 * time.Millisecond
	simDuration    = 14 * time.Second
	simWarmup      = 4 * time.Second
)

// scenario describes the load and the behaviour of the simulated targets.
type scenario struct {
	name string
	// load is the mean fraction of all slots in use when no target is slow.
	load float64
	// slow returns the factor by which a target is slowed down at a time, and whether it answers at all.
	slow func(target int, at time.Duration) (times float64, up bool)
}

// scenarios returns the scenarios in which the policies are compared.
func scenarios() []scenario {
	even := func(int, time.Duration) (float64, bool) { return 1, true }
	return []scenario{
		{"even", 0.6, even},
		{"noisy-wave", 0.4, func(i int, at time.Duration) (float64, bool) {
			if i < 3 && at%(5*time.Second) < 2*time.Second {
				return 4, true
			}
			return 1, true
		}},
		{"slow-target", 0.5, func(i int, _ time.Duration) (float64, bool) {
			if i == 0 {
				return 10, true
			}
			return 1, true
		}},
		{"data-centre-gone", 0.35, func(i int, at time.Duration) (float64, bool) { return 1, i%3 != 0 || at < simDuration/2 }},
	}
}

// event is a scheduled action; seq orders events at the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events ordered by time.
type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// sim is one simulation run: real cores and credit books with modelled targets and network.
type sim struct {
	sc               scenario
	rng              *rand.Rand
	began            time.Time
	now              time.Time
	seq              int
	queue            events
	cores            []*Core
	books            []*credit.Book
	members          []announce.Member
	arrived          map[string]time.Time
	latencies        []time.Duration
	sent             int
	failed           int
	borrowedRecently []bool
}

// newSim returns a simulation of a scenario under a policy.
func newSim(sc scenario, p route.Policy, seed uint64) *sim {
	s := &sim{
		sc: sc, rng: rand.New(rand.NewPCG(seed, 7)), began: time.Unix(1000, 0), arrived: map[string]time.Time{},
		borrowedRecently: make([]bool, simEntries),
	}
	s.now = s.began
	for i := range simTargets {
		s.members = append(s.members, announce.Member{
			Announcement: announce.Announcement{
				Role: announce.RoleTarget, Name: fmt.Sprintf("target-%02d", i), Address: fmt.Sprint(i),
				DataCentre: fmt.Sprint("dc", i%3), Service: "enrol", Slots: simSlots,
			},
			Expires: s.began.Add(time.Hour),
		})
	}
	granters := []string{"0", "1", "2"}
	for i := range simEntries {
		b := credit.New(credit.Options{
			Self: granters[i], Granters: granters, Incarnation: 1, Lease: CreditLease, MaxAttempt: MaxAttempt, Margin: creditMargin,
		}, s.began.Add(-time.Minute))
		c := NewCore(Options{
			DataCentre: fmt.Sprint("dc", i), MaxAttempt: MaxAttempt, Policy: p, Seed: seed + uint64(i),
			Queue: admit.Limits{Requests: maxWaiting, Bytes: maxWaitingBytes},
		}, b)
		s.books, s.cores = append(s.books, b), append(s.cores, c)
		c.SetTargets(s.now, s.members)
		s.every(borrowInterval, func() { b.Tick(s.now); s.borrow(i) })
		s.every(queuedRefreshInterval, func() { s.tick(i) })
	}
	return s
}

// after schedules an event.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

// every schedules a periodic event.
func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

// tick runs Core.Tick of an entry and borrows slots if requests are queued.
func (s *sim) tick(i int) {
	s.apply(i, s.cores[i].Tick(s.now))
	s.borrowIfQueued(i)
}

// borrowIfQueued lets an entry borrow slots at once if requests are queued, at most once every
// queuedBorrowInterval.
func (s *sim) borrowIfQueued(i int) {
	if s.cores[i].Waiting() > 0 && !s.borrowedRecently[i] {
		s.borrowedRecently[i] = true
		s.borrow(i)
		s.after(queuedBorrowInterval, func() { s.borrowedRecently[i] = false })
	}
}

// borrow lets an entry request slots from both others; request and response each take simFarDelay, the
// network delay between data centres.
func (s *sim) borrow(i int) {
	for j := range simEntries {
		lender := fmt.Sprint(j)
		if j == i {
			continue
		}
		r, ok := s.books[i].NextRequest(s.now, lender)
		if !ok {
			continue
		}
		s.after(simFarDelay, func() {
			resp := s.books[j].Lend(s.now, r)
			s.after(simFarDelay, func() {
				s.books[i].ApplyResponse(lender, r, resp)
				s.apply(i, s.cores[i].Tick(s.now))
			})
		})
	}
}

// arrive submits a request to a random entry and schedules the next arrival.
func (s *sim) arrive(n int) {
	mean := 5 * time.Millisecond
	perSecond := s.sc.load * simTargets * simSlots / mean.Seconds()
	s.after(time.Duration(s.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { s.arrive(n + 1) })
	i := s.rng.IntN(simEntries)
	if _, up := s.sc.slow(i, s.now.Sub(s.began)); !up {
		i = (i + 1) % simEntries
	}
	id := fmt.Sprint(n)
	s.arrived[id] = s.now
	if s.now.Sub(s.began) > simWarmup {
		s.sent++
	}
	q := Request{ID: id, Service: "enrol", Workspace: "w", Deadline: s.now.Add(simBudget), Kind: retry.Idempotent}
	s.apply(i, s.cores[i].Submit(s.now, q))
	s.borrowIfQueued(i)
}

// apply carries out the actions of one entry.
func (s *sim) apply(i int, a Actions) {
	for _, f := range a.Finals {
		s.recordEnd(f.Request, false)
	}
	for _, st := range a.Starts {
		s.run(i, st)
	}
}

// recordEnd records the end of a request, unless it arrived during the warm-up.
func (s *sim) recordEnd(id string, answered bool) {
	at := s.arrived[id]
	delete(s.arrived, id)
	switch {
	case at.Sub(s.began) <= simWarmup:
	case answered:
		s.latencies = append(s.latencies, s.now.Sub(at)+2*simClientDelay)
	default:
		s.failed++
	}
}

// run simulates one attempt at its target.
func (s *sim) run(i int, st Start) {
	var target int
	_, _ = fmt.Sscan(st.Address, &target)
	networkDelay := simFarDelay
	if target%3 == i {
		networkDelay = simNearDelay
	}
	slowdown, up := s.sc.slow(target, s.now.Sub(s.began))
	work := 2*time.Millisecond + time.Duration(s.rng.ExpFloat64()*float64(3*time.Millisecond))
	duration := 2*networkDelay + time.Duration(float64(work)*slowdown)
	res := Result{Answered: true, Status: 200}
	if !up {
		duration, res = dialFailureDelay, Result{Proof: retry.NeverSent, Reason: "no connection"}
	}
	if remaining := st.Until.Sub(s.now); duration > remaining {
		duration, res = remaining, Result{Proof: retry.Over, Reason: "deadline"}
	}
	s.after(duration, func() {
		if res.Answered {
			s.recordEnd(st.Request, true)
		}
		s.apply(i, s.cores[i].Ended(s.now, st, res))
	})
}

// dialFailureDelay is how long a connection attempt to a removed host takes to fail.
const dialFailureDelay = 100 * time.Millisecond

// play runs the scenario for the given simulated time.
func (s *sim) play(length time.Duration) {
	s.arrive(0)
	for s.now.Sub(s.began) < length {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// TestNoRetryStorm checks that attempts exceed the requests by at most a tenth when no target can be
// reached, and when only three can.
func TestNoRetryStorm(t *testing.T) {
	const outageStart = 2 * time.Second
	for _, reachable := range []int{0, 3} {
		sc := scenario{"outage", 0.1, func(i int, at time.Duration) (float64, bool) { return 1, i < reachable || at < outageStart }}
		s := newSim(sc, route.Default, 1)
		s.play(3 * outageStart)
		attempts, requests := 0, 0
		for _, c := range s.cores {
			a, r := c.Attempts()
			attempts, requests = attempts+a, requests+r
		}
		if float64(attempts) > 1.1*float64(requests) {
			t.Errorf("%d attempts for %d requests with %d targets reached", attempts, requests, reachable)
		}
		if s.failed == 0 && reachable == 0 {
			t.Error("the outage did not take place")
		}
		t.Logf("%d targets reached: %.3f attempts a request", reachable, float64(attempts)/float64(requests))
	}
}

// quantile returns the p-quantile (0 to 1) of the sorted latencies, in milliseconds.
func quantile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))].Seconds() * 1000
}

// BenchmarkPolicies compares the routing policies in a seeded simulation. Run it with -benchtime 1x;
// its figures are in simulated time and the same on every machine.
func BenchmarkPolicies(b *testing.B) {
	for _, sc := range scenarios() {
		for _, p := range []route.Policy{route.Random, route.RoundRobin, route.LeastLoaded, route.Default} {
			b.Run(sc.name+"/"+string(p), func(b *testing.B) {
				for range b.N {
					s := newSim(sc, p, 1)
					s.play(simDuration)
					slices.Sort(s.latencies)
					attempts, requests := 0, 0
					for _, c := range s.cores {
						a, r := c.Attempts()
						attempts, requests = attempts+a, requests+r
					}
					b.ReportMetric(quantile(s.latencies, 0.5), "p50-ms")
					b.ReportMetric(quantile(s.latencies, 0.99), "p99-ms")
					b.ReportMetric(quantile(s.latencies, 0.999), "p999-ms")
					b.ReportMetric(100*float64(s.failed)/float64(s.sent), "failed-%")
					b.ReportMetric(float64(attempts)/float64(requests), "attempts/request")
				}
			})
		}
	}
}
