package guard

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
)

// Options are the fixed parameters of a core.
type Options struct {
	// Node names this process.
	Node string
	// RunLease is how long runs outlive the newest own clock reading that the owner has echoed.
	RunLease time.Duration
	// MaxHold is the longest lease a worker grants.
	MaxHold time.Duration
}

// Core is what a guard knows of its worker and of the owner. It does no I/O and reads no clock; times
// are milliseconds of the guard's clock, which also counts while the machine is suspended.
type Core struct {
	opt Options
	// info describes the worker, as it announced itself; nil before that.
	info *link.Worker
	// life is the life of the worker that answered last.
	life string
	// epoch is the highest ownership seen, deadline until when it vouches for the runs.
	epoch    int64
	deadline int64
	// clock is the worker's clock at a moment of the own one.
	clock, clockAt int64
	runs           map[link.RunRef]*run
	forget         int64
	pace           pacer
	mute           bool
	over           []link.RunEnd // absent runs to report
	inventory      bool          // the next report is to be complete
	described      bool          // the owner knows the newest description
	// other is the newest announcement of a life that has not answered yet.
	other *link.Worker
	// past are lives that are over and have not been reported so.
	past []string
}

// phase is where a run stands in the eyes of its guard.
type phase int

const (
	// starting: the order to start is under way.
	starting phase = iota
	// doubtful: the order to start has got no answer; the next listing tells whether the run is there.
	doubtful
	// listed: the worker has listed the run.
	listed
	// stopping: an order to stop is to be answered.
	stopping
	// stopped: the order to stop was answered; the next listing tells whether the run was there.
	stopped
)

// run is one run that the owner or the worker has named.
type run struct {
	link.Traits
	phase phase
	known bool // the owner has told its traits
	// busy says that an order about it is under way.
	busy    bool
	percent int // pace ordered last
	figure  float64
	reason  string
}

// NewCore returns a core that knows nothing yet.
func NewCore(opt Options) *Core {
	return &Core{opt: opt, runs: map[link.RunRef]*run{}, pace: newPacer()}
}

// Describe takes the worker's announcement. While a life of the worker answers, an announcement of
// another one is kept aside: it may be delayed, or the first word of a new life.
func (c *Core) Describe(w link.Worker) {
	if c.life != "" && w.ID != c.life {
		c.other = &w
		return
	}
	if c.info != nil && *c.info == w {
		return
	}
	c.info, c.described = &w, false
}

// Draining reports whether the worker takes no new runs.
func (c *Core) Draining() bool { return c.info != nil && c.info.Draining }

// Meant reports whether orders are for the life of the worker that runs; the owner may not know yet that
// another one has begun.
func (c *Core) Meant(d link.Down) bool { return d.Worker != "" && d.Worker == c.life }

// Vouch takes the authority of an owner; it returns false for an owner that was replaced.
func (c *Core) Vouch(d link.Down) bool {
	if d.Epoch < c.epoch {
		return false
	}
	if d.Epoch > c.epoch {
		c.epoch = d.Epoch
		c.inventory = true
	}
	if d.EchoMS > 0 {
		c.deadline = max(c.deadline, d.EchoMS+c.opt.RunLease.Milliseconds())
	}
	if !c.Meant(d) {
		return true
	}
	c.forget = max(c.forget, d.Forget)
	for _, k := range d.Known {
		if r := c.runs[k.RunRef]; r != nil {
			r.Traits, r.known = k, true
		}
	}
	return true
}

// Until returns the end of the lease on the worker's clock; 0 when nothing may be renewed. A worker that
// doesn't answer gets no renewal, so that its runs surely lapse within a lease from then on.
func (c *Core) Until(nowMS int64) int64 {
	if c.clock == 0 || nowMS >= c.deadline || c.mute {
		return 0
	}
	left := min(c.deadline-c.clockAt, nowMS-c.clockAt+c.opt.MaxHold.Milliseconds())
	return c.clock + left
}

// Begin notes an order to start and reports whether it may be given.
func (c *Core) Begin(nowMS int64, s link.Start) (Order, bool) {
	if c.runs[s.RunRef] != nil {
		return Order{}, false
	}
	until := c.Until(nowMS)
	if c.Draining() || until == 0 || c.info == nil {
		c.over = append(c.over, link.RunEnd{RunRef: s.RunRef, Outcome: link.Absent, Reason: "not accepting runs"})
		return Order{}, false
	}
	c.runs[s.RunRef] = &run{Traits: s.Traits, known: true, busy: true, percent: fullPace}
	return Order{Life: c.life, Token: c.epoch, UntilMS: until, Start: s}, true
}

// Began takes the answer to a start.
func (c *Core) Began(s link.RunRef, err error, refused bool, reason string) {
	r := c.runs[s]
	if r == nil {
		return
	}
	r.busy = false
	switch {
	case refused:
		delete(c.runs, s)
		c.over = append(c.over, link.RunEnd{RunRef: s, Outcome: link.Absent, Reason: reason})
	case err != nil && r.phase == starting:
		r.phase, r.reason = doubtful, "start unanswered"
	case r.phase == starting:
		r.phase = listed
	}
}

// Halt notes an order to stop.
func (c *Core) Halt(s link.RunRef) {
	r := c.runs[s]
	if r == nil {
		r = &run{Traits: link.Traits{RunRef: s}, percent: fullPace}
		c.runs[s] = r
	}
	if r.phase != stopped {
		r.phase = stopping
	}
	if r.reason == "" {
		r.reason = "stopped by order"
	}
}

// Stops returns the stops to order now.
func (c *Core) Stops() []Order {
	var out []Order
	for ref, r := range c.runs {
		if r.phase == stopping && !r.busy {
			r.busy = true
			out = append(out, Order{Life: c.life, Token: c.epoch, Start: link.Start{Traits: link.Traits{RunRef: ref}}})
		}
	}
	return out
}

// Halted takes the answer to a stop.
func (c *Core) Halted(s link.RunRef, err error) {
	r := c.runs[s]
	if r == nil {
		return
	}
	r.busy = false
	if err == nil {
		r.phase = stopped
	}
}

// Looking returns the next question to the worker; false while no life of it is known.
func (c *Core) Looking(nowMS int64, wait time.Duration) (Look, bool) {
	if c.info == nil {
		return Look{}, false
	}
	return Look{Life: c.info.ID, Token: c.epoch, UntilMS: c.Until(nowMS), LastSeen: c.forget, Wait: wait}, true
}

// OtherLife says that a life of the worker is over, since another one answered for it.
func (c *Core) OtherLife(life string) {
	if c.info == nil || c.info.ID != life {
		return
	}
	if c.life == life {
		c.past = append(c.past, life)
	}
	c.life, c.info, c.other = "", c.other, nil
	c.reset()
}

// Listed takes what the worker lists in answer to a question; settled is what Settled returned before it
// was put. Runs whose stop had been answered by then, and that aren't listed, will never be there.
func (c *Core) Listed(nowMS int64, settled map[link.RunRef]bool, l Listing) {
	c.mute = false
	if l.Life != c.life {
		c.life = l.Life
		c.reset()
	}
	// The life that was asked for has answered, so what another one announced was delayed.
	c.other = nil
	c.clock, c.clockAt = l.ClockMS, nowMS
	seen := map[link.RunRef]bool{}
	for _, s := range l.Running {
		seen[s.RunRef] = true
		r := c.runs[s.RunRef]
		if r == nil {
			r = &run{Traits: link.Traits{RunRef: s.RunRef}, percent: fullPace}
			c.runs[s.RunRef] = r
		}
		if r.phase == starting || r.phase == doubtful {
			r.phase = listed
		}
		r.figure = s.Figure
	}
	for _, e := range l.Ended {
		seen[e.RunRef] = true
		delete(c.runs, e.RunRef)
	}
	for ref, r := range c.runs {
		switch {
		case seen[ref]:
		case r.phase == doubtful && settled[ref]:
			// It may begin at any time until a stop has been answered.
			r.phase = stopping
		case r.phase == stopped && settled[ref]:
			delete(c.runs, ref)
			c.over = append(c.over, link.RunEnd{RunRef: ref, Outcome: link.Absent, Reason: r.reason})
		case r.phase == listed && settled[ref]:
			// Ended and forgotten while this guard wasn't looking; the owner knows.
			delete(c.runs, ref)
		}
	}
	c.pace.observe(nowMS, c.runs)
}

// Settled returns the runs about which a question asked now gives a final answer.
func (c *Core) Settled() map[link.RunRef]bool {
	out := map[link.RunRef]bool{}
	for ref, r := range c.runs {
		if r.inDoubt() || r.phase == listed && !r.busy {
			out[ref] = true
		}
	}
	return out
}

// inDoubt reports whether only the next listing tells what became of a run.
func (r *run) inDoubt() bool { return r.phase == doubtful || r.phase == stopped }

// InDoubt reports whether there is a run that only the next listing tells about.
func (c *Core) InDoubt() bool {
	for _, r := range c.runs {
		if r.inDoubt() {
			return true
		}
	}
	return false
}

// reset forgets what was known of a life of the worker.
func (c *Core) reset() {
	clear(c.runs)
	c.over = nil
	c.forget = 0
	c.clock = 0
	c.pace = newPacer()
	c.inventory, c.described = true, false
}

// Silent says that the worker didn't answer in time.
func (c *Core) Silent() { c.mute = true }

// Paces returns the changes of pace to order now, by run.
func (c *Core) Paces() map[link.RunRef]int {
	var out map[link.RunRef]int
	for ref, r := range c.runs {
		want := c.pace.share()
		if !r.known || !r.Filler || r.busy || r.phase != listed || r.percent == want {
			continue
		}
		if out == nil {
			out = map[link.RunRef]int{}
		}
		out[ref] = want
		r.busy = true
	}
	return out
}

// Tails sums the tails of the serving tasks, which tells whether the worker's figures have changed.
func (c *Core) Tails() float64 {
	sum := 0.0
	for _, r := range c.runs {
		if r.TailTargetMS > 0 {
			sum += r.figure
		}
	}
	return sum
}

// Paced takes the answer to a change of pace.
func (c *Core) Paced(s link.RunRef, percent int, err error) {
	if r := c.runs[s]; r != nil {
		r.busy = false
		if err == nil {
			r.percent = percent
		}
	}
}

// OrderFor returns an order about a run under the present authority.
func (c *Core) OrderFor(s link.RunRef) Order {
	return Order{Life: c.life, Token: c.epoch, Start: link.Start{Traits: link.Traits{RunRef: s}}}
}

// Pace returns the pace of all fillers, in percent.
func (c *Core) Pace() int { return c.pace.share() }

// Epoch returns the highest ownership seen.
func (c *Core) Epoch() int64 { return c.epoch }

// Report returns the next message to the owner; l is the newest listing, nil when there is no new one.
func (c *Core) Report(nowMS int64, l *Listing, full bool) link.Up {
	u := link.Up{ClockMS: nowMS, Pace: c.pace.share(), Mute: c.mute, Over: c.past}
	c.past = nil
	if c.life == "" || c.info == nil {
		return u
	}
	if l != nil && l.Life == c.life {
		u.Reported, u.Running, u.Ended = true, l.Running, l.Ended
		u.Inventory = full
	}
	u.Ended = append(u.Ended[:len(u.Ended):len(u.Ended)], c.over...)
	c.over = nil
	if full || !c.described {
		w := *c.info
		u.Worker = &w
		c.described = true
	}
	return u
}
