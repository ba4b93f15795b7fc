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
	// probeDelayFactor is how many times its expected duration an attempt may take before it is probed.
	probeDelayFactor = 4
	// defaultMinProbeDelay is the shortest time until the first probe, and maxExtraProbeDelay limits what
	// is added to it. A probe fences an attempt that is merely slow to arrive, so it must not come too soon.
	defaultMinProbeDelay = 60 * time.Millisecond
	maxExtraProbeDelay   = 200 * time.Millisecond
	// probeTimeout is the deadline of one probe, on a new connection.
	probeTimeout = 300 * time.Millisecond
	// settleInterval is the time between two probes of an attempt whose connection was lost.
	settleInterval = 20 * time.Millisecond
	// overdueInterval is the time between two probes of an attempt whose deadline has passed, maxOverdueProbes how
	// many there are at most.
	overdueInterval  = 50 * time.Millisecond
	maxOverdueProbes = 40
	// lateAnswerGrace is how long to wait for an answer in transit after a probe found that the attempt
	// has ended.
	lateAnswerGrace = 50 * time.Millisecond
)

// finding is the result of an attempt as a call or a probe found it, with the answer if there is one.
type finding struct {
	answer *targetapi.Answer
	result Result
}

// run runs one attempt to its end and reports its result.
func (d *Dispatcher) run(st Start, c targetapi.Call) {
	defer d.attempts.Done()
	ctx, cancel := context.WithDeadline(d.runCtx, st.Until)
	defer cancel()
	c.Attempt, c.Budget = st.Attempt, time.Until(st.Until)
	w := &watchdog{d: d, st: st, request: c.RequestID, ctx: ctx, cancel: cancel}
	w.arm(min(max(probeDelayFactor*st.Expected, d.minProbeDelay), maxExtraProbeDelay+d.minProbeDelay))
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

// ended reports the result of an attempt to the core and the answer to the caller. If the attempt may
// still be running, its slot is freed later.
func (d *Dispatcher) ended(st Start, service string, f *finding) {
	d.step(func(now time.Time) Actions {
		if f.result.Answered {
			d.reply(st.Request, Reply{Outcome: targetapi.Answered, Answer: *f.answer})
		}
		return d.core.Ended(now, st, f.result)
	})
	if f.result.freesSlot() {
		return
	}
	d.attempts.Add(1)
	go d.freeLater(st, service)
}

// freeLater frees the slot of an attempt that may still be running: creditMargin after its deadline, or later if
// its target still reports it as running then, as a busy one may.
func (d *Dispatcher) freeLater(st Start, service string) {
	defer d.attempts.Done()
	time.Sleep(time.Until(st.Until) + creditMargin)
	for range maxOverdueProbes {
		p, err := d.probe(st, st.Request, probeTimeout)
		if err != nil || p.State != targetapi.AttemptRunning {
			break
		}
		sleep(d.runCtx, overdueInterval)
	}
	d.step(func(now time.Time) Actions { return d.core.FreeSlot(now, service, st.Token) })
}

// settle determines the result of an attempt whose call failed. It probes the target on new connections
// until the result is known, the deadline has passed, the dispatcher has stopped, or the target turns out
// not to support probes.
func (d *Dispatcher) settle(st Start, request string, err error) *finding {
	f := classifyError(err)
	for f.result.Proof == retry.None && time.Now().Before(st.Until) && d.runCtx.Err() == nil {
		p, perr := d.probeInTime(st, request)
		if errors.Is(perr, targetapi.ErrNoProbe) {
			return f
		}
		if got := classifyProbe(p, perr); got != nil {
			return got
		}
		time.Sleep(min(settleInterval, max(0, time.Until(st.Until))))
	}
	return f
}

// classifyError derives a finding from the error of a call.
func classifyError(err error) *finding {
	res := Result{Proof: retry.None, Reason: err.Error()}
	var notRun *targetapi.NotRunError
	var unknown *targetapi.UnknownError
	switch {
	case errors.As(err, &notRun) && notRun.Sent:
		res.Proof = retry.Refused
	case errors.As(err, &notRun):
		res.Proof = retry.NeverSent
	case errors.As(err, &unknown) && unknown.Ended:
		res.Proof, res.ByDeadline = retry.Over, unknown.ByDeadline
	}
	return &finding{result: res}
}

// classifyProbe derives a finding from a probe. It returns nil if the attempt is still running or the
// probe gave no information.
func classifyProbe(p targetapi.Probe, err error) *finding {
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

// probeInTime queries a target for the state of an attempt, until its deadline at the latest.
func (d *Dispatcher) probeInTime(st Start, request string) (targetapi.Probe, error) {
	return d.probe(st, request, min(probeTimeout, max(time.Millisecond, time.Until(st.Until))))
}

// probe queries a target for the state of an attempt.
func (d *Dispatcher) probe(st Start, request string, timeout time.Duration) (targetapi.Probe, error) {
	ctx, cancel := context.WithTimeout(d.runCtx, timeout)
	defer cancel()
	p, err := d.caller.Probe(ctx, st.Address, request, st.Attempt)
	if err != nil {
		return p, fmt.Errorf("probe %s: %w", st.Target, err)
	}
	return p, nil
}

// watchdog probes an attempt that takes long, since its connection may be dead without an error.
type watchdog struct {
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
func (w *watchdog) arm(after time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	w.timer = time.AfterFunc(after, func() { w.fire(after) })
}

// fire probes once. If the attempt is over, its call is cancelled, after lateAnswerGrace if an answer may
// be in transit. Otherwise the next probe follows after twice the delay, unless the target supports no
// probes.
func (w *watchdog) fire(after time.Duration) {
	p, err := w.d.probeInTime(w.st, w.request)
	if errors.Is(err, targetapi.ErrNoProbe) {
		return
	}
	f := classifyProbe(p, err)
	if f == nil {
		w.arm(2 * after)
		return
	}
	if !f.result.Answered && f.result.Proof == retry.Over {
		sleep(w.ctx, lateAnswerGrace)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.done {
		w.found = f
		w.cancel()
	}
}

// stop ends the watchdog and returns its finding, or nil.
func (w *watchdog) stop() *finding {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	if w.timer != nil {
		w.timer.Stop()
	}
	return w.found
}
