// Package main plays the platform for the review's cases: the metadata store, executors and clients. It starts the
// project's programs as separate processes and judges what clients, executors and the store have seen.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the only queue and service.
const (
	host    = "queue.example"
	prefix  = "/work/"
	service = "pool"
)

// checkpoints says whether tasks save checkpoints.
var checkpoints bool

// World is one small deployment.
type World struct {
	root, dir string
	net       string // the first three numbers of all addresses
	record    *os.File
	began     time.Time
	store     *Store
	adviser   *Adviser
	// adviserAddr is the address of the adviser, prefix the path of the queue that clients use.
	adviserAddr, prefix string
	fronts              []*Process
	sides               []*Process
	execs               []*Executor
	client              *http.Client

	mu       sync.Mutex
	recordMu sync.Mutex
	// lasts returns how long a run of a task works.
	lasts func(task, spec string) time.Duration
	runs  []*seenRun
	// current holds what runs now, by task.
	current  map[string][]*seenRun
	overlaps []string
	// gangSize is the number of members of the gang of a job.
	gangSize map[string]int
	gangs    map[string]*gang
	// quiet leaves the runs out of the record.
	quiet bool
}

// seenRun is a run as the executors saw it.
type seenRun struct {
	life           *life
	task           string
	number         int
	started, ended time.Time
	how            string
	endNumber      int
	noted          bool // its end has been taken note of
	lapsed         bool // the lease lapsed between the end and the note
}

// Process is one process of the system, with its gate to the store.
type Process struct {
	name, program, ip string
	file              string
	gate              *Gate
	cmd               *exec.Cmd
	done              chan struct{}
}

// NewWorld makes the store, the configuration and the settings of a deployment.
func NewWorld(fronts, sides int, capacity Capacity) (*World, error) {
	// The program stands in target/review.
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	root := filepath.Join(filepath.Dir(program), "..", "..")
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	w := &World{
		root: root, dir: dir, record: record, began: time.Now(), store: NewStore(), current: map[string][]*seenRun{},
		gangSize: map[string]int{}, gangs: map[string]*gang{}, adviser: NewAdviser(), prefix: prefix,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		lasts:  func(string, string) time.Duration { return time.Second },
	}
	if w.net, err = freeNet(); err != nil {
		return nil, err
	}
	storeAddr, err := w.serve(w.net+".1", w.store.Handler())
	if err != nil {
		return nil, err
	}
	if w.adviserAddr, err = w.serve(w.net+".2", w.adviser); err != nil {
		return nil, err
	}
	w.configure(1)
	internal := 20000 + rand.Intn(10000)
	for i := range fronts {
		p, err := w.process("front", "crocus-entry", i+1, 10+i, storeAddr, internal, "")
		if err != nil {
			return nil, err
		}
		w.fronts = append(w.fronts, p)
	}
	for i := range sides {
		ip := fmt.Sprintf("%s.%d", w.net, 100+i)
		app := ip + ":" + strconv.Itoa(portApp)
		p, err := w.process("side", "crocus-guard", i+1, 100+i, storeAddr, internal, app)
		if err != nil {
			return nil, err
		}
		w.sides = append(w.sides, p)
		w.execs = append(w.execs, &Executor{
			name: fmt.Sprintf("W%d", i+1), addr: app, control: ip + ":" + strconv.Itoa(portControl), zone: zone(i),
			kind: "a", rack: fmt.Sprintf("r%d", i/3), capacity: capacity, world: w,
		})
	}
	return w, nil
}

// Ports of a process on its own loopback address.
const (
	portFront   = 8161
	portReady   = 8167
	portControl = 8166
	portApp     = 8165
	portMetrics = 9464
)

// freeNet returns three numbers of loopback addresses that nobody uses.
func freeNet() (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 20+rand.Intn(200), 1+rand.Intn(250))
		l, err := net.Listen("tcp", n+".10:"+strconv.Itoa(portMetrics))
		if err != nil {
			continue
		}
		l.Close()
		return n, nil
	}
	return "", errors.New("no free loopback addresses")
}

// zone returns the zone of the machine with an index.
func zone(i int) string { return fmt.Sprintf("zone-%d", i%3+1) }

// serve serves a handler on a free port of an address.
func (w *World) serve(ip string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	go (&http.Server{Handler: h}).Serve(l)
	return l.Addr().String(), nil
}

// configure writes a configuration as the operator does.
func (w *World) configure(version int) {
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "work", "host": host, "path_prefix": prefix, "service": service, "priority": 0,
			"max_attempts": 4, "stretch": 4, "latency_target_ms": 1000,
		}, {
			"name": "advised", "host": host, "path_prefix": advisedPrefix, "service": service, "priority": 0,
			"max_attempts": 4, "stretch": 4, "latency_target_ms": 1000,
			"advice": map[string]any{"decide_ms": decideMS, "each_ms": eachMS, "valid_ms": validMS},
		}},
		"services": []map[string]any{{"name": service, "rejects_overload": false}},
		"limits":   map[string]any{"max_body_bytes": 262144},
	})
	w.store.Put("keyed.op", "config", value)
}

// process makes the gate and the settings file of a process.
func (w *World) process(class, program string, n, last int, store string, internal int, app string) (*Process, error) {
	ip := fmt.Sprintf("%s.%d", w.net, last)
	gate, err := NewGate(ip, store)
	if err != nil {
		return nil, err
	}
	p := &Process{name: fmt.Sprintf("%s-%d", class, n), program: program, ip: ip, gate: gate}
	p.file = filepath.Join(w.dir, p.name+".toml")
	listen := fmt.Sprintf("front = \"%s:%d\"\nready = \"%s:%d\"\n", ip, portFront, ip, portReady)
	side := ""
	if app != "" {
		listen = fmt.Sprintf("control = \"%s:%d\"\n", ip, portControl)
		side = fmt.Sprintf("app = %q\nservice = %q\n", app, service)
	}
	text := fmt.Sprintf(`node_name = %q
role = %q
machine_class = %q
serves = [%q]
ip = %q
zone = %q
region = "region"
internal_ports = [%d,%d]
bootstrap = true
heartbeat_ms = 1500
orders = "invocation"
advice = %q
%s[listen]
%s[limits]
cpu_share = 0.24
memory_mb = 284
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = %d
stop_ms = 200
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
save_s = 1
lease_ms = 3000
[platform]
address = %q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 8
append_ms = 4.0
record_bytes = %d
call_bytes = %d
keep_s = 300
`, p.name, class, class, class, ip, zone(n-1), internal, internal+15, w.adviserAddr, side, listen, holdMax.Milliseconds(), gate.addr, recordBytes, callBytes)
	return p, os.WriteFile(p.file, []byte(text), 0o600)
}

// Start starts a process.
func (w *World) Start(p *Process) error {
	out, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join(w.root, "target", p.program), "platform")
	p.cmd.Dir = w.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CROCUSSPRING_NODE_FILE=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		cmd.Wait()
		out.Close()
		close(done)
	}(p.cmd, p.done)
	w.log("process %s starts, pid %d", p.name, p.cmd.Process.Pid)
	return nil
}

// Kill kills a process at once.
func (w *World) Kill(p *Process) {
	w.log("process %s is killed", p.name)
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// Running reports whether a process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Up starts everything and waits until the fronts are ready and every executor can be given work.
func (w *World) Up() error {
	world.Store(w)
	for i, e := range w.execs {
		if err := e.Start(fmt.Sprintf("i-%08x", 0x7f3a0000+i)); err != nil {
			return err
		}
	}
	for _, p := range append(append([]*Process{}, w.sides...), w.fronts...) {
		if err := w.Start(p); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range w.fronts {
		for {
			resp, err := w.client.Get(fmt.Sprintf("http://%s:%d/v1/ready", p.ip, portReady))
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(5 * time.Second)
	return nil
}

// Down ends all processes and removes the temporary folder. With KEEP set, the folder stays.
func (w *World) Down() {
	for _, p := range append(append([]*Process{}, w.fronts...), w.sides...) {
		if p.cmd != nil && p.Running() {
			p.cmd.Process.Signal(syscall.SIGKILL)
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		w.log("logs in %s", w.dir)
	}
	w.record.Close()
}

// Owner returns the process that wrote the lease of the cell last: the one that wrote to the store under a condition.
func (w *World) Owner() *Process {
	for _, p := range w.sides {
		if strings.Contains(string(w.store.Newest("keyed.owner", "cell")), strconv.Quote(p.name)) {
			return p
		}
	}
	return nil
}

// log writes a line to the record.
func (w *World) log(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// duration returns how long a run works. The caller holds the lock.
func (w *World) duration(task, spec string) time.Duration { return w.lasts(task, spec) }

// runStarted records the start of a run. The caller holds the lock.
func (w *World) runStarted(n *life, r *run, spec string) {
	s := &seenRun{life: n, task: r.task, number: r.number, started: r.started}
	w.runs = append(w.runs, s)
	if !w.quiet {
		w.log("%s born %d starts %s run %d", n.e.name, n.born, r.task, r.number)
	}
	for _, o := range w.current[r.task] {
		text := fmt.Sprintf("%s run %d starts on %s while run %d works on %s", r.task, r.number, n.e.name, o.number, o.life.e.name)
		w.overlaps = append(w.overlaps, text)
		w.log("TWO AT A TIME: %s", text)
	}
	w.current[r.task] = append(w.current[r.task], s)
}

// noteForgotten marks an end that the executor has forgotten before it listed it. The caller holds the lock.
func (w *World) noteForgotten(s *seenRun, n *life, how string) {
	if how != "crashed" && n.numbers <= n.acked {
		s.noted = true
	}
}

// runEnded records the end of a run. The caller holds the lock.
func (w *World) runEnded(n *life, r *run, how string) {
	list := w.current[r.task]
	for i, s := range list {
		if s.life == n && s.number == r.number {
			s.ended, s.how, s.endNumber = time.Now(), how, n.numbers
			w.noteForgotten(s, n, how)
			w.current[r.task] = append(list[:i:i], list[i+1:]...)
			if !w.quiet {
				w.log("%s ends %s run %d as %s, number %d", n.e.name, r.task, r.number, how, n.numbers)
			}
			return
		}
	}
}

// acknowledged records that the ends of an incarnation up to a number have been taken note of. The caller holds the lock.
func (w *World) acknowledged(n *life, lastSeen int) {
	for _, s := range w.runs {
		if s.life == n && s.how != "" && s.how != "crashed" && s.endNumber <= lastSeen && !s.noted {
			s.noted = true
			s.lapsed = s.endNumber <= n.lapsed
		}
	}
}

// startsAfterDone returns the starts of tasks after a run of them had ended done, if that end was taken note of.
func (w *World) startsAfterDone() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := map[string]*seenRun{}
	for _, s := range w.runs {
		if s.how == "done" && s.noted && !s.lapsed && (first[s.task] == nil || s.ended.Before(first[s.task].ended)) {
			first[s.task] = s
		}
	}
	var out []string
	for _, s := range w.runs {
		if d := first[s.task]; d != nil && d != s && s.started.After(d.ended) {
			out = append(out, fmt.Sprintf("%s run %d starts on %s at %.3f, run %d ended done on %s at %.3f as number %d",
				s.task, s.number, s.life.e.name, s.started.Sub(w.began).Seconds(), d.number, d.life.e.name, d.ended.Sub(w.began).Seconds(), d.endNumber))
		}
	}
	return out
}

// working returns how many runs of a job work now.
func (w *World) working(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for t, list := range w.current {
		if jobOf(t) == job {
			n += len(list)
		}
	}
	return n
}

// startsOf returns the starts of a job's tasks after a time.
func (w *World) startsOf(job string, after time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, s := range w.runs {
		if jobOf(s.task) == job && s.started.After(after) {
			n++
		}
	}
	return n
}

// firstStart waits for the first start of a run and returns its time.
func (w *World) firstStart(limit time.Duration) time.Time {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		w.mu.Lock()
		if len(w.runs) > 0 {
			defer w.mu.Unlock()
			return w.runs[0].started
		}
		w.mu.Unlock()
	}
	return time.Now()
}

// awaitStart waits until an executor has just started a run.
func (w *World) awaitStart(e *Executor, limit time.Duration) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		w.mu.Lock()
		for _, r := range e.life.running {
			if age := time.Since(r.started); age > 50*time.Millisecond && age < 150*time.Millisecond {
				w.mu.Unlock()
				return
			}
		}
		w.mu.Unlock()
	}
}

// Step is one step of a job.
type Step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstimateMS    int    `json:"estimate_ms"`
	DependsOn     []int  `json:"depends_on,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	Requires      string `json:"requires,omitempty"`
}

// newID returns the id of a job.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Call makes a client's call about a job at a front and returns the status, 0 without an answer.
func (w *World) Call(method string, front int, id string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	var data []byte
	if body != nil {
		data, _ = json.Marshal(body)
	}
	addr := fmt.Sprintf("http://%s:%d%s%s", w.fronts[front%len(w.fronts)].ip, portFront, w.prefix, id)
	req, err := http.NewRequestWithContext(ctx, method, addr, bytes.NewReader(data))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		w.log("client %s %s: no answer: %v", method, id, err)
		return 0, ""
	}
	defer resp.Body.Close()
	out, _ := io.ReadAll(resp.Body)
	w.log("client %s %s: %d %s", method, id, resp.StatusCode, strings.TrimSpace(string(out[:min(len(out), 120)])))
	return resp.StatusCode, string(out)
}

// Submit hands a job in, with up to four retries at other fronts; it reports whether the job was accepted.
func (w *World) Submit(front int, id, spec string, steps ...Step) bool {
	for try := range 5 {
		if status, _ := w.Call(http.MethodPost, front+try, id, map[string]any{"spec": spec, "steps": steps}); status/100 == 2 {
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// State asks for the state of a job.
func (w *World) State(front int, id string) (int, string) {
	status, body := w.Call(http.MethodGet, front, id, nil)
	var v struct {
		State string `json:"state"`
	}
	json.Unmarshal([]byte(body), &v)
	return status, v.State
}

// post makes an executor's call.
func (w *World) post(ctx context.Context, addr, path string, body any) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	data, _ := json.Marshal(body)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, nil
}

// writeJSON writes a response.
func writeJSON(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(data)
}
