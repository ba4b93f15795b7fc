package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"os"
	"time"
)

// spread returns a number from 0 to 1 that depends on a task alone.
func spread(task string) float64 {
	h := fnv.New32a()
	h.Write([]byte(task))
	return float64(h.Sum32()%1000) / 1000
}

// endsCase lets the store fall silent while each executor has more ends to list than one answer holds. With
// DISRUPTION=kill the owner of the cell is killed instead.
func endsCase() (int, string) {
	w, err := NewWorld(2, 3, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.quiet = true
	w.lasts = func(task, _ string) time.Duration {
		return 3500*time.Millisecond + time.Duration(spread(task)*200)*time.Millisecond
	}
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	id := newID()
	if !w.Submit(0, id, "ends", Step{Count: 4500, CPU: 10, MemMB: 38, EstimateMS: 3700}) {
		return finish(w, unable, "the job was not accepted")
	}
	first := w.firstStart(10 * time.Second)
	time.Sleep(time.Until(first.Add(3400 * time.Millisecond)))
	w.log("%d runs work", w.working(id))
	owner := w.Owner()
	switch {
	case trouble && os.Getenv("DISRUPTION") != "kill":
		w.log("the store is silent for 4.5 s")
		for _, p := range append(append([]*Process{}, w.sides...), w.fronts...) {
			p.gate.Shut(4500 * time.Millisecond)
		}
	case trouble && owner != nil:
		w.Kill(owner)
		time.Sleep(500 * time.Millisecond)
		if err := w.Start(owner); err != nil {
			return finish(w, unable, err.Error())
		}
	}
	deadline := time.Now().Add(60 * time.Second)
	state := ""
	for time.Now().Before(deadline) && state != "completed" {
		time.Sleep(time.Second)
		_, state = w.State(1, id)
	}
	time.Sleep(2 * time.Second)
	again := w.startsAfterDone()
	for _, text := range again[:min(len(again), 40)] {
		w.log("AGAIN: %s", text)
	}
	w.log("%d runs in all, state %q", len(w.runs), state)
	if n := len(again) + len(w.overlaps); n > 0 {
		return finish(w, broken, fmt.Sprintf("TWICE: %d starts of tasks that had ended done, %d at the same time", len(again), len(w.overlaps)))
	}
	if state != "completed" {
		return finish(w, unable, "the job did not complete: "+state)
	}
	return finish(w, held, "no task ran again")
}

// recordCase crashes executors while a wide job runs whose tasks save checkpoints.
func recordCase() (int, string) {
	checkpoints = true
	w, err := NewWorld(2, 11, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.quiet = true
	w.lasts = func(task, spec string) time.Duration {
		if spec == "wide" {
			return 20*time.Second + time.Duration(spread(task)*2000)*time.Millisecond
		}
		return time.Second
	}
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	wide := newID()
	if !w.Submit(0, wide, "wide", Step{Count: 4100, CPU: 36, MemMB: 100, EstimateMS: 20000, Checkpointing: true}) {
		return finish(w, unable, "the wide job was not accepted")
	}
	time.Sleep(6 * time.Second)
	w.log("%d runs of the wide job work", w.working(wide))
	e := w.execs[2]
	if trouble {
		e.Crash()
	}
	time.Sleep(4 * time.Second)
	if trouble {
		if err := e.Start("i-9c0b77e1"); err != nil {
			return finish(w, unable, err.Error())
		}
	}
	time.Sleep(10 * time.Second)
	var small []string
	for i := range 5 {
		id := newID()
		if w.Submit(i, id, "small", Step{Count: 2, CPU: 200, MemMB: 100, EstimateMS: 1000}) {
			small = append(small, id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	if len(small) == 0 {
		return finish(w, unable, "no small job was accepted")
	}
	// All work of the wide job is over by now, unless it is started again.
	time.Sleep(30 * time.Second)
	w.log("%d runs of the wide job work; the store has refused %d appends for their size", w.working(wide), w.store.refusedLarge)
	stuck := 0
	for i, id := range small {
		_, state := w.State(i, id)
		if state != "completed" && w.startsOf(id, time.Time{}) == 0 {
			stuck++
		}
	}
	_, state := w.State(0, wide)
	if stuck > 0 {
		return finish(w, broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for 30 s on empty executors; the wide job is %s", stuck, len(small), state))
	}
	return finish(w, held, fmt.Sprintf("all small jobs ran; the wide job is %s", state))
}

// cancelCase cuts the owner of the cell off from the store for some seconds; meanwhile jobs are handed in and cancelled.
func cancelCase() (int, string) {
	w, err := NewWorld(2, 4, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.lasts = func(string, string) time.Duration { return 0 }
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	if trouble {
		owner := w.Owner()
		if owner == nil {
			return finish(w, unable, "no owner")
		}
		w.log("%s is cut off from the store for 5 s", owner.name)
		owner.gate.Shut(5 * time.Second)
	}
	type cancelled struct {
		id string
		at time.Time
	}
	var acked []cancelled
	for i := range 8 {
		id := newID()
		if status, _ := w.Call(http.MethodPost, i, id, map[string]any{
			"spec": "watch", "steps": []Step{{Count: 2, CPU: 200, MemMB: 100, EstimateMS: 1000, LongRunning: true}},
		}); status/100 == 2 {
			time.Sleep(200 * time.Millisecond)
			if status, _ := w.Call(http.MethodDelete, i+1, id, nil); status/100 == 2 || status == http.StatusGone {
				acked = append(acked, cancelled{id, time.Now()})
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	if len(acked) == 0 {
		return finish(w, unable, "no cancel was acknowledged")
	}
	// The cut, contact_ms, cancel_ms and stop_ms are long over.
	time.Sleep(20 * time.Second)
	on := 0
	for _, c := range acked {
		n := w.working(c.id)
		late := w.startsOf(c.id, c.at.Add(3*time.Second))
		w.log("job %s: %d tasks work %.1f s after its cancelling was acknowledged, %d started later than cancel_ms", c.id, n, time.Since(c.at).Seconds(), late)
		if n > 0 {
			on++
		}
	}
	if on > 0 {
		return finish(w, broken, fmt.Sprintf("UNASKED: %d of %d jobs run on 20 s after their cancelling was acknowledged", on, len(acked)))
	}
	return finish(w, held, fmt.Sprintf("none of %d cancelled jobs runs", len(acked)))
}

// rebornCase holds one start up on its way; meanwhile the executor crashes and starts again under its id.
func rebornCase() (int, string) {
	w, err := NewWorld(2, 4, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.lasts = func(string, string) time.Duration { return 12 * time.Second }
	const delay = 7 * time.Second
	held1 := make(chan *Executor, 1)
	for _, e := range w.execs {
		e.intercept = func(rw http.ResponseWriter, r *http.Request, body []byte) bool {
			if !trouble || r.URL.Path != "/v1/run-start" {
				return false
			}
			select {
			case held1 <- e:
			default:
				return false
			}
			w.log("a start to %s is held up: %s", e.name, body)
			instance := r.Header.Get("Expect-Instance")
			time.AfterFunc(delay, func() {
				w.log("the start to %s arrives", e.name)
				e.current().serve(discard{}, context.Background(), "/v1/run-start", instance, body)
			})
			<-r.Context().Done()
			return true
		}
	}
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	time.Sleep(12 * time.Second)
	id := newID()
	if !w.Submit(0, id, "task", Step{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 12000}) {
		return finish(w, unable, "the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	if trouble {
		select {
		case e := <-held1:
			e.Crash()
			time.Sleep(2 * time.Second)
			if err := e.Start(e.life.id); err != nil {
				return finish(w, unable, err.Error())
			}
			held1 <- e
		default:
			return finish(w, unable, "no start was sent")
		}
	}
	time.Sleep(25 * time.Second)
	again := w.startsAfterDone()
	for _, text := range again {
		w.log("AGAIN: %s", text)
	}
	if n := len(again) + len(w.overlaps); n > 0 {
		return finish(w, broken, fmt.Sprintf("TWICE: %d starts while the task ran elsewhere, %d after it had ended done", len(w.overlaps), len(again)))
	}
	return finish(w, held, "the task ran once at a time")
}

// discard is a response that nobody reads.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

// announcedCase sends each guard one heartbeat of another writer, with a service that nothing names.
func announcedCase() (int, string) {
	w, err := NewWorld(2, 4, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	if trouble {
		for _, e := range w.execs {
			n := e.current()
			status, err := w.post(context.Background(), e.control, "/v1/instances/"+n.id+"/heartbeat", map[string]any{
				"service": "unnamed", "address": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready",
				"cold_left_ms": 0, "capacity": e.capacity, "labels": []string{e.kind, e.rack}, "clock_ms": n.clock(),
				"seq": 400, "born": n.born,
			})
			w.log("a heartbeat of another writer to the guard of %s: %d %v", e.name, status, err)
		}
	}
	time.Sleep(5 * time.Second)
	var ids []string
	for i := range 6 {
		id := newID()
		if w.Submit(i, id, "task", Step{Count: 2, CPU: 500, MemMB: 100, EstimateMS: 1000}) {
			ids = append(ids, id)
		}
		time.Sleep(300 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	stuck := 0
	for i, id := range ids {
		if _, state := w.State(i, id); state != "completed" && w.startsOf(id, time.Time{}) == 0 {
			stuck++
		}
	}
	if stuck > 0 {
		return finish(w, broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for 30 s on empty executors", stuck, len(ids)))
	}
	return finish(w, held, fmt.Sprintf("all %d jobs ran", len(ids)))
}

// gangCase takes an executor away while a gang with checkpoints runs.
func gangCase() (int, string) {
	w, err := NewWorld(2, 7, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.lasts = func(string, string) time.Duration { return 12 * time.Second }
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	id := newID()
	const members = 6
	w.mu.Lock()
	w.gangSize[id] = members
	w.mu.Unlock()
	if !w.Submit(0, id, "gang", Step{Count: members, CPU: 8000, MemMB: 1000, EstimateMS: 12000, Gang: true, Checkpointing: true}) {
		return finish(w, unable, "the job was not accepted")
	}
	first := w.firstStart(10 * time.Second)
	time.Sleep(time.Until(first.Add(3500 * time.Millisecond)))
	if trouble {
		w.mu.Lock()
		e := w.runs[0].life.e
		w.mu.Unlock()
		e.Drain()
	}
	// The executor is gone; nothing else happens from here on.
	calm := time.Now().Add(5 * time.Second)
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end) && state != "completed"; time.Sleep(2 * time.Second) {
		_, state = w.State(1, id)
	}
	alone := 0
	w.mu.Lock()
	for _, s := range w.runs {
		if s.how == "alone" && s.ended.After(calm) {
			alone++
		}
	}
	w.mu.Unlock()
	if alone > 0 {
		return finish(w, broken, fmt.Sprintf("GANG: %d runs ended alone, 5 s and more after the executor had left; the job is %s after 60 s", alone, state))
	}
	if state != "completed" {
		return finish(w, unable, "the job is "+state)
	}
	return finish(w, held, "the gang completed")
}

// trialCase makes the only executor of a kind fail for some seconds; afterwards it is sound again.
func trialCase() (int, string) {
	w, err := NewWorld(2, 7, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.lasts = func(_, spec string) time.Duration {
		if spec == "watch" {
			return 0
		}
		return time.Second
	}
	special := w.execs[3]
	special.kind = "b"
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	fail := func(on bool) {
		w.mu.Lock()
		special.failing = on
		w.mu.Unlock()
		w.log("%s fails all that it starts: %t", special.name, on)
	}
	short := Step{Count: 2, CPU: 500, MemMB: 500, EstimateMS: 1000, Requires: "b"}
	watch := Step{Count: 4, CPU: 1000, MemMB: 500, EstimateMS: 1000, Requires: "b", LongRunning: true}
	submit := func(spec string, s Step) string {
		id := newID()
		if !w.Submit(0, id, spec, s) {
			return ""
		}
		return id
	}
	if trouble {
		fail(true)
	}
	lasting := submit("watch", watch)
	time.Sleep(3 * time.Second)
	if trouble {
		fail(false)
	}
	time.Sleep(15 * time.Second)
	var later []string
	for range 4 {
		later = append(later, submit("short", short))
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(30 * time.Second)
	stuck := 0
	for i, id := range later {
		if id == "" {
			return finish(w, unable, "a job was not accepted")
		}
		if _, state := w.State(i, id); state != "completed" && w.startsOf(id, time.Time{}) == 0 {
			stuck++
		}
	}
	on := w.working(lasting)
	if stuck > 0 || on < watch.Count {
		return finish(w, broken, fmt.Sprintf("LOST: %d of %d accepted jobs have nothing running for 30 s though their executor has room; %d of %d lasting tasks work", stuck, len(later), on, watch.Count))
	}
	return finish(w, held, "all ran")
}

// adviceCase crashes one executor while small jobs come on a queue with advice.
func adviceCase() (int, string) {
	w, err := NewWorld(2, 7, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.prefix = advisedPrefix
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	var ids []string
	crashed := make(chan error, 1)
	for i := range 100 {
		if i == 40 {
			go func() {
				if !trouble {
					crashed <- nil
					return
				}
				e := w.execs[2]
				w.awaitStart(e, 2*time.Second)
				e.Crash()
				time.Sleep(4 * time.Second)
				crashed <- e.Start("i-9c0b77e1")
			}()
		}
		id := newID()
		if w.Submit(i, id, "task", Step{Count: 8, CPU: 500, MemMB: 500, EstimateMS: 1000}) {
			ids = append(ids, id)
		}
		time.Sleep(150 * time.Millisecond)
	}
	if err := <-crashed; err != nil {
		return finish(w, unable, err.Error())
	}
	time.Sleep(30 * time.Second)
	stuck := 0
	for i, id := range ids {
		before := w.adviser.asked(id)
		if _, state := w.State(i, id); state != "completed" && w.working(id) == 0 && w.startsOf(id, time.Now().Add(-25*time.Second)) == 0 {
			stuck++
			w.log("job %s: %s, no task started for 25 s, advice was asked %d times in all", id, state, before)
		}
	}
	if stuck > 0 {
		return finish(w, broken, fmt.Sprintf("LOST: %d of %d accepted jobs have a task that isn't started again for 25 s on empty executors", stuck, len(ids)))
	}
	return finish(w, held, fmt.Sprintf("all %d jobs completed", len(ids)))
}

// latePollCase holds one hold up on its way; meanwhile the executor crashes and starts again under its id.
func latePollCase() (int, string) {
	w, err := NewWorld(2, 2, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.lasts = func(_, spec string) time.Duration {
		if spec == "long" {
			return 4 * time.Second
		}
		return 300 * time.Millisecond
	}
	const delay = 5 * time.Second
	e := w.execs[0]
	catch := make(chan struct{}, 1) // holds a token while the next hold shall be held up
	caught := make(chan struct{}, 1)
	e.intercept = func(rw http.ResponseWriter, r *http.Request, body []byte) bool {
		var b call
		if r.URL.Path != "/v1/hold" || json.Unmarshal(body, &b) != nil || b.LastSeen < 12 {
			return false
		}
		select {
		case <-catch:
		default:
			return false
		}
		w.log("a hold to %s is held up: %s", e.name, body)
		instance := r.Header.Get("Expect-Instance")
		time.AfterFunc(delay, func() {
			w.log("the hold to %s arrives", e.name)
			e.current().serve(discard{}, context.Background(), "/v1/hold", instance, body)
		})
		caught <- struct{}{}
		<-r.Context().Done()
		return true
	}
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	for i := range 10 {
		w.Submit(i, newID(), "short", Step{Count: 6, CPU: 1000, MemMB: 100, EstimateMS: 300})
		time.Sleep(400 * time.Millisecond)
	}
	if trouble {
		catch <- struct{}{}
		w.Submit(0, newID(), "short", Step{Count: 6, CPU: 1000, MemMB: 100, EstimateMS: 300})
		<-caught
		time.Sleep(500 * time.Millisecond)
		e.Crash()
		time.Sleep(2 * time.Second)
		if err := e.Start(e.life.id); err != nil {
			return finish(w, unable, err.Error())
		}
		time.Sleep(700 * time.Millisecond)
	}
	id := newID()
	if !w.Submit(0, id, "long", Step{Count: 12, CPU: 1000, MemMB: 100, EstimateMS: 4000}) {
		return finish(w, unable, "the job was not accepted")
	}
	time.Sleep(20 * time.Second)
	again := w.startsAfterDone()
	for _, text := range again {
		w.log("AGAIN: %s", text)
	}
	if n := len(again) + len(w.overlaps); n > 0 {
		return finish(w, broken, fmt.Sprintf("TWICE: %d starts of tasks that had ended done, %d at the same time", len(again), len(w.overlaps)))
	}
	return finish(w, held, "no task ran again")
}

// deadlyCase runs a task that crashes each executor that starts it, after some seconds of work.
func deadlyCase() (int, string) {
	w, err := NewWorld(2, 4, Capacity{CPU: 16000, MemMB: 64000})
	if err != nil {
		return unable, err.Error()
	}
	w.lasts = func(string, string) time.Duration { return 14 * time.Second }
	if err := w.Up(); err != nil {
		return finish(w, unable, err.Error())
	}
	if trouble {
		deadlyAfter = 10800 * time.Millisecond
	}
	id := newID()
	if !w.Submit(0, id, "task", Step{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 14000}) {
		return finish(w, unable, "the job was not accepted")
	}
	state := ""
	for end := time.Now().Add(95 * time.Second); time.Now().Before(end) && state != "completed" && state != "failed"; time.Sleep(2 * time.Second) {
		_, state = w.State(0, id)
	}
	w.mu.Lock()
	starts, crashes := len(w.runs), 0
	for _, s := range w.runs {
		if s.how == "crashed" {
			crashes++
		}
	}
	w.mu.Unlock()
	if starts >= 6 {
		return finish(w, broken, fmt.Sprintf("BUDGET: the task was started %d times, %d executors have crashed under it; the job is %s", starts, crashes, state))
	}
	return finish(w, held, fmt.Sprintf("%d starts, %d crashes, the job is %s", starts, crashes, state))
}
