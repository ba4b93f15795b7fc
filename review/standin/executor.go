package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of an executor.
const (
	holdMax      = 6 * time.Second
	stopTime     = 50 * time.Millisecond
	endsPerCall  = 500
	beatInterval = 1500 * time.Millisecond
	drainTime    = 2 * time.Second
	gangTime     = 3 * time.Second
	saveWork     = time.Second
	failTime     = 300 * time.Millisecond
)

// Capacity is the room of an executor.
type Capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// Executor is one executor on a side machine; it may crash and start again.
type Executor struct {
	name, addr, control, zone, kind, rack string
	capacity                              Capacity
	world                                 *World
	// failing says that all that it starts fails; it is under the world's lock.
	failing bool
	// intercept may take over a call before it reaches the executor; it reports whether it has.
	intercept func(w http.ResponseWriter, r *http.Request, body []byte) bool

	mu     sync.Mutex
	life   *life
	server *http.Server
	beat   context.CancelFunc
}

// life is one incarnation of an executor.
type life struct {
	e       *Executor
	id      string
	born    int64
	started time.Time
	seq     int
	service string
	drains  chan struct{} // closed once it reports that it drains
	token   int64
	lease   time.Time // zero: none
	lapsed  int       // the highest end that was listed when the lease lapsed
	running map[string]*run
	barred  map[string]int // the highest run of a task that was stopped or has ended
	ended   []end
	numbers int
	acked   int // the highest last_seen; ends up to it are forgotten
	changed chan struct{}
	dead    bool
}

// run is one run of a task.
type run struct {
	task     string
	number   int
	started  time.Time
	lasts    time.Duration // 0: until it is stopped
	stopping bool
	fails    bool
	gang     *gang // nil for a task that works alone
}

// end is one entry of the list of ends.
type end struct {
	number int
	task   string
	run    int
	how    string
	saved  string
}

// Start begins a new incarnation of the executor under an id.
func (e *Executor) Start(id string) error {
	l, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	now := time.Now()
	n := &life{
		e: e, id: id, born: now.UnixMilli(), started: now, service: service, drains: make(chan struct{}),
		running: map[string]*run{}, barred: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	for _, path := range []string{"/v1/run-start", "/v1/run-stop", "/v1/hold", "/v1/pace"} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			body := new(bytes.Buffer)
			if _, err := body.ReadFrom(r.Body); err != nil {
				return
			}
			if e.intercept != nil && e.intercept(w, r, body.Bytes()) {
				return
			}
			n.serve(w, r.Context(), path, r.Header.Get("Expect-Instance"), body.Bytes())
		})
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.mu.Lock()
	e.life, e.server, e.beat = n, &http.Server{Handler: mux}, cancel
	server := e.server
	e.mu.Unlock()
	go server.Serve(l)
	go n.watch(ctx)
	go n.heartbeats(ctx)
	e.world.log("executor %s starts as %s born %d", e.name, id, n.born)
	return nil
}

// Crash ends the current incarnation at once; what runs is gone.
func (e *Executor) Crash() {
	e.mu.Lock()
	n, server, cancel := e.life, e.server, e.beat
	e.mu.Unlock()
	cancel()
	server.Close()
	n.mu().Lock()
	n.dead = true
	runs := len(n.running)
	for t, r := range n.running {
		e.world.runEnded(n, r, "crashed")
		delete(n.running, t)
		r.gang.leave(r, "crashed")
	}
	n.mu().Unlock()
	e.world.log("executor %s (%s) crashes, %d runs gone", e.name, n.id, runs)
}

// crashAndReturn crashes the executor under a deadly task; it is back after two seconds.
func (e *Executor) crashAndReturn() {
	id := e.current().id
	e.Crash()
	time.Sleep(2 * time.Second)
	if err := e.Start(id); err != nil {
		e.world.log("executor %s doesn't start: %v", e.name, err)
	}
}

// Drain takes the executor away as planned: it reports that it drains, serves on for a while, leaves and ends.
func (e *Executor) Drain() {
	n := e.current()
	close(n.drains)
	e.world.log("executor %s (%s) drains", e.name, n.id)
	time.Sleep(drainTime + time.Second)
	status, err := e.world.post(context.Background(), e.control, "/v1/instances/"+n.id+"/leave", map[string]any{})
	e.world.log("executor %s (%s) leaves: %d %v", e.name, n.id, status, err)
	e.Crash()
}

// current returns the current incarnation.
func (e *Executor) current() *life {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.life
}

// mu is the lock of all that the world judges.
func (n *life) mu() *sync.Mutex { return &n.e.world.mu }

// clock returns the executor's steady clock in milliseconds, which starts with the incarnation.
func (n *life) clock() int64 { return time.Since(n.started).Milliseconds() }

// call is the body of any call.
type call struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	UntilMS    *int64 `json:"until_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int    `json:"last_seen"`
	WaitMS     int    `json:"wait_ms"`
}

// serve carries out one call.
func (n *life) serve(w http.ResponseWriter, ctx context.Context, path, instance string, body []byte) {
	var c call
	if json.Unmarshal(body, &c) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"clock_ms": n.clock()})
		return
	}
	n.mu().Lock()
	if n.dead {
		n.mu().Unlock()
		panic(http.ErrAbortHandler)
	}
	if instance != "" && instance != n.id {
		n.mu().Unlock()
		writeJSON(w, http.StatusMisdirectedRequest, map[string]any{"clock_ms": n.clock()})
		return
	}
	status, answer := http.StatusOK, map[string]any{}
	if c.Token < n.token {
		status, answer["reason"] = http.StatusConflict, "fence"
	} else {
		n.token = c.Token
		n.extend(c.UntilMS)
		switch path {
		case "/v1/run-start":
			status = n.start(c, answer)
		case "/v1/run-stop":
			n.stop(c)
		case "/v1/hold":
			n.forget(c.LastSeen)
			n.mu().Unlock()
			n.await(ctx, time.Duration(c.WaitMS)*time.Millisecond)
			n.mu().Lock()
			n.list(answer)
		}
	}
	answer["clock_ms"] = n.clock()
	n.mu().Unlock()
	writeJSON(w, status, answer)
}

// extend extends the lease; it never shortens.
func (n *life) extend(untilMS *int64) {
	if untilMS == nil {
		return
	}
	if n.lease.Before(time.Now()) {
		n.lapsed = n.numbers
	}
	until := n.started.Add(time.Duration(min(*untilMS, n.clock()+holdMax.Milliseconds())) * time.Millisecond)
	if until.After(n.lease) {
		n.lease = until
	}
}

// start carries out a start and returns the status of its answer.
func (n *life) start(c call, answer map[string]any) int {
	r := n.running[c.Task]
	switch {
	case r != nil && r.number == c.Run:
		return http.StatusOK
	case c.UntilMS == nil || *c.UntilMS <= n.clock():
		answer["reason"] = "late"
		return http.StatusConflict
	case n.e.world.prefix == advisedPrefix && !n.e.world.adviser.valid(c.Task, n.id, c.Ticket):
		answer["reason"] = "ticket"
		return http.StatusConflict
	case c.Run <= n.barred[c.Task] || r != nil:
		answer["reason"] = "old"
		return http.StatusConflict
	}
	r = &run{task: c.Task, number: c.Run, started: time.Now(), lasts: n.e.world.duration(c.Task, c.Spec)}
	r.fails = n.e.failing
	n.running[c.Task] = r
	n.e.world.joinGang(n, r, c.Checkpoint)
	n.e.world.runStarted(n, r, c.Spec)
	return http.StatusOK
}

// stop carries out a stop.
func (n *life) stop(c call) {
	n.barred[c.Task] = max(n.barred[c.Task], c.Run)
	r := n.running[c.Task]
	if r == nil || r.number > c.Run || r.stopping {
		return
	}
	r.stopping = true
	time.AfterFunc(stopTime, func() {
		n.mu().Lock()
		defer n.mu().Unlock()
		n.finish(r, "stopped")
	})
}

// finish lists the end of a run.
func (n *life) finish(r *run, how string) {
	if n.running[r.task] != r || n.dead {
		return
	}
	delete(n.running, r.task)
	n.barred[r.task] = max(n.barred[r.task], r.number)
	n.numbers++
	saved := r.saved()
	if r.gang != nil && how == "stopped" {
		saved = r.gang.value(r.gang.progress())
	}
	if n.numbers > n.acked {
		n.ended = append(n.ended, end{n.numbers, r.task, r.number, how, saved})
	}
	n.e.world.runEnded(n, r, how)
	close(n.changed)
	n.changed = make(chan struct{})
	r.gang.leave(r, how)
}

// saved returns the newest checkpoint of a run; one is made with each second of work.
func (r *run) saved() string {
	if r.gang != nil {
		return r.gang.value(r.gang.resumed + (r.gang.progress() - r.gang.resumed).Truncate(saveWork))
	}
	if s := int(time.Since(r.started) / time.Second); s > 0 && checkpoints {
		return fmt.Sprintf("%08x%08x", s, len(r.task)*2654435761%(1<<32))
	}
	return ""
}

// forget drops the ends up to a number.
func (n *life) forget(lastSeen int) {
	if lastSeen > n.acked {
		n.acked = lastSeen
		n.e.world.acknowledged(n, lastSeen)
	}
	i := 0
	for i < len(n.ended) && n.ended[i].number <= lastSeen {
		i++
	}
	n.ended = n.ended[i:]
}

// await waits until an end is listed.
func (n *life) await(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	n.mu().Lock()
	any, changed := len(n.ended) > 0, n.changed
	n.mu().Unlock()
	if any {
		return
	}
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// list adds both lists to an answer, the first 500 ends.
func (n *life) list(answer map[string]any) {
	running, ended := [][]any{}, [][]any{}
	for _, r := range n.running {
		percent := 100
		if r.lasts > 0 {
			percent = int(min(99, 100*r.worked()/r.lasts))
		}
		running = append(running, []any{r.task, r.number, r.saved(), percent, 10})
	}
	for _, e := range n.ended[:min(len(n.ended), endsPerCall)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	answer["running"], answer["ended"], answer["born"] = running, ended, n.born
}

// watch ends runs whose work is done, and everything when the lease has expired.
func (n *life) watch(ctx context.Context) {
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		<-tick.C
		n.mu().Lock()
		now := time.Now()
		if n.lease.Before(now) {
			n.lapsed = n.numbers
		}
		for _, r := range n.running {
			switch {
			case now.After(n.lease):
				n.finish(r, "lapsed")
			case r.lasts > 0 && deadlyAfter > 0 && r.worked() >= deadlyAfter:
				go n.e.crashAndReturn()
				n.mu().Unlock()
				return
			case r.fails && now.Sub(r.started) >= failTime:
				n.finish(r, "failed")
			case r.lasts > 0 && r.worked() >= r.lasts:
				n.finish(r, "done")
			case r.gang != nil && r.gang.began.IsZero() && now.Sub(r.started) >= gangTime:
				n.finish(r, "alone")
			}
		}
		n.mu().Unlock()
	}
}

// heartbeats announces the executor to the guard on its machine.
func (n *life) heartbeats(ctx context.Context) {
	drains, state := n.drains, "ready"
	for ctx.Err() == nil {
		n.seq++
		body := map[string]any{
			"service": n.service, "address": n.e.addr, "zone": n.e.zone, "version": "v1", "slots": 8, "state": state,
			"cold_left_ms": 0, "capacity": n.e.capacity, "labels": []string{n.e.kind, n.e.rack}, "clock_ms": n.clock(),
			"seq": n.seq, "born": n.born,
		}
		if state == "draining" {
			body["remaining_ms"] = drainTime.Milliseconds()
		}
		status, err := n.e.world.post(ctx, n.e.control, "/v1/instances/"+n.id+"/heartbeat", body)
		wait := beatInterval
		if err != nil || status != http.StatusOK {
			wait = 300 * time.Millisecond
		}
		select {
		case <-time.After(wait):
		case <-drains:
			drains, state = nil, "draining"
		case <-ctx.Done():
		}
	}
}

// deadlyAfter is the age at which each run crashes its executor; 0 for never.
var deadlyAfter time.Duration

// jobOf returns the id of a task's job.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}
