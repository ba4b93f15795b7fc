package crowd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocusspring/crocusspring/internal/guard"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/execstand"
	"github.com/crocusspring/crocusspring/internal/store"
	"github.com/crocusspring/crocusspring/internal/store/memstore"
	"github.com/crocusspring/crocusspring/platform"
	"github.com/crocusspring/crocusspring/platform/standin"
)

// The machines of the tests are small, so that a small crowd is too much for a process that doesn't defend itself.
const (
	memoryMB = 48
	maxFDs   = 264
	// maxSockets is what the platform leaves of the descriptors: 200 of them are for files.
	maxSockets = maxFDs - 200
	// maxRefusalBytes is the largest refusal that is taken for one: its reason, not a copy of what was sent.
	maxRefusalBytes = 16 << 10
)

// Programs of the product, built once for all tests and without the race detector, whose memory isn't the product's.
const (
	programEntry = "crocus-entry"
	programGuard = "crocus-guard"
)

// programs is the directory of the built programs.
var programs string

// TestMain builds the programs.
func TestMain(m *testing.M) {
	os.Exit(func() int {
		dir, err := os.MkdirTemp("", "crowd")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		defer os.RemoveAll(dir)
		if out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/"+programEntry, "../../cmd/"+programGuard).CombinedOutput(); err != nil {
			fmt.Fprintf(os.Stderr, "build programs: %v\n%s", err, out)
			return 1
		}
		programs = dir
		return m.Run()
	}())
}

// process is one process of the product with the addresses of its listeners.
type process struct {
	cmd *exec.Cmd
	log string
	// front and ready are addresses of an entry, control of a guard.
	front, ready, control, inner, metrics string
	exited                                chan struct{}
	// mostSockets is the largest number of sockets seen.
	mostSockets atomic.Int64
}

// deployment is a store, one entry, and guards with their executors.
type deployment struct {
	entry  *process
	guards []*process
}

// all returns all processes.
func (d *deployment) all() []*process { return append([]*process{d.entry}, d.guards...) }

// nextHost numbers the loopback addresses of a test binary.
var nextHost atomic.Int64

// loopbackIP returns an unused loopback address; its middle is made of bits of the process id, so that two test binaries
// share none.
func loopbackIP() string {
	pid := os.Getpid()
	n := nextHost.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", 128+(pid>>8&0x1f)+32*int(n/250%2), pid&0xff, 1+n%250)
}

// deploy starts a deployment; configured says whether the operator has written a configuration.
func deploy(t *testing.T, configured bool) *deployment {
	t.Helper()
	mem := memstore.New()
	if configured {
		topic, r, err := standin.Configuration(1)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := mem.Append(t.Context(), topic, store.AnyOffset, []store.Record{r}); err != nil {
			t.Fatal(err)
		}
	}
	storeAddr := serve(t, standin.Store(mem))
	d := &deployment{}
	const guards = 2
	for i := range guards {
		d.guards = append(d.guards, startGuard(t, i, storeAddr))
	}
	d.entry = startEntry(t, storeAddr)
	if configured {
		d.submitOrdinary(t)
	} else {
		d.entry.waitListening(t)
	}
	return d
}

// waitListening waits until clients can connect.
func (p *process) waitListening(t *testing.T) {
	t.Helper()
	const attempts, pauseBetween = 100, 100 * time.Millisecond
	for range attempts {
		c, err := net.Dial("tcp", p.front)
		if err == nil {
			_ = c.Close()
			return
		}
		time.Sleep(pauseBetween)
	}
	t.Fatal("the entry doesn't listen")
}

// serve serves a handler until the test ends and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = srv.Serve(l) }() // always returns an error after Close
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}

const (
	// internalPort is the port for traffic between processes, each of which has its own IP address.
	internalPort = 7720
	maxLease     = 6 * time.Second
	runTime      = 50 * time.Millisecond
)

// startEntry starts an entry.
func startEntry(t *testing.T, storeAddr string) *process {
	t.Helper()
	ip := loopbackIP()
	p := &process{front: ip + ":8161", ready: ip + ":8167"}
	p.start(t, programEntry, standin.Node{Name: "entry", IP: ip, Store: storeAddr, Front: p.front, Ready: p.ready})
	return p
}

// startGuard starts a guard and the heartbeats of its executor.
func startGuard(t *testing.T, i int, storeAddr string) *process {
	t.Helper()
	name := fmt.Sprintf("guard-%d", i)
	incarnation := name + "-life-1"
	var executor guard.Executor = execstand.New(incarnation, runTime)
	ip := loopbackIP()
	p := &process{control: ip + ":8166"}
	p.start(t, programGuard, standin.Node{
		Name: name, IP: ip, Store: storeAddr, Control: p.control, Executor: serve(t, standin.Executor(executor)),
	})
	go func() {
		const heartbeatInterval = 400 * time.Millisecond
		client := standin.NewClient()
		for t.Context().Err() == nil {
			call, cancel := context.WithTimeout(t.Context(), heartbeatInterval)
			// The next heartbeat follows in any case.
			_ = client.Heartbeat(call, p.control, name, incarnation, resource.Vector{MilliCPU: 4000, MemoryMB: 4000})
			cancel()
			time.Sleep(heartbeatInterval)
		}
	}()
	return p
}

// start starts the process with the descriptors of its machine, and ends it with the test.
func (p *process) start(t *testing.T, program string, n standin.Node) {
	t.Helper()
	n.Port, n.MaxLease, n.MemoryMB, n.MaxFDs = internalPort, maxLease, memoryMB, maxFDs
	p.inner, p.metrics = fmt.Sprintf("%s:%d", n.IP, internalPort), net.JoinHostPort(n.IP, platform.MetricsPort)
	dir := t.TempDir()
	settings := filepath.Join(dir, "settings.toml")
	if err := n.WriteSettings(settings); err != nil {
		t.Fatal(err)
	}
	p.log = filepath.Join(dir, "log")
	out, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	p.cmd = exec.Command(filepath.Join(programs, program), platform.Command)
	p.cmd.Env = []string{platform.EnvFile + "=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	p.run(t, n.Name)
}

// run runs the process until the test ends, with the descriptors of its machine.
func (p *process) run(t *testing.T, name string) {
	t.Helper()
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	if err := unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFDs, Max: maxFDs}, nil); err != nil {
		t.Error(err)
	}
	p.exited = make(chan struct{})
	go func() {
		defer close(p.exited)
		_ = p.cmd.Wait() // ended by the test, or reported by check
	}()
	go p.watchSockets()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.exited
		if t.Failed() {
			t.Logf("end of the log of %s:\n%s", name, tail(p.log))
		}
	})
}

// tail returns the last lines of a file, each cut to a readable length.
func tail(path string) string {
	const lines, width = 6, 400
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	all := strings.Split(strings.TrimSpace(string(data)), "\n")
	all = all[max(0, len(all)-lines):]
	for i := range all {
		all[i] = all[i][:min(len(all[i]), width)]
	}
	return strings.Join(all, "\n")
}

// watchSockets notes the largest number of sockets of the process until it exits.
func (p *process) watchSockets() {
	const interval = 10 * time.Millisecond
	for {
		select {
		case <-p.exited:
			return
		case <-time.After(interval):
			if n := p.sockets(); n > p.mostSockets.Load() {
				p.mostSockets.Store(n)
			}
		}
	}
}

// sockets returns the number of open sockets of the process.
func (p *process) sockets() int64 {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has exited
	}
	var n int64
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// peakLine is the line of a process's status with the peak of its resident memory.
var peakLine = regexp.MustCompile(`(?m)^VmHWM:\s+(\d+) kB$`)

// peakMB returns the peak of the process's resident memory in MB.
func (p *process) peakMB(t *testing.T) int {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Error(err)
		return 0
	}
	found := peakLine.FindSubmatch(data)
	if found == nil {
		return 0 // it has exited
	}
	kb, err := strconv.Atoi(string(found[1]))
	if err != nil {
		t.Error(err)
	}
	return kb >> 10
}

// check checks that all processes live and that each has stayed within the memory and the sockets of its machine.
func (d *deployment) check(t *testing.T) {
	t.Helper()
	for _, p := range d.all() {
		p.check(t, memoryMB)
	}
}

// check checks that the process lives and has stayed within the memory, in MB, and the sockets of its machine.
func (p *process) check(t *testing.T, memoryMB int) {
	t.Helper()
	select {
	case <-p.exited:
		t.Errorf("%s has exited: %v", p.cmd.Path, p.cmd.ProcessState)
		return
	default:
	}
	peak, sockets := p.peakMB(t), p.mostSockets.Load()
	t.Logf("%s: peak %d MB, %d sockets", filepath.Base(p.cmd.Path), peak, sockets)
	if peak > memoryMB {
		t.Errorf("%s has taken %d MB, its machine has %d", p.cmd.Path, peak, memoryMB)
	}
	if sockets > maxSockets {
		t.Errorf("%s has had %d sockets, its machine has %d", p.cmd.Path, sockets, maxSockets)
	}
}

// nextJob numbers the jobs of the tests.
var nextJob atomic.Int64

// newJobID returns an unused job id.
func newJobID() string { return fmt.Sprintf("%016x", nextJob.Add(1)) }

// submitOrdinary submits a small job as an ordinary client does, which asks again when it is refused or gets no answer.
func (d *deployment) submitOrdinary(t *testing.T) {
	t.Helper()
	const attempts, pauseBetween, timeout = 40, 250 * time.Millisecond, 3 * time.Second
	id := newJobID()
	client := standin.NewClient()
	var status int
	var err error
	for range attempts {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		status, err = client.Submit(ctx, d.entry.front, id, []standin.Step{{Count: 1, CPU: 100, MemMB: 10}})
		cancel()
		if err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(pauseBetween)
	}
	t.Errorf("an ordinary request is not answered: status %d, %v", status, err)
}

// checkReady checks that the entry answers the balancer's check.
func (d *deployment) checkReady(t *testing.T) {
	t.Helper()
	if got := getStatus(d.entry.ready, "/v1/ready"); got != http.StatusOK {
		t.Errorf("the check of the balancer gets status %d", got)
	}
}

// getStatus returns the status of a GET on a new connection; 0 for no answer.
func getStatus(addr, path string) int {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// maxLogBytes is the largest log of an entry after a few refusals: lines name what was refused, they don't repeat it.
const maxLogBytes = 256 << 10

// logSize returns the size of the log of a process in bytes.
func logSize(t *testing.T, p *process) int64 {
	t.Helper()
	info, err := os.Stat(p.log)
	if err != nil {
		t.Fatal(err)
	}
	return info.Size()
}

// checkAnswered checks that a small job gets an answer; that it can't be accepted now is one.
func (d *deployment) checkAnswered(t *testing.T) {
	t.Helper()
	status, err := standin.NewClient().Submit(t.Context(), d.entry.front, newJobID(), []standin.Step{{Count: 1, CPU: 100, MemMB: 10}})
	switch {
	case err != nil:
		t.Errorf("an ordinary request gets no answer: %v", err)
	case status != http.StatusOK && status != http.StatusTooManyRequests && status != http.StatusServiceUnavailable:
		t.Errorf("an ordinary request is answered with status %d", status)
	}
}
