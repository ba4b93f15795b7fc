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

// attempt is what runs at the modelled target, whatever became of the process that started it.
type attempt struct {
	token Token
	by    string
	life  int64
	until time.Time
	over  bool
}

// message is a request on its way, or its answer once it has one.
type message struct {
	lender string
	req    Request
	resp   *Response
}

// model is processes, a network and targets under one clock.
type model struct {
	t       *rapid.T
	now     time.Time
	homes   []string
	books   map[string]*Book
	life    map[string]int64
	slots   map[string]int
	net     []message
	running []*attempt
	taken   int
	lent    int
}

// start makes a fresh book for a process, as after a crash.
func (m *model) start(name string) {
	m.life[name]++
	b := New(Options{
		Self: name, Homes: m.homes, Incarnation: m.life[name],
		Lease: testLease, MaxAttempt: testAttempt, Margin: testMargin,
	}, m.now)
	for target, n := range m.slots {
		b.SetTarget(m.now, target, n, m.guard(target))
	}
	m.books[name] = b
}

// guard says that the second target has a guard, which is the last process.
func (m *model) guard(target string) string {
	if target == "t2" {
		return "guard"
	}
	return ""
}

// step does one random thing.
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
			m.running = append(m.running, &attempt{tok, name, m.life[name], until, false})
			if tok.Lender != "" {
				m.lent++
			}
		}
	case "end":
		m.end()
	case "ask":
		m.ask(b)
	case "net":
		m.deliver()
	case "trip":
		m.trip(b)
	case "crash":
		if rapid.IntRange(0, 4).Draw(t, "really") == 0 {
			m.start(name)
		}
	case "tick":
		b.Tick(m.now)
	case "starve":
		b.Starve(target, 3)
	}
}

// end ends an attempt early and tells the process that started it, if it still lives.
func (m *model) end() {
	if len(m.running) == 0 {
		return
	}
	a := m.running[rapid.IntRange(0, len(m.running)-1).Draw(m.t, "attempt")]
	if a.over {
		return
	}
	a.over = true
	if m.life[a.by] == a.life {
		m.books[a.by].Return(a.token)
	}
}

// ask puts a request to some lender on the network.
func (m *model) ask(b *Book) {
	ls := b.Lenders()
	lender := rapid.SampledFrom(ls).Draw(m.t, "lender")
	if rapid.IntRange(0, 9).Draw(m.t, "give back") == 0 {
		m.net = append(m.net, message{lender: lender, req: b.GiveBack(m.now, lender)})
		return
	}
	if r, ok := b.Ask(m.now, lender); ok {
		m.net = append(m.net, message{lender: lender, req: r})
	}
}

// trip lets a process ask a lender that may need its slots itself, and get the answer at once.
func (m *model) trip(b *Book) {
	lender := rapid.SampledFrom(b.Lenders()).Draw(m.t, "lender")
	if rapid.Bool().Draw(m.t, "borrower starves") {
		b.Starve("t1", 2)
	}
	if rapid.Bool().Draw(m.t, "lender starves") {
		m.books[lender].Starve("t1", 2)
	}
	if r, ok := b.Ask(m.now, lender); ok {
		b.Granted(lender, r, m.books[lender].Lend(m.now, r))
	}
}

// deliver delivers, loses or doubles one message.
func (m *model) deliver() {
	if len(m.net) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.net)-1).Draw(m.t, "message")
	msg := m.net[i]
	switch rapid.IntRange(0, 4).Draw(m.t, "fate") {
	case 0:
	default:
		m.net = append(m.net[:i:i], m.net[i+1:]...)
	}
	if msg.resp == nil {
		resp := m.books[msg.lender].Lend(m.now, msg.req)
		m.net = append(m.net, message{msg.lender, msg.req, &resp})
		return
	}
	if m.life[msg.req.Holder] == msg.req.Incarnation {
		m.books[msg.req.Holder].Granted(msg.lender, msg.req, *msg.resp)
	}
}

// check counts what runs at each target and lets attempts end at their deadline.
func (m *model) check() {
	n := map[string]int{}
	var left []*attempt
	for _, a := range m.running {
		if !a.over && !m.now.Before(a.until) {
			a.over = true
			if m.life[a.by] == a.life {
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

// TestNeverMoreThanSlots checks that all processes together never run more at a target than it has
// slots, with requests and answers shuffled, lost, doubled and delayed, and with processes that crash
// and start again with nothing.
func TestNeverMoreThanSlots(t *testing.T) {
	taken, lent := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, now: time.Unix(0, 0), homes: []string{"a", "b", "c"}, books: map[string]*Book{}, life: map[string]int64{},
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
		t.Fatalf("nothing was tried: %d taken, %d of them borrowed", taken, lent)
	}
}

// TestShares checks that homes are dealt exactly the slots there are.
func TestShares(t *testing.T) {
	homes := []string{"a", "b", "c", "d"}
	for slots := range 20 {
		sum := 0
		for _, h := range homes {
			sum += share(fmt.Sprint("target-", slots), slots, homes, h)
		}
		if sum != slots {
			t.Errorf("%d of %d slots were dealt", sum, slots)
		}
	}
}

// TestBorrowAll checks that one busy process gets every slot of an idle installation within a few
// rounds, and that a lender which turns busy gets its own back.
func TestBorrowAll(t *testing.T) {
	now := time.Unix(0, 0)
	homes := []string{"a", "b", "c"}
	books := map[string]*Book{}
	for _, h := range homes {
		books[h] = New(Options{Self: h, Homes: homes, Incarnation: 1, Lease: testLease, MaxAttempt: testAttempt, Margin: testMargin}, now)
		books[h].SetTarget(now, "t", 8, "")
	}
	now = now.Add(testLease + testMargin)
	round := func(h string) {
		books[h].Tick(now)
		books[h].Starve("t", 3)
		for _, l := range books[h].Lenders() {
			if r, ok := books[h].Ask(now, l); ok {
				books[h].Granted(l, r, books[l].Lend(now, r))
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
		for _, h := range homes {
			round(h)
		}
	}
	for _, h := range homes {
		if got, own := len(grab(h, 8)), books[h].targets["t"].own; got < own {
			t.Errorf("%s holds %d slots and is home of %d", h, got, own)
		}
	}
}
