package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
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

// config is the size and the bounds of a deployment.
type config struct {
	fronts, sides             int
	racks                     int
	holdMaxMS, stopMS, gangMS int64
	cancelMS, statusS         int64
	rejects                   bool
	sideCPU, sideMem          int64
	root                      string
	advice                    bool
	maxAttempts               int
}

// smallDeployment has the bounds of the pages' small deployments.
func smallDeployment() config {
	return config{
		fronts: 3, sides: 5, racks: 2, holdMaxMS: 6000, stopMS: 200, gangMS: 3000, cancelMS: 3000, statusS: 120,
		sideCPU: 16000, sideMem: 64000, maxAttempts: 4,
	}
}

// taskDef is a step as clients send it, with what its tasks really do.
type taskDef struct {
	Count         int    `json:"count"`
	CPU           int64  `json:"cpu,omitempty"`
	MemMB         int64  `json:"mem_mb,omitempty"`
	EstimateMS    int64  `json:"estimate_ms,omitempty"`
	DependsOn     []int  `json:"depends_on,omitempty"`
	Gang          bool   `json:"gang,omitempty"`
	RackLocality  bool   `json:"rack_locality,omitempty"`
	Requires      string `json:"requires,omitempty"`
	DataRack      string `json:"data_rack,omitempty"`
	AntiAffinity  int    `json:"anti_affinity,omitempty"`
	Speculative   bool   `json:"speculative,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	Image         string `json:"image,omitempty"`
	TargetMS      int64  `json:"target_ms,omitempty"`
	Fills         bool   `json:"fills,omitempty"`

	// actualMS is how long a task takes, failShare the share of its runs that fail.
	actualMS  float64
	failShare float64
}

// clientJob is a job with what its client knows of it.
type clientJob struct {
	ID      string     `json:"-"`
	Spec    string     `json:"spec"`
	Steps   []*taskDef `json:"steps"`
	FirstMS int64      `json:"first_run_ms,omitempty"`
	Every   int64      `json:"interval_ms,omitempty"`
	Repeat  int        `json:"repeat_count,omitempty"`

	queue       *queue
	firstSent   int64
	accepted    int64 // ms of the first 2xx, -1 before
	cancelSent  int64
	cancelled   int64 // ms of the 2xx or 410, -1 before
	attempts    int
	rejected    int
	checkpoints map[string]int // step.index or step for gangs -> issued
	lastState   string
	stalledFrom int64
	stalled     bool
	overrun     bool
}

// queue is a route.
type queue struct {
	Name, Prefix string
	Priority     int
	TargetMS     int64
}

// world is a deployment with its stand-ins.
type world struct {
	cfg    config
	dir    string
	prefix string
	rec    *recorder
	store  *metaStore
	client *http.Client

	mu     sync.Mutex
	execs  []*executor
	fronts []*proc
	sides  []*proc
	jobs   map[string]*clientJob
	runs   []*workRun
	gangs  map[string][]*workRun
	breaks []string
	broken map[string]int
	saves  map[string]savedWork
	queues []*queue
	stop   chan struct{}
	// troubles counts the disruptions in progress, calmSince is when the last one ended.
	troubles  int
	calmSince int64
	// lastRequest is when a client last handed in a job.
	lastRequest int64
	busy        map[string]bool
	version     int
	// advisers holds a lock for each caller of the policy service.
	advisers sync.Map
	// outcomeOf may replace the outcome of a run.
	outcomeOf func(r *workRun) (string, float64)
	// onStop is called with the lock when a run is being stopped.
	onStop func(r *workRun)
	// onStart is called with the lock when a run has begun.
	onStart func(r *workRun)
}

// savedWork is what a checkpoint holds.
type savedWork struct {
	owner string
	work  int
}

// proc is one process of the system.
type proc struct {
	name, ip, file, program string
	cmd                     *exec.Cmd
	done                    chan struct{}
	stopping                bool
}

// newWorld reserves addresses and a folder.
func newWorld(cfg config, rec *recorder) (*world, error) {
	dir, err := os.MkdirTemp("", "crocus-review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		cfg: cfg, dir: dir, rec: rec, store: newMetaStore(rec), jobs: map[string]*clientJob{}, gangs: map[string][]*workRun{},
		saves: map[string]savedWork{}, stop: make(chan struct{}), broken: map[string]int{}, busy: map[string]bool{},
	}
	w.client = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.Intn(250), rand.Intn(250))
		l, err := net.Listen("tcp", w.prefix+"1:8169")
		if err != nil {
			continue
		}
		go http.Serve(l, w.store)
		w.queues = []*queue{{"urgent", "/urgent/", 0, 250}, {"batch", "/batch/", 2, 1000}, {"watch", "/watch/", 0, 2500}}
		w.putConfig(1)
		return w, nil
	}
	return nil, errors.New("no free address")
}

// putConfig writes a configuration as the operator does.
func (w *world) putConfig(version int) {
	var routes []map[string]any
	for _, q := range w.queues {
		r := map[string]any{
			"name": q.Name, "host": "desk.example", "path_prefix": q.Prefix, "kind": "unsafe", "timeout_ms": 3000,
			"latency_target_ms": q.TargetMS, "priority": q.Priority, "service": "pool", "max_attempts": w.cfg.maxAttempts, "stretch": 2.0,
		}
		if w.cfg.advice {
			r["advice"] = map[string]any{"decide_ms": 20, "each_ms": 2, "valid_ms": 3000}
		}
		routes = append(routes, r)
	}
	data, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{"name": "pool", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": w.cfg.rejects, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	w.store.put("keyed.op", "config", data)
}

// settings returns a settings file as the platform writes it.
func (w *world) settings(name, ip string, side bool, store string) string {
	class, serves := "front", `["front"]`
	if side {
		class, serves = "side", `["side"]`
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node_name = %q\nrole = %q\nmachine_class = %q\nserves = %s\nip = %q\nzone = \"z1\"\nregion = \"r1\"\n", name, class, class, serves, ip)
	fmt.Fprintf(&b, "internal_ports = [7720,7735]\nseeds = []\nbootstrap = true\ncounts_as_loss = false\ndiscovery = \"local\"\nentry = \"vip\"\nheartbeat_ms = 1500\n")
	fmt.Fprintf(&b, "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\norders = \"invocation\"\n")
	if side {
		fmt.Fprintf(&b, "app = %q\nservice = \"pool\"\n", ip+":8165")
	}
	fmt.Fprintf(&b, "advice = %q\n[zones]\nz1 = \"r1\"\n[listen]\n", w.prefix+"1:8170")
	if side {
		fmt.Fprintf(&b, "control = %q\n", ip+":8166")
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\n", ip+":8161", ip+":8167")
	}
	fmt.Fprintf(&b, "[limits]\ncpu_share = 0.24\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n")
	fmt.Fprintf(&b, "[fault_tolerance]\nmachines = 2\nzones = 0\nregions = 0\n[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_timeout_ms = 4000\n")
	fmt.Fprintf(&b, "catchup_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 2000\nrollback_slack_ms = 250\nmax_stretch_ms = 5000\nrecovery_s = 12\n")
	fmt.Fprintf(&b, "hold_max_ms = %d\nstop_ms = %d\ngang_ms = %d\ncancel_ms = %d\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = %d\n", w.cfg.holdMaxMS, w.cfg.stopMS, w.cfg.gangMS, w.cfg.cancelMS, w.cfg.statusS)
	fmt.Fprintf(&b, "far_x = 1.5\nsave_s = 1\nrestore_ms = 600\nnotice_ms = 4500\nmove_s = 1.5\nupkeep_s = 2\nenforce_fencing = true\nlease_ms = 3000\nthaw_ms = 300\npace_ms = 100\nharm_ms = 4000\n")
	fmt.Fprintf(&b, "[platform]\naddress = %q\nform = \"log\"\nwrites_per_s = 800\nreads_per_s = 2000\nparts = 8\nappend_ms = 4.0\npart_mb_s = 20.0\nread_mb_s = 80.0\nrecord_bytes = 262144\ncall_bytes = 2097152\nkeep_s = 300\npart_mb = 200\nttl_min_ms = 1000\n", store)
	fmt.Fprintf(&b, "[cloud]\naddress = %q\nrate_per_s = 60.0\nduties = []\nduty_per_s = 60.0\n", w.prefix+"1:8171")
	return b.String()
}

// advise serves the policy service: one call at a time for each caller.
func (w *world) advise(rw http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	lock, _ := w.advisers.LoadOrStore(host, &sync.Mutex{})
	lock.(*sync.Mutex).Lock()
	defer lock.(*sync.Mutex).Unlock()
	time.Sleep(time.Duration(20+2*len(b.Workers)) * time.Millisecond)
	good := [][2]string{}
	w.mu.Lock()
	for _, e := range w.execs {
		for _, id := range b.Workers {
			if e.id == id && w.allows(b.Step, e) {
				ticket := fmt.Sprintf("%s/%s/%d/%d", b.Step, e.id, e.life, w.rec.ms())
				good = append(good, [2]string{id, ticket})
			}
		}
	}
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"good": good, "valid_ms": 3000})
}

// allows reports whether the policy lets an executor run a step.
func (w *world) allows(step string, e *executor) bool {
	h := fnv.New32a()
	h.Write([]byte(step + e.name))
	return h.Sum32()%3 > 0
}

// ticketValid reports whether an executor takes a ticket. The caller holds the lock.
func (w *world) ticketValid(e *executor, task, ticket string) bool {
	p := strings.Split(ticket, "/")
	if len(p) != 4 {
		return false
	}
	at, _ := strconv.ParseInt(p[3], 10, 64)
	return p[0] == task[:strings.LastIndex(task, ".")] && p[1] == e.id && p[2] == strconv.Itoa(e.life) && w.rec.ms()-at <= 3000
}

// begin starts all processes and stand-ins.
func (w *world) begin() error {
	if w.cfg.advice {
		l, err := net.Listen("tcp", w.prefix+"1:8170")
		if err != nil {
			return err
		}
		go http.Serve(l, http.HandlerFunc(w.advise))
	}
	for i := range w.cfg.fronts {
		p, err := w.addProc(fmt.Sprintf("front-%d", i+1), fmt.Sprintf("%s%d", w.prefix, 10+i), false, w.prefix+"1:8169")
		if err != nil {
			return err
		}
		w.fronts = append(w.fronts, p)
	}
	for i := range w.cfg.sides {
		if _, err := w.addSide(i); err != nil {
			return err
		}
	}
	go w.ticker()
	return nil
}

// addSide starts a guard with its executor.
func (w *world) addSide(i int) (*executor, error) {
	ip := fmt.Sprintf("%s%d", w.prefix, 100+i)
	p, err := w.addProc(fmt.Sprintf("side-%d", i+1), ip, true, w.prefix+"1:8169")
	if err != nil {
		return nil, err
	}
	w.sides = append(w.sides, p)
	e := &executor{w: w, index: i, name: fmt.Sprintf("side-%d", i+1), ip: ip, rack: fmt.Sprintf("r1-%d", i%w.cfg.racks+1), kind: "a", service: "pool", cpu: w.cfg.sideCPU, mem: w.cfg.sideMem}
	if i%3 == 2 {
		e.kind = "b"
	}
	w.mu.Lock()
	w.execs = append(w.execs, e)
	w.mu.Unlock()
	return e, e.start(true)
}

// addProc writes the settings of a process and starts it.
func (w *world) addProc(name, ip string, side bool, store string) (*proc, error) {
	p := &proc{name: name, ip: ip, file: filepath.Join(w.dir, name+".toml"), program: "target/crocus-entry"}
	if side {
		p.program = "target/crocus-guard"
	}
	if err := os.WriteFile(p.file, []byte(w.settings(name, ip, side, store)), 0o600); err != nil {
		return nil, err
	}
	return p, w.run(p)
}

// run starts a process as the deploy file says, and again when it ends by itself.
func (w *world) run(p *proc) error {
	logFile, err := os.OpenFile(filepath.Join(w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command(filepath.Join(w.cfg.root, p.program), "platform")
	p.cmd.Dir = w.cfg.root
	p.cmd.Env = []string{"CROCUSSPRING_NODE_FILE=" + p.file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	p.stopping = false
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	cmd, done := p.cmd, p.done
	go func() {
		cmd.Wait()
		logFile.Close()
		close(done)
	}()
	return nil
}

// kill ends a process at once and waits for it.
func (w *world) kill(p *proc) {
	w.rec.note("SIGKILL %s", p.name)
	p.stopping = true
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.done
}

// term stops a process as the platform does.
func (w *world) term(p *proc) {
	w.rec.note("SIGTERM %s", p.name)
	p.stopping = true
	p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(6 * time.Second):
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
}

// exited returns the processes that have ended by themselves.
func (w *world) exited() []string {
	var out []string
	for _, p := range append(append([]*proc{}, w.fronts...), w.sides...) {
		select {
		case <-p.done:
			if !p.stopping {
				out = append(out, p.name)
			}
		default:
		}
		data, _ := os.ReadFile(filepath.Join(w.dir, p.name+".log"))
		if strings.Contains(string(data), "panic") || strings.Contains(string(data), "goroutine ") {
			out = append(out, p.name+" (panic in its log)")
		}
	}
	return out
}

// end stops everything.
func (w *world) end() {
	close(w.stop)
	for _, p := range append(append([]*proc{}, w.fronts...), w.sides...) {
		p.cmd.Process.Signal(syscall.SIGCONT)
		p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.execs {
		e.up = false
		if e.server != nil {
			go e.server.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	}
}

// owner returns the name of the process that holds the lease of the cell.
func (w *world) owner() string {
	v, ok := w.store.newestValue("keyed.owner", "cell")
	var l struct {
		Node string `json:"node"`
	}
	if !ok || json.Unmarshal(v, &l) != nil {
		return ""
	}
	return l.Node
}

// taskDef returns the step of a task. The caller holds the lock.
func (w *world) taskDef(task string) *taskDef {
	id, _, step, _, ok := parseTask(task)
	if !ok || w.jobs[id] == nil || step >= len(w.jobs[id].Steps) {
		return nil
	}
	return w.jobs[id].Steps[step]
}

// breakRule notes a broken rule. The caller holds the lock.
func (w *world) breakRule(rule, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken[rule]++
	if w.broken[rule] <= 20 {
		w.rec.note("BROKEN %s: %s", rule, text)
		w.breaks = append(w.breaks, rule+": "+text)
	}
}

// gangKey names one run of a gang.
func gangKey(r *workRun) string {
	id, k, step, _, _ := parseTask(r.task)
	return fmt.Sprintf("%s.%d.%d#%d", id, k, step, r.run)
}

// owner of a checkpoint: a task, or a step for gangs.
func saveOwner(r *workRun) string {
	if r.def != nil && r.def.Gang {
		return r.task[:strings.LastIndex(r.task, ".")]
	}
	return r.task
}

// checkpoint issues a checkpoint. The caller holds the lock.
func (w *world) checkpoint(r *workRun, work int) string {
	value := fmt.Sprintf("%s/%d", saveOwner(r), work)
	w.saves[value] = savedWork{saveOwner(r), work}
	return value
}

// begun notes a start and checks what can be checked at once. The caller holds the lock.
func (w *world) begun(r *workRun, spec string) {
	w.runs = append(w.runs, r)
	w.rec.note("start on %s life=%d: %s run=%d token=%d checkpoint=%q", r.ex.name, r.life, r.task, r.run, r.token, r.checkpoint)
	id, k, step, _, ok := parseTask(r.task)
	j := w.jobs[id]
	if !ok || j == nil || r.def == nil {
		w.breakRule("UNASKED", "%s was never sent", r.task)
		return
	}
	if spec != j.Spec {
		w.breakRule("UNASKED", "%s has another spec", r.task)
	}
	r.outcome, r.total = "done", r.def.actualMS
	if rand.Float64() < r.def.failShare {
		r.outcome, r.total = "failed", r.def.actualMS*rand.Float64()
	}
	if w.outcomeOf != nil {
		if how, total := w.outcomeOf(r); how != "" {
			r.outcome, r.total = how, total
		}
	}
	if r.checkpoint != "" {
		s, ok := w.saves[r.checkpoint]
		if !ok || s.owner != saveOwner(r) {
			w.breakRule("UNASKED", "%s run=%d gets a checkpoint that isn't its own: %q", r.task, r.run, r.checkpoint)
		}
		r.work = float64(s.work) - restoreMS
	}
	r.cpu, r.mem = r.def.CPU, r.def.MemMB
	if !w.cfg.rejects {
		if cpu, mem := r.ex.used(); cpu > r.ex.cpu || mem > r.ex.mem {
			w.breakRule("LIMIT", "%s run=%d on %s: cpu %d of %d, memory %d of %d", r.task, r.run, r.ex.name, cpu, r.ex.cpu, mem, r.ex.mem)
		}
	}
	if req := r.def.Requires; req != "" && req != r.ex.kind && req != r.ex.rack {
		w.breakRule("ROUTE", "%s on %s without label %s", r.task, r.ex.name, req)
	}
	same, others, failed, crashed := 0, 0, 0, 0
	stepPrefix := fmt.Sprintf("%s.%d.%d.", id, k, step)
	for _, o := range w.runs {
		if o == r {
			continue
		}
		if o.task == r.task {
			if o.ended < 0 && !r.def.Speculative {
				w.breakRule("TWICE", "%s run=%d on %s begins while run=%d works on %s", r.task, r.run, r.ex.name, o.run, o.ex.name)
			}
			if o.how == "done" && o.noted >= 0 && !r.def.LongRunning && !r.def.Speculative {
				w.breakRule("TWICE", "%s run=%d begins after run=%d has ended done, noted %d ms ago", r.task, r.run, o.run, r.began-o.noted)
			}
			if o.how == "failed" && o.noted >= 0 {
				failed++
			}
			if o.how == "crashed" {
				crashed++
			}
			same++
		}
		if strings.HasPrefix(o.task, stepPrefix) && o.ex == r.ex && o.life == r.life && o.ended < 0 {
			others++
		}
	}
	if !r.def.LongRunning && failed >= w.cfg.maxAttempts {
		w.breakRule("BUDGET", "%s run=%d begins after %d failures", r.task, r.run, failed)
	}
	if n := r.def.AntiAffinity; n > 0 && others+1 > n {
		w.breakRule("ROUTE", "%s: %d tasks of the step on %s", r.task, others+1, r.ex.name)
	}
	for _, d := range r.def.DependsOn {
		if !w.stepDone(id, k, d) {
			w.breakRule("ORDER", "%s run=%d begins before step %d is done", r.task, r.run, d)
		}
	}
	if j.Repeat > 0 {
		if early := j.FirstMS + int64(k)*j.Every - time.Now().UnixMilli(); early > 250 {
			w.breakRule("ORDER", "%s begins %d ms early", r.task, early)
		}
	}
	if j.cancelled >= 0 && r.began-j.cancelled > w.cfg.cancelMS {
		w.breakRule("UNASKED", "%s run=%d on %s begins %d ms after the answer to the DELETE of its job", r.task, r.run, r.ex.name, r.began-j.cancelled)
	}
	if r.def.Gang {
		key := gangKey(r)
		w.gangs[key] = append(w.gangs[key], r)
		present := 0
		for _, m := range w.gangs[key] {
			if m.ended < 0 {
				present++
			}
		}
		if present == r.def.Count {
			for _, m := range w.gangs[key] {
				m.working, m.worked = true, r.began
				m.total, m.outcome = r.total, r.outcome
			}
			if r.outcome == "failed" {
				for _, m := range w.gangs[key] {
					if m != r {
						m.outcome, m.total = "done", 1e9
					}
				}
			}
		}
	}
	if w.onStart != nil {
		w.onStart(r)
	}
}

// stepDone reports whether all tasks of a step have ended done. The caller holds the lock.
func (w *world) stepDone(id string, k, step int) bool {
	def := w.jobs[id].Steps[step]
	done := map[string]bool{}
	prefix := fmt.Sprintf("%s.%d.%d.", id, k, step)
	for _, r := range w.runs {
		if r.how == "done" && strings.HasPrefix(r.task, prefix) {
			if def.Gang {
				return true
			}
			done[r.task] = true
		}
	}
	return len(done) == def.Count
}

// finish ends a run. The caller holds the lock.
func (w *world) finish(r *workRun, now int64, how string, list bool) {
	if r.ended >= 0 {
		return
	}
	r.ended, r.how = now, how
	e := r.ex
	delete(e.running, r.task)
	e.blocked[r.task] = max(e.blocked[r.task], r.run)
	if r.def != nil && r.def.Checkpointing && how == "stopped" {
		r.saved = w.checkpoint(r, max(0, int(r.work)))
	}
	if list {
		r.number = e.nextEnd
		e.nextEnd++
		e.ends = append(e.ends, r)
		close(e.changed)
		e.changed = make(chan struct{})
	}
	w.rec.note("end on %s life=%d: %s run=%d how=%s after=%d", e.name, r.life, r.task, r.run, how, now-r.began)
	if how == "alone" {
		if j := w.jobs[strings.SplitN(r.task, ".", 2)[0]]; j == nil || j.cancelSent < 0 {
			w.breakRule("GANG", "%s run=%d on %s ends alone", r.task, r.run, e.name)
		}
	}
	if r.def != nil && r.def.Gang && how != "broken" && how != "alone" {
		for _, m := range w.gangs[gangKey(r)] {
			if m.ended < 0 && m.working {
				if how == "done" {
					w.finish(m, now, "done", true)
				} else {
					w.finish(m, now, "broken", true)
				}
			}
		}
	}
}

// ticker moves all work on and looks for jobs that stand still.
func (w *world) ticker() {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-w.stop:
			return
		case <-t.C:
		}
		w.mu.Lock()
		now := w.rec.ms()
		for _, e := range w.execs {
			e.tick(now)
		}
		if n%20 == 0 {
			w.findStandstills(now)
		}
		w.mu.Unlock()
	}
}

// findStandstills looks for jobs of which nothing runs although there is room, and for runs of cancelled jobs, in calm times. The
// caller holds the lock.
func (w *world) findStandstills(now int64) {
	const calm, still, finishMS = 4000, 3000, 14_000
	var used, all int64
	active := map[string]bool{}
	byTask := map[string]*workRun{}
	for _, e := range w.execs {
		if !e.up {
			continue
		}
		cpu, _ := e.used()
		used, all = used+cpu, all+e.cpu
		for task, r := range e.running {
			active[strings.SplitN(task, ".", 2)[0]] = true
			byTask[task] = r
		}
	}
	quiet := w.troubles == 0 && now-w.calmSince >= calm+still
	for _, j := range w.jobs {
		if quiet && j.cancelled >= 0 && now-j.cancelled > w.cfg.cancelMS+w.cfg.stopMS && active[j.ID] && !j.overrun {
			j.overrun = true
			w.breakRule("UNASKED", "%s runs on %d ms after the answer to its DELETE", j.ID, now-j.cancelled)
		}
		if j.accepted < 0 || j.cancelSent >= 0 || j.lastState == "over" {
			continue
		}
		def, step := w.dueStep(j)
		if def == nil || active[j.ID] || 2*used >= all || w.rooms(def, step) < 2 || now-j.accepted < still {
			j.stalledFrom = now
			continue
		}
		if quiet && now-j.stalledFrom > still && !j.stalled && now-w.lastRequest > finishMS {
			j.stalled = true
			w.breakRule("LOST", "nothing of %s runs for %d ms: %+v used=%d of %d", j.ID, now-j.stalledFrom, *def, used, all)
		}
	}
}

// rooms returns how many times a step (a task, or a whole gang) fits into the free room. The caller holds the lock.
func (w *world) rooms(def *taskDef, step string) int {
	n := 0
	for _, e := range w.execs {
		if w.cfg.advice && !w.allows(step, e) {
			continue
		}
		if !e.up || e.draining || def.Requires != "" && def.Requires != e.kind && def.Requires != e.rack {
			continue
		}
		cpu, mem := e.used()
		fit := min((e.cpu-cpu)/max(1, def.CPU), (e.mem-mem)/max(1, def.MemMB))
		if def.AntiAffinity > 0 {
			fit = min(fit, int64(def.AntiAffinity))
		}
		n += int(max(0, fit))
	}
	if def.Gang {
		n /= def.Count
	}
	return n
}

// dueStep returns a step of a job whose turn has come, or nil. The caller holds the lock.
func (w *world) dueStep(j *clientJob) (*taskDef, string) {
	failures := map[string]int{}
	for _, r := range w.runs {
		if r.how == "failed" && strings.HasPrefix(r.task, j.ID+".") {
			failures[r.task]++
			if failures[r.task] >= w.cfg.maxAttempts && !r.def.LongRunning {
				j.lastState = "over"
				return nil, ""
			}
		}
	}
	open := 0
	for k := range max(1, j.Repeat) {
		if j.Repeat > 0 && time.Now().UnixMilli() < j.FirstMS+int64(k)*j.Every {
			open++
			continue
		}
		for i, s := range j.Steps {
			if w.stepDone(j.ID, k, i) {
				continue
			}
			open++
			ready := true
			for _, d := range s.DependsOn {
				ready = ready && w.stepDone(j.ID, k, d)
			}
			if ready {
				return s, fmt.Sprintf("%s.%d.%d", j.ID, k, i)
			}
		}
	}
	if open == 0 {
		j.lastState = "over"
	}
	return nil, ""
}

// call makes one call of a client.
func (w *world) call(ctx context.Context, front int, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.fronts[front].ip+":8161"+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = "desk.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := w.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// newJob registers a job.
func (w *world) newJob(q int, steps ...*taskDef) *clientJob {
	j := &clientJob{ID: fmt.Sprintf("%016x", rand.Uint64()), Steps: steps, queue: w.queues[q], accepted: -1, cancelSent: -1, cancelled: -1, firstSent: -1}
	j.Spec = "spec of " + j.ID
	for _, s := range steps {
		if s.actualMS == 0 {
			s.actualMS = float64(s.EstimateMS)
		}
	}
	w.mu.Lock()
	w.jobs[j.ID] = j
	w.mu.Unlock()
	return j
}

// post sends a job once.
func (w *world) post(front int, j *clientJob, limit time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	body, _ := json.Marshal(j)
	w.rec.note("POST %s at front-%d", j.ID, front+1)
	w.mu.Lock()
	if j.firstSent < 0 {
		j.firstSent = w.rec.ms()
	}
	j.attempts++
	w.lastRequest = w.rec.ms()
	w.mu.Unlock()
	status, _, err := w.call(ctx, front, http.MethodPost, j.queue.Prefix+j.ID, body)
	w.rec.note("answer to POST %s: status=%d err=%v", j.ID, status, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	if status >= 200 && status < 300 && j.accepted < 0 {
		j.accepted = w.rec.ms()
	}
	if status == 503 || status == 429 || status == 404 {
		j.rejected++
	}
	return status, err
}

// submit sends a job until it is accepted or given up.
func (w *world) submit(j *clientJob) bool {
	for range 5 {
		status, err := w.post(rand.Intn(len(w.fronts)), j, 3*time.Second)
		if err == nil && status < 300 {
			return true
		}
		if status == 404 || status == 400 {
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// cancel sends a DELETE once.
func (w *world) cancel(front int, j *clientJob, limit time.Duration) (int, error) {
	ctx, stop := context.WithTimeout(context.Background(), limit)
	defer stop()
	w.mu.Lock()
	if j.cancelSent < 0 {
		j.cancelSent = w.rec.ms()
	}
	w.mu.Unlock()
	w.rec.note("DELETE %s at front-%d", j.ID, front+1)
	status, _, err := w.call(ctx, front, http.MethodDelete, j.queue.Prefix+j.ID, nil)
	w.rec.note("answer to DELETE %s: status=%d err=%v", j.ID, status, err)
	w.mu.Lock()
	defer w.mu.Unlock()
	if (status >= 200 && status < 300 || status == http.StatusGone) && j.cancelled < 0 {
		j.cancelled = w.rec.ms()
	}
	return status, err
}

// state asks for the state of a job.
func (w *world) state(front int, j *clientJob) (string, int) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	status, data, err := w.call(ctx, front, http.MethodGet, j.queue.Prefix+j.ID, nil)
	if err != nil {
		return "", 0
	}
	var v struct {
		State string `json:"state"`
	}
	json.Unmarshal(data, &v)
	return v.State, status
}

// awaitReady waits until a job has run to its end.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		j := w.newJob(0, &taskDef{Count: 1, CPU: 100, MemMB: 100, EstimateMS: 100})
		if status, _ := w.post(rand.Intn(len(w.fronts)), j, time.Second); status == 200 {
			for range 30 {
				if s, _ := w.state(0, j); s == "completed" {
					return nil
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no job has run within 15 s")
}

// signal sends a signal to a process.
func (w *world) signal(p *proc, s syscall.Signal) {
	w.rec.note("%v to %s", s, p.name)
	p.cmd.Process.Signal(s)
}

// side returns the guard with a name.
func (w *world) side(name string) *proc {
	for _, p := range w.sides {
		if p.name == name {
			return p
		}
	}
	return nil
}
