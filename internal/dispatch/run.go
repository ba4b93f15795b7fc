package dispatch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/retry"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

const (
	// suspectFactor is how many times its expected time an attempt may take before it is probed.
	suspectFactor = 4
	// suspectLeast and suspectMost bound the time until the first probe. A probe fences an attempt that
	// is merely slow to arrive, so it must not come too soon.
	suspectLeast = 60 * time.Millisecond
	suspectMost  = 200 * time.Millisecond
	// probeTimeout is the deadline of one probe, on a new connection.
	probeTimeout = 300 * time.Millisecond
	// settleEvery is the time between two probes of an attempt whose connection was lost.
	settleEvery = 20 * time.Millisecond
	// lateGrace is how long an answer may still be on its way after a probe says the attempt ended.
	lateGrace = 50 * time.Millisecond
)

// finding is what a probe or a call found out about an attempt.
type finding struct {
	answer *targetapi.Answer
	result Result
}

// run runs one attempt to its end and settles the request.
func (d *Dispatcher) run(st Start, c targetapi.Call) {
	defer d.attempts.Done()
	ctx, cancel := context.WithDeadline(d.life, st.Until)
	defer cancel()
	c.Attempt, c.Budget = st.Attempt, time.Until(st.Until)
	w := &watch{d: d, st: st, request: c.RequestID, ctx: ctx, cancel: cancel}
	w.arm(min(max(suspectFactor*st.Expected, d.suspect), suspectMost+d.suspect))
	ans, err := d.caller.Call(ctx, st.Address, c)
	f := w.stop()
	switch {
	case err == nil:
		f = &finding{answer: &ans, result: Result{Answered: true, Status: ans.Status}}
	case f == nil:
		f = d.settle(st, c.RequestID, err)
	}
	d.ended(st, c.Service, f)
}

// ended tells the core how an attempt ended and the caller what came of its request.
func (d *Dispatcher) ended(st Start, service string, f *finding) {
	d.step(func(now time.Time) Actions {
		if f.result.Answered {
			d.reply(st.Request, Reply{Outcome: targetapi.Answered, Answer: *f.answer})
		}
		return d.core.Ended(now, st, f.result)
	})
	if f.result.over() {
		return
	}
	d.attempts.Add(1)
	time.AfterFunc(time.Until(st.Until)+creditMargin, func() {
		defer d.attempts.Done()
		d.step(func(now time.Time) Actions { return d.core.Freed(now, service, st.Token) })
	})
}

// settle finds out what became of an attempt whose call failed, by probes on new connections, until
// it is known or the deadline has passed.
func (d *Dispatcher) settle(st Start, request string, err error) *finding {
	f := judge(err)
	for f.result.Proof == retry.None && time.Now().Before(st.Until) && d.life.Err() == nil {
		p, perr := d.probe(st, request)
		if errors.Is(perr, targetapi.ErrNoProbe) {
			return f
		}
		if got := judgeProbe(p, perr); got != nil {
			return got
		}
		time.Sleep(min(settleEvery, max(0, time.Until(st.Until))))
	}
	return f
}

// judge reads the error of a call.
func judge(err error) *finding {
	res := Result{Proof: retry.None, Reason: err.Error()}
	var notRun *targetapi.NotRunError
	var unknown *targetapi.UnknownError
	switch {
	case errors.As(err, &notRun) && notRun.Sent:
		res.Proof = retry.Refused
	case errors.As(err, &notRun):
		res.Proof = retry.NeverSent
	case errors.As(err, &unknown) && unknown.Over:
		res.Proof = retry.Over
	}
	return &finding{result: res}
}

// judgeProbe reads a probe; nil means that the attempt still runs or that nothing was learned.
func judgeProbe(p targetapi.Probe, err error) *finding {
	switch {
	case err != nil || p.State == targetapi.AttemptRunning:
		return nil
	case p.State == targetapi.AttemptFenced:
		return &finding{result: Result{Proof: retry.Refused, Reason: "the request did not reach the target"}}
	case p.State == targetapi.AttemptEnded && p.Answer != nil:
		return &finding{answer: p.Answer, result: Result{Answered: true, Status: p.Answer.Status}}
	case p.State == targetapi.AttemptEnded:
		return &finding{result: Result{Proof: retry.Over, Reason: "the answer was lost"}}
	}
	return nil
}

// probe asks a target what became of an attempt.
func (d *Dispatcher) probe(st Start, request string) (targetapi.Probe, error) {
	ctx, cancel := context.WithTimeout(d.life, min(probeTimeout, max(time.Millisecond, time.Until(st.Until))))
	defer cancel()
	p, err := d.caller.Probe(ctx, st.Address, request, st.Attempt)
	if err != nil {
		return p, fmt.Errorf("probe %s: %w", st.Target, err)
	}
	return p, nil
}

// watch probes an attempt that takes long, since its connection may have gone silent.
type watch struct {
	d       *Dispatcher
	st      Start
	request string
	ctx     context.Context
	cancel  context.CancelFunc

	mu    sync.Mutex
	timer *time.Timer
	done  bool
	found *finding
}

// arm sets the time of the next probe.
func (w *watch) arm(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	w.timer = time.AfterFunc(after, func() { w.fire(after) })
}

// fire probes once. When the attempt is over its call is given up; when it runs, the next probe is
// twice as far away.
func (w *watch) fire(after time.Duration) {
	p, err := w.d.probe(w.st, w.request)
	if errors.Is(err, targetapi.ErrNoProbe) {
		return
	}
	f := judgeProbe(p, err)
	if f == nil {
		w.arm(2 * after)
		return
	}
	if !f.result.Answered && f.result.Proof == retry.Over {
		sleep(w.ctx, lateGrace)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.found = f
		w.cancel()
	}
}

// stop ends the watch and returns what it found.
func (w *watch) stop() *finding {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.found
}
