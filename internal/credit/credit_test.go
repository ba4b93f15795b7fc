package credit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Sizes of the modelled installation.
const (
	testLease   = 3 * time.Second
	testAttempt = 2 * time.Second
	testMargin  = 100 * time.Millisecond
)

// attempt is an attempt at the modelled target; it keeps running after its process has crashed.
type attempt struct {
	token       Token
	by          string
	incarnation int64
	until       time.Time
	over        bool
}

// message is a request in transit, or its response once resp is set.
type message struct {
	lender string
	req    Request
	resp   *Response
}

// model is a set of processes, a network and targets under one clock.
type model struct {
	t            *rapid.T
	now          time.Time
	granters     []string
	books        map[string]*Book
	incarnations map[string]int64
	slots        map[string]int
	network      []message
	running      []*attempt
	taken        int
	lent         int
}

// start gives a process an empty Book under a new incarnation, as after a crash.
func (m *model) start(name string) {
	m.incarnations[name]++
	b := New(Options{
		Self: name, Granters: m.granters, Incarnation: m.incarnations[name],
		Lease: testLease, MaxAttempt: testAttempt, Margin: testMargin,
	}, m.now)
	for target, n := range m.slots {
		b.SetTarget(m.now, target, n, m.guard(target))
	}
	m.books[name] = b
}

// guard returns the guard of a target: the last process for the second target, none for others.
func (m *model) guard(target string) string {
	if target == "t2" {
		return "guard"
	}
	return ""
}

// step performs one random operation.
func (m *model) step() {
	t := m.t
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 1, 5, 20, 400}).Draw(t, "ms")) * time.Millisecond)
	name := rapid.SampledFrom([]string{"a", "b", "c", "guard"}).Draw(t, "process")
	b := m.books[name]
	target := rapid.SampledFrom([]string{"t1", "t1", "t1", "t2"}).Draw(t, "target")
	switch rapid.SampledFrom([]string{"take", "take", "take", "end", "ask", "net", "net", "net", "trip", "trip", "crash", "tick", "starve"}).Draw(t, "what") {
	case "take":
		until := m.now.Add(time.Duration(rapid.SampledFrom([]int{5, 500, 1900, 2000, 2500}).Draw(t, "takes")) * time.Millisecond)
		for range rapid.IntRange(1, 8).Draw(t, "times") {
			tok, ok := b.Take(m.now, target, until)
			if !ok {
				break
			}
			m.taken++
			m.running = append(m.running, &attempt{tok, name, m.incarnations[name], until, false})
			if tok.Lender != "" {
				m.lent++
			}
		}
	case "end":
		m.end()
	case "ask":
		m.sendRequest(b)
	case "net":
		m.deliver()
	case "trip":
		m.roundTrip(b)
	case "crash":
		if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
			m.start(name)
		}
	case "tick":
		b.Tick(m.now)
	case "starve":
		b.ReportShortfall(target, 3)
	}
}

// end ends an attempt early and returns its slot, if the incarnation that started it still runs.
func (m *model) end() {
	if len(m.running) == 0 {
		return
	}
	a := m.running[rapid.IntRange(0, len(m.running)-1).Draw(m.t, "attempt")]
	if a.over {
		return
	}
	a.over = true
	if m.incarnations[a.by] == a.incarnation {
		m.books[a.by].Return(a.token)
	}
}

// sendRequest sends a request to a random lender over the network.
func (m *model) sendRequest(b *Book) {
	ls := b.Lenders()
	lender := rapid.SampledFrom(ls).Draw(m.t, "lender")
	if rapid.IntRange(0, 9).Draw(m.t, "give back") == 0 {
		m.network = append(m.network, message{lender: lender, req: b.ReturnRequest(m.now, lender)})
		return
	}
	if r, ok := b.NextRequest(m.now, lender); ok {
		m.network = append(m.network, message{lender: lender, req: r})
	}
}

// roundTrip lets a process request slots from a lender that may need them itself, and apply the response at
// once.
func (m *model) roundTrip(b *Book) {
	lender := rapid.SampledFrom(b.Lenders()).Draw(m.t, "lender")
	if rapid.Bool().Draw(m.t, "borrower starves") {
		b.ReportShortfall("t1", 2)
	}
	if rapid.Bool().Draw(m.t, "lender starves") {
		m.books[lender].ReportShortfall("t1", 2)
	}
	if r, ok := b.NextRequest(m.now, lender); ok {
		b.ApplyResponse(lender, r, m.books[lender].Lend(m.now, r))
	}
}

// deliver delivers one message, which may stay in transit to be delivered again.
func (m *model) deliver() {
	if len(m.network) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.network)-1).Draw(m.t, "message")
	msg := m.network[i]
	switch rapid.IntRange(0, 4).Draw(m.t, "fate") {
	case 0:
	default:
		m.network = append(m.network[:i:i], m.network[i+1:]...)
	}
	if msg.resp == nil {
		resp := m.books[msg.lender].Lend(m.now, msg.req)
		m.network = append(m.network, message{msg.lender, msg.req, &resp})
		return
	}
	if m.incarnations[msg.req.Holder] == msg.req.Incarnation {
		m.books[msg.req.Holder].ApplyResponse(msg.lender, msg.req, *msg.resp)
	}
}

// check ends attempts at their deadline and checks that no target runs more attempts than it has slots.
func (m *model) check() {
	n := map[string]int{}
	var left []*attempt
	for _, a := range m.running {
		if !a.over && !m.now.Before(a.until) {
			a.over = true
			if m.incarnations[a.by] == a.incarnation {
				m.books[a.by].Return(a.token)
			}
		}
		if !a.over {
			n[a.token.Target]++
			left = append(left, a)
		}
	}
	m.running = left
	for target, running := range n {
		if running > m.slots[target] {
			m.t.Fatalf("%d attempts run at %s, which has %d slots", running, target, m.slots[target])
		}
	}
}

// TestNeverMoreThanSlots checks that all processes together never run more attempts at a target than it has
// slots, with requests and responses reordered, lost, duplicated and delayed, and with processes that crash
// and restart without state.
func TestNeverMoreThanSlots(t *testing.T) {
	taken, lent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Unix(0, 0), granters: []string{"a", "b", "c"}, books: map[string]*Book{}, incarnations: map[string]int64{},
			slots: map[string]int{"t1": rapid.SampledFrom([]int{1, 2, 3, 8}).Draw(t, "slots"), "t2": rapid.IntRange(1, 8).Draw(t, "guarded slots")},
		}
		for _, name := range []string{"a", "b", "c", "guard"} {
			m.start(name)
		}
		m.now = m.now.Add(testLease + testMargin)
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.step()
			m.check()
		}
		taken, lent = taken+m.taken, lent+m.lent
	})
	if taken == 0 || lent == 0 {
		t.Fatalf("test exercised too little: %d slots taken, %d of them borrowed", taken, lent)
	}
}

// TestShares checks that the shares of all granters add up to the slots of the target.
func TestShares(t *testing.T) {
	granters := []string{"a", "b", "c", "d"}
	for slots := range 20 {
		sum := 0
		for _, h := range granters {
			sum += share(fmt.Sprint("target-", slots), slots, granters, h)
		}
		if sum != slots {
			t.Errorf("%d of %d slots were distributed", sum, slots)
		}
	}
}

// TestBorrowAll checks that one busy process gets every slot of an idle installation within a few rounds,
// and that a lender that becomes busy gets its own slots back.
func TestBorrowAll(t *testing.T) {
	now := time.Unix(0, 0)
	granters := []string{"a", "b", "c"}
	books := map[string]*Book{}
	for _, h := range granters {
		books[h] = New(Options{Self: h, Granters: granters, Incarnation: 1, Lease: testLease, MaxAttempt: testAttempt, Margin: testMargin}, now)
		books[h].SetTarget(now, "t", 8, "")
	}
	now = now.Add(testLease + testMargin)
	round := func(h string) {
		books[h].Tick(now)
		books[h].ReportShortfall("t", 3)
		for _, l := range books[h].Lenders() {
			if r, ok := books[h].NextRequest(now, l); ok {
				books[h].ApplyResponse(l, r, books[l].Lend(now, r))
			}
		}
		now = now.Add(20 * time.Millisecond)
	}
	grab := func(h string, n int) (got []Token) {
		for range n {
			if tok, ok := books[h].Take(now, "t", now.Add(time.Second)); ok {
				got = append(got, tok)
			}
		}
		return got
	}
	var held []Token
	for range 8 {
		round("a")
		held = append(held, grab("a", 8)...)
	}
	if len(held) != 8 {
		t.Fatalf("busy process holds %d of 8 slots", len(held))
	}
	for _, tok := range held {
		books["a"].Return(tok)
	}
	for range 200 {
		for _, h := range granters {
			round(h)
		}
	}
	for _, h := range granters {
		if got, own := len(grab(h, 8)), books[h].targets["t"].own; got < own {
			t.Errorf("%s holds %d slots and grants %d", h, got, own)
		}
	}
}
