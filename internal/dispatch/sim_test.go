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

// The simulated installation: the shape of the Klang Valley deployment with entries alone.
const (
	simEntries = 3
	simTargets = 11
	simSlots   = 8
	simNear    = 200 * time.Microsecond
	simFar     = 1400 * time.Microsecond
	simClient  = 3 * time.Millisecond
	simBudget  = 500 * time.Millisecond
	simLength  = 14 * time.Second
	simWarm    = 4 * time.Second
)

// scenario says how the simulated targets behave.
type scenario struct {
	name string
	// load is the part of all slots that is busy on average when nothing is slow.
	load float64
	// slow returns how many times slower a target is at a time, and whether it answers at all.
	slow func(target int, at time.Duration) (times float64, up bool)
}

// scenarios are the cases the policies are compared under.
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
		{"data-centre-gone", 0.35, func(i int, at time.Duration) (float64, bool) { return 1, i%3 != 0 || at < simLength/2 }},
	}
}

// event is something that happens at a time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a heap of events.
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

// sim is one run: real cores with real credits over modelled targets and network.
type sim struct {
	sc       scenario
	rng      *rand.Rand
	began    time.Time
	now      time.Time
	seq      int
	queue    events
	cores    []*Core
	books    []*credit.Book
	members  []announce.Member
	arrived  map[string]time.Time
	took     []time.Duration
	sent     int
	failed   int
	starving []bool
}

// newSim returns a run of a scenario under a policy.
func newSim(sc scenario, p route.Policy, seed uint64) *sim {
	s := &sim{
		sc: sc, rng: rand.New(rand.NewPCG(seed, 7)), began: time.Unix(1000, 0), arrived: map[string]time.Time{},
		starving: make([]bool, simEntries),
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
	homes := []string{"0", "1", "2"}
	for i := range simEntries {
		b := credit.New(credit.Options{
			Self: homes[i], Homes: homes, Incarnation: 1, Lease: CreditLease, MaxAttempt: MaxAttempt, Margin: creditMargin,
		}, s.began.Add(-time.Minute))
		c := NewCore(Options{
			DataCentre: fmt.Sprint("dc", i), MaxAttempt: MaxAttempt, Policy: p, Seed: seed + uint64(i),
			Queue: admit.Limits{Requests: maxWaiting, Bytes: maxWaitingBytes},
		}, b)
		s.books, s.cores = append(s.books, b), append(s.cores, c)
		c.SetTargets(s.now, s.members)
		s.every(creditEvery, func() { b.Tick(s.now); s.borrow(i) })
		s.every(busyEvery, func() { s.tick(i) })
	}
	return s
}

// after schedules an event.
func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, do})
}

// every schedules an event again and again.
func (s *sim) every(d time.Duration, do func()) {
	s.after(d, func() { do(); s.every(d, do) })
}

// tick sheds, starts and lets an entry that starves ask for slots.
func (s *sim) tick(i int) {
	s.act(i, s.cores[i].Tick(s.now))
	s.starve(i)
}

// starve lets an entry ask for slots at once when requests wait.
func (s *sim) starve(i int) {
	if s.cores[i].Waiting() > 0 && !s.starving[i] {
		s.starving[i] = true
		s.borrow(i)
		s.after(starveEvery, func() { s.starving[i] = false })
	}
}

// borrow lets an entry ask both others; request and answer take the way between data centres.
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
		s.after(simFar, func() {
			resp := s.books[j].Lend(s.now, r)
			s.after(simFar, func() {
				s.books[i].ApplyResponse(lender, r, resp)
				s.act(i, s.cores[i].Tick(s.now))
			})
		})
	}
}

// arrive lets a request come to a random entry and schedules the next one.
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
	if s.now.Sub(s.began) > simWarm {
		s.sent++
	}
	q := Request{ID: id, Service: "enrol", Workspace: "w", Deadline: s.now.Add(simBudget), Kind: retry.Idempotent}
	s.act(i, s.cores[i].Arrive(s.now, q))
	s.starve(i)
}

// act runs the actions of one entry.
func (s *sim) act(i int, a Actions) {
	for _, f := range a.Finals {
		s.done(f.Request, false)
	}
	for _, st := range a.Starts {
		s.run(i, st)
	}
}

// done notes the end of a request.
func (s *sim) done(id string, answered bool) {
	at := s.arrived[id]
	delete(s.arrived, id)
	switch {
	case at.Sub(s.began) <= simWarm:
	case answered:
		s.took = append(s.took, s.now.Sub(at)+2*simClient)
	default:
		s.failed++
	}
}

// run runs one attempt at its target.
func (s *sim) run(i int, st Start) {
	var target int
	_, _ = fmt.Sscan(st.Address, &target)
	way := simFar
	if target%3 == i {
		way = simNear
	}
	times, up := s.sc.slow(target, s.now.Sub(s.began))
	work := 2*time.Millisecond + time.Duration(s.rng.ExpFloat64()*float64(3*time.Millisecond))
	took := 2*way + time.Duration(float64(work)*times)
	res := Result{Answered: true, Status: 200}
	if !up {
		took, res = dialGone, Result{Proof: retry.NeverSent, Reason: "no connection"}
	}
	if left := st.Until.Sub(s.now); took > left {
		took, res = left, Result{Proof: retry.Over, Reason: "deadline"}
	}
	s.after(took, func() {
		if res.Answered {
			s.done(st.Request, true)
		}
		s.act(i, s.cores[i].Ended(s.now, st, res))
	})
}

// dialGone is how long it takes to learn that a host is gone.
const dialGone = 100 * time.Millisecond

// play runs the scenario for a time.
func (s *sim) play(length time.Duration) {
	s.arrive(0)
	for s.now.Sub(s.began) < length {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
	}
}

// TestNoRetryStorm checks that the load on targets stays within a tenth of the requests when none of
// them can be reached and when only three can.
func TestNoRetryStorm(t *testing.T) {
	const begins = 2 * time.Second
	for _, reached := range []int{0, 3} {
		sc := scenario{"outage", 0.1, func(i int, at time.Duration) (float64, bool) { return 1, i < reached || at < begins }}
		s := newSim(sc, route.Default, 1)
		s.play(3 * begins)
		attempts, requests := 0, 0
		for _, c := range s.cores {
			a, r := c.Attempts()
			attempts, requests = attempts+a, requests+r
		}
		if float64(attempts) > 1.1*float64(requests) {
			t.Errorf("%d attempts for %d requests with %d targets reached", attempts, requests, reached)
		}
		if s.failed == 0 && reached == 0 {
			t.Error("the outage did not take place")
		}
		t.Logf("%d targets reached: %.3f attempts a request", reached, float64(attempts)/float64(requests))
	}
}

// percentile returns the p-th part of the sorted latencies, in milliseconds.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))].Seconds() * 1000
}

// BenchmarkPolicies compares the ways to choose a target in a seeded simulation. Run it with
// -benchtime 1x; its figures are of simulated time and the same on every machine.
func BenchmarkPolicies(b *testing.B) {
	for _, sc := range scenarios() {
		for _, p := range []route.Policy{route.Random, route.RoundRobin, route.LeastLoaded, route.Default} {
			b.Run(sc.name+"/"+string(p), func(b *testing.B) {
				for range b.N {
					s := newSim(sc, p, 1)
					s.play(simLength)
					slices.Sort(s.took)
					attempts, requests := 0, 0
					for _, c := range s.cores {
						a, r := c.Attempts()
						attempts, requests = attempts+a, requests+r
					}
					b.ReportMetric(percentile(s.took, 0.5), "p50-ms")
					b.ReportMetric(percentile(s.took, 0.99), "p99-ms")
					b.ReportMetric(percentile(s.took, 0.999), "p999-ms")
					b.ReportMetric(100*float64(s.failed)/float64(s.sent), "failed-%")
					b.ReportMetric(float64(attempts)/float64(requests), "attempts/request")
				}
			})
		}
	}
}
