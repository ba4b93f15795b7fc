package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax = 6000 * time.Millisecond
	stopMS  = 50 * time.Millisecond
	gangMS  = 3000 * time.Millisecond
	saveMS  = 1000 * time.Millisecond
	restore = 600 * time.Millisecond
)

type run struct {
	id        string // ID.K.STEP.INDEX
	n         int
	s         *jobSpec
	step, idx int
	started   time.Time
	cp        string
	saved     int // ms of work saved
	ended     bool
	x         *life
	stopping  bool
	pct       int
}
type end struct {
	n    int64
	task string
	run  int
	how  string
	cp   string
	note bool
	void bool // the lease lapsed before it was taken note of
}
type Machine struct {
	i       int
	addr    string
	control string
	srv     *http.Server
	mu      sync.Mutex
	l       *life
	label   string
	rack    string
	lateOrd float64
	lostAns float64
	grants  bool
	cut     bool // its links are silent
	zone    string
	lives   int
}
type life struct {
	m        *Machine
	id       string
	born     time.Time
	mu       sync.Mutex
	up       bool
	token    int64
	lease    time.Duration // since born
	runs     map[string]*run
	floor    map[string]int
	ends     []*end
	endN     int64
	seen     int64
	wake     chan struct{}
	seq      int64
	draining bool
	cpu, mem int64
	gone     chan struct{}
	drainAck time.Time
	// shrunk is when the room became smaller than oldCPU.
	shrunk time.Time
	oldCPU int64
}

// room returns the room that the rule counts: one that has shrunk counts contact_ms and one beat later.
func (l *life) room() int64 {
	if time.Since(l.shrunk) < 4500*time.Millisecond {
		return max(l.cpu, l.oldCPU)
	}
	return l.cpu
}

func newLife(m *Machine, id string) *life {
	l := &life{m: m, id: id, born: time.Now(), up: true, runs: map[string]*run{}, floor: map[string]int{}, wake: make(chan struct{}), cpu: 16000, mem: 64000, gone: make(chan struct{})}
	return l
}
func (l *life) clock() int64 { return time.Since(l.born).Milliseconds() + 1000 }

func (m *Machine) serveExec() {
	ln, err := net.Listen("tcp", m.addr)
	if err != nil {
		fatal("listen %s: %v", m.addr, err)
	}
	m.srv = &http.Server{Handler: m, ErrorLog: quiet}
	go m.srv.Serve(ln)
}

func (m *Machine) start(id string) {
	m.mu.Lock()
	if m.l != nil || closing {
		m.mu.Unlock()
		return
	}
	m.lives++
	if id == "" {
		id = fmt.Sprintf("i-%d-%d", m.i, m.lives)
	}
	m.l = newLife(m, id)
	l := m.l
	m.mu.Unlock()
	ev("exec %s born=%d", l.id, l.born.UnixMilli())
	m.serveExec()
	go l.beat()
	go l.tick()
}

func (m *Machine) crash() {
	m.mu.Lock()
	l := m.l
	m.l = nil
	m.mu.Unlock()
	if l == nil {
		return
	}
	m.srv.Close()
	l.mu.Lock()
	l.up = false
	close(l.gone)
	var rs []*run
	for _, r := range l.runs {
		gangs.left(r, "crash")
		r.ended = true
		rs = append(rs, r)
	}
	l.mu.Unlock()
	for _, r := range rs {
		judge.ended(r, "crash")
	}
	ev("exec %s crashed runs=%d", l.id, len(rs))
}

func (l *life) beat() {
	c := &http.Client{Timeout: time.Second}
	for {
		l.mu.Lock()
		if !l.up {
			l.mu.Unlock()
			return
		}
		l.seq++
		st := "ready"
		b := map[string]any{
			"service": service, "address": l.m.addr, "zone": l.m.zone, "version": "v1", "slots": 8, "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": l.cpu, "mem_mb": l.mem, "gpu": 0}, "labels": []string{l.m.label, l.m.rack}, "clock_ms": l.clock(), "seq": l.seq, "born": l.born.UnixMilli(),
		}
		if l.draining {
			st = "draining"
			b["remaining_ms"] = 2000
		}
		b["state"] = st
		l.mu.Unlock()
		data, _ := json.Marshal(b)
		ok := false
		if !l.m.cut {
			if resp, err := c.Post("http://"+l.m.control+"/v1/instances/"+l.id+"/heartbeat", "application/json", bytes.NewReader(data)); err == nil {
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
				ok = resp.StatusCode == 200
				if ok && b["state"] == "draining" && l.drainAck.IsZero() {
					l.drainAck = time.Now()
					ev("drain of %s acknowledged", l.id)
				}
			}
		}
		d := 1500 * time.Millisecond
		if !ok {
			d = 300 * time.Millisecond
		}
		select {
		case <-time.After(d):
		case <-l.gone:
			return
		}
	}
}

func (l *life) tick() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-l.gone:
			return
		case <-t.C:
		}
		l.mu.Lock()
		if time.Since(l.born) > l.lease {
			for _, e := range l.ends {
				e.void = true
			}
			for _, r := range l.runs {
				l.finish(r, "lapsed")
			}
		}
		l.mu.Unlock()
	}
}

// finish ends a run; the caller holds l.mu.
func (l *life) finish(r *run, how string) {
	if r.ended {
		return
	}
	r.ended = true
	delete(l.runs, r.id)
	l.floor[r.id] = max(l.floor[r.id], r.n)
	l.endN++
	e := &end{n: l.endN, task: r.id, run: r.n, how: how, cp: r.cp}
	l.ends = append(l.ends, e)
	judge.ended(r, how)
	close(l.wake)
	l.wake = make(chan struct{})
	gangs.left(r, how)
}

func (l *life) work(r *run) {
	st := r.s.steps[r.step]
	left := time.Duration(st.workMS) * time.Millisecond
	if r.cp != "" {
		i := strings.LastIndex(r.cp, "-")
		n, _ := strconv.Atoi(r.cp[i+1:])
		left -= time.Duration(n) * time.Millisecond
		r.saved = n
		left += restore
	}
	if st.crash {
		after := st.crashMS
		if st.laterMS > 0 && r.n > 1 {
			after = st.laterMS
		}
		for began := time.Now(); ; {
			done := time.Since(began)
			if done >= time.Duration(after)*time.Millisecond {
				break
			}
			l.mu.Lock()
			r.pct = min(99, int(done.Milliseconds())*100/st.workMS)
			l.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
		}
		l.mu.Lock()
		alive := l.up && !r.ended
		l.mu.Unlock()
		if alive {
			m := l.m
			id := ""
			if rand.Intn(2) == 0 {
				id = l.id
			}
			m.crash()
			time.Sleep(time.Duration(2000+rand.Intn(2000)) * time.Millisecond)
			m.start(id)
		}
		return
	}
	fail := rand.Float64() < st.fail
	last := time.Now()
	for {
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		left -= now.Sub(last)
		last = now
		l.mu.Lock()
		if r.ended {
			l.mu.Unlock()
			return
		}
		r.pct = max(0, min(99, (st.workMS-int(left.Milliseconds()))*100/max(1, st.workMS)))
		if st.lasts && left <= 0 {
			r.pct = 100
		}
		if st.checkpoint {
			done := st.workMS - int(left.Milliseconds())
			if done/1000 > r.saved/1000 {
				r.saved = done / 1000 * 1000
				r.cp = fmt.Sprintf("cp:%s:%d-%d", r.id, r.n, r.saved)
				judge.saved(r)
			}
		}
		if !st.lasts && left <= 0 && !r.stopping {
			how := "done"
			if fail {
				how = "failed"
			}
			if st.gang {
				l.mu.Unlock()
				gangs.finish(r, how)
				return
			}
			l.finish(r, how)
			l.mu.Unlock()
			return
		}
		l.mu.Unlock()
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Until      *int64 `json:"until_ms"`
	Token      int64  `json:"fencing_token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	LastSeen   int64  `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (m *Machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		abort()
	}
	m.mu.Lock()
	l, late, lost, cut := m.l, m.lateOrd, m.lostAns, m.cut
	m.mu.Unlock()
	if l == nil {
		abort()
	}
	if cut {
		<-r.Context().Done()
		abort()
	}
	var o order
	if json.Unmarshal(data, &o) != nil {
		w.WriteHeader(400)
		return
	}
	if x := r.Header.Get("Expect-Instance"); x != "" && x != l.id {
		w.WriteHeader(421)
		return
	}
	if r.URL.Path == "/v1/run-start" && holdLate(m, &o) {
		<-r.Context().Done()
		abort()
	}
	isOrder := r.URL.Path != "/v1/hold" || m.grants
	if isOrder && rand.Float64() < late {
		d := time.Duration(2000+rand.Intn(10000)) * time.Millisecond
		path := r.URL.Path
		go func() {
			time.Sleep(d)
			l.mu.Lock()
			up := l.up
			l.mu.Unlock()
			if up {
				o.WaitMS = 0
				st, _ := l.handle(path, &o, true)
				ev("late %s %s/%d on %s: %d", path, o.Task, o.Run, l.id, st)
			}
		}()
		<-r.Context().Done()
		abort()
	}
	st, body := l.handle(r.URL.Path, &o, false)
	if r.URL.Path == "/v1/hold" && st == 200 && o.WaitMS > 0 {
		l.mu.Lock()
		wake := l.wake
		pend := len(l.ends) > 0
		l.mu.Unlock()
		if !pend {
			select {
			case <-wake:
			case <-l.gone:
			case <-r.Context().Done():
			case <-time.After(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond):
			}
		}
		body = l.list()
	}
	l.mu.Lock()
	up := l.up
	l.mu.Unlock()
	if !up || rand.Float64() < lost {
		abort()
	}
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"] = l.clock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(st)
	json.NewEncoder(w).Encode(body)
}

func (l *life) list() map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	running := [][]any{}
	for _, r := range l.runs {
		running = append(running, []any{r.id, r.n, r.cp, r.pct, r.measure()})
	}
	ended := [][]any{}
	for _, e := range l.ends {
		if len(ended) < 500 {
			ended = append(ended, []any{e.n, e.task, e.run, e.how, e.cp})
		}
	}
	return map[string]any{"running": running, "ended": ended, "born": l.born.UnixMilli()}
}

func (r *run) measure() int {
	if r.s.steps[r.step].target > 0 {
		return 20 + rand.Intn(40)
	}
	return r.s.steps[r.step].cpu
}

func (l *life) extend(until *int64) {
	if until == nil {
		return
	}
	d := time.Duration(*until-1000) * time.Millisecond
	if m := time.Since(l.born) + holdMax; d > m {
		d = m
	}
	l.lease = max(l.lease, d)
}

func (l *life) handle(path string, o *order, late bool) (int, map[string]any) {
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return 0, nil
	}
	if o.Token < l.token {
		l.mu.Unlock()
		return 409, map[string]any{"reason": "fence"}
	}
	l.token = o.Token
	switch path {
	case "/v1/hold":
		for len(l.ends) > 0 && l.ends[0].n <= o.LastSeen {
			judge.noted(l, l.ends[0])
			l.ends = l.ends[1:]
		}
		l.extend(o.Until)
		l.mu.Unlock()
		return 200, l.list()
	case "/v1/run-stop":
		l.floor[o.Task] = max(l.floor[o.Task], o.Run)
		r := l.runs[o.Task]
		if r != nil && r.n <= o.Run && !r.stopping {
			r.stopping = true
			go func() {
				time.Sleep(stopMS)
				l.mu.Lock()
				if l.up {
					l.finish(r, "stopped")
				}
				l.mu.Unlock()
			}()
		}
		l.mu.Unlock()
		return 200, map[string]any{}
	case "/v1/pace":
		l.mu.Unlock()
		return 200, map[string]any{}
	case "/v1/run-start":
		if r := l.runs[o.Task]; r != nil && r.n == o.Run {
			l.extend(o.Until)
			l.mu.Unlock()
			return 200, map[string]any{}
		}
		if o.Run <= l.floor[o.Task] {
			l.extend(o.Until)
			l.mu.Unlock()
			return 409, map[string]any{"reason": "old"}
		}
		if o.Until == nil || *o.Until <= l.clock() {
			l.mu.Unlock()
			return 409, map[string]any{"reason": "late"}
		}
		r, why := judge.begin(l, o, late)
		if why != "" {
			l.mu.Unlock()
			return 409, map[string]any{"reason": why}
		}
		l.extend(o.Until)
		l.runs[o.Task] = r
		l.mu.Unlock()
		if r.s == nil {
			return 200, map[string]any{}
		}
		if r.s.steps[r.step].gang {
			gangs.join(r)
		} else {
			go l.work(r)
		}
		return 200, map[string]any{}
	}
	l.mu.Unlock()
	return 404, map[string]any{}
}

// Gangs.
type gangSet struct {
	mu sync.Mutex
	g  map[string]*gang
}
type gang struct {
	members map[int]*run
	present bool
	over    bool
}

var gangs = gangSet{g: map[string]*gang{}}

func gkey(r *run) string { return fmt.Sprintf("%s.%d", r.id[:strings.LastIndex(r.id, ".")], r.n) }
func (gs *gangSet) join(r *run) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	k := gkey(r)
	g := gs.g[k]
	if g == nil {
		g = &gang{members: map[int]*run{}}
		gs.g[k] = g
	}
	g.members[r.idx] = r
	if g.over {
		go r.x.end(r, "broken")
		return
	}
	if len(g.members) == r.s.steps[r.step].count {
		g.present = true
		for _, m := range g.members {
			go m.x.work(m)
		}
		return
	}
	time.AfterFunc(gangMS, func() {
		gs.mu.Lock()
		alone := !g.present && !g.over
		gs.mu.Unlock()
		if alone {
			r.x.end(r, "alone")
		}
	})
}

func (l *life) end(r *run, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.up {
		l.finish(r, how)
	}
}

// left handles that a member has ended; others are broken.
func (gs *gangSet) left(r *run, how string) {
	if r.s == nil || !r.s.steps[r.step].gang || how == "broken" || how == "done" {
		return
	}
	go func() {
		gs.mu.Lock()
		g := gs.g[gkey(r)]
		if g == nil || g.over {
			gs.mu.Unlock()
			return
		}
		if how == "alone" && !g.present {
			delete(g.members, r.idx)
			gs.mu.Unlock()
			return
		}
		g.over = true
		ms := g.members
		gs.mu.Unlock()
		for _, m := range ms {
			if m != r {
				m.x.end(m, "broken")
			}
		}
	}()
}

// finish ends all members together.
func (gs *gangSet) finish(r *run, how string) {
	gs.mu.Lock()
	g := gs.g[gkey(r)]
	if g.over {
		gs.mu.Unlock()
		return
	}
	g.over = true
	ms := g.members
	gs.mu.Unlock()
	if how == "failed" {
		for _, m := range ms {
			if m == r {
				m.x.end(m, "failed")
			} else {
				m.x.end(m, "broken")
			}
		}
		return
	}
	for _, m := range ms {
		m.x.end(m, "done")
	}
}
