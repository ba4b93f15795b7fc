package script

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/event"
)

// earlyPackage is the package that receives signals before others are initialised, such as latePackage.
const (
	earlyPackage = "init github.com/crocusspring/crocusspring/internal/signals/early "
	latePackage  = "init net/http "
)

// lateStarts is how many programs are sent a signal while they start, signalWait how long each may take to show its effect.
const (
	lateStarts = 10
	signalWait = 30 * time.Second
)

// started is a program whose settings are a named pipe, so that it doesn't get past loading them before the test has written.
type started struct {
	t        *testing.T
	settings string
	class    string
	cmd      *exec.Cmd
	// initialised is closed once the program receives signals.
	initialised chan struct{}

	mu  sync.Mutex
	out bytes.Buffer
}

// build builds a program and returns its path.
func build(t *testing.T, name string) string {
	t.Helper()
	out := filepath.Join(t.TempDir(), name)
	if text, err := exec.Command("go", "build", "-o", out, "../../cmd/"+name).CombinedOutput(); err != nil {
		t.Fatalf("build %s: %v\n%s", name, err, text)
	}
	return out
}

// start starts a program of a class of machines.
func start(t *testing.T, program, class string) *started {
	t.Helper()
	s := &started{t: t, class: class, settings: filepath.Join(t.TempDir(), "node.toml"), initialised: make(chan struct{})}
	if err := syscall.Mkfifo(s.settings, 0o600); err != nil {
		t.Fatal(err)
	}
	s.cmd = exec.Command(program, "platform")
	s.cmd.Env = []string{"CROCUSSPRING_NODE_FILE=" + s.settings, "GODEBUG=inittrace=1"}
	stderr, w := io.Pipe()
	s.cmd.Stdout, s.cmd.Stderr = s, w
	go s.watch(stderr)
	if err := s.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		// The process may have ended.
		_ = s.cmd.Process.Kill()
		_ = s.cmd.Wait()
		_ = w.Close()
	})
	return s
}

// watch reads what the runtime reports on the initialisation of packages.
func (s *started) watch(stderr io.Reader) {
	lines, late := bufio.NewScanner(stderr), false
	for lines.Scan() {
		late = late || strings.HasPrefix(lines.Text(), latePackage)
		if strings.HasPrefix(lines.Text(), earlyPackage) && !late {
			close(s.initialised)
		}
	}
}

// Write implements io.Writer for the program's log.
func (s *started) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// log returns what the program has logged.
func (s *started) log() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

// await waits until the program has logged a message.
func (s *started) await(message event.Message) {
	s.t.Helper()
	for end := time.Now().Add(signalWait); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if strings.Contains(s.log(), string(message)) {
			return
		}
	}
	s.t.Fatalf("the program hasn't logged %q:\n%s", message, s.log())
}

// signal sends a signal.
func (s *started) signal(sig syscall.Signal) {
	s.t.Helper()
	if err := s.cmd.Process.Signal(sig); err != nil {
		s.t.Fatal(err)
	}
}

// load calls meanwhile while the program loads its settings, and lets it go on.
func (s *started) load(meanwhile func()) {
	s.t.Helper()
	opened := make(chan *os.File, 1)
	go func() {
		// The open returns once the program has opened the pipe.
		if f, err := os.OpenFile(s.settings, os.O_WRONLY, 0); err == nil {
			opened <- f
		}
	}()
	var pipe *os.File
	select {
	case pipe = <-opened:
	case <-time.After(signalWait):
		s.t.Fatalf("the program doesn't read its settings:\n%s", s.log())
	}
	meanwhile()
	text := settings(s.t, s.class)
	// Later reads are of a file.
	file := s.settings + ".new"
	if err := os.WriteFile(file, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	if err := os.Rename(file, s.settings); err != nil {
		s.t.Fatal(err)
	}
	if _, err := pipe.Write(text); err != nil {
		s.t.Fatalf("write the settings: %v; log:\n%s", err, s.log())
	}
	if err := pipe.Close(); err != nil {
		s.t.Fatal(err)
	}
}

// settings returns those of a node on loopback addresses of its own, with a store that doesn't answer.
func settings(t *testing.T, class string) []byte {
	t.Helper()
	ip := fmt.Sprintf("127.%d.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250), 2+rand.IntN(250))
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		t.Fatal(err)
	}
	store := l.Addr().String()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	listen, side := fmt.Sprintf("front = \"%s:8161\"\nready = \"%s:8167\"\n", ip, ip), ""
	if class == "side" {
		listen = fmt.Sprintf("control = \"%s:8166\"\n", ip)
		side = fmt.Sprintf("app = \"%s:8165\"\nservice = \"pool\"\n", ip)
	}
	return fmt.Appendf(nil, `node_name = "%[1]s-1"
role = "%[1]s"
machine_class = "%[1]s"
serves = ["%[1]s"]
ip = %[2]q
zone = "zone-1"
region = "region"
internal_ports = [20000,20015]
bootstrap = true
heartbeat_ms = 1500
orders = "invocation"
advice = %[3]q
%[4]s[listen]
%[5]s[limits]
cpu_share = 0.24
memory_mb = 284
[bounds]
contact_ms = 3000
ack_timeout_ms = 4000
grace_s = 6
config_apply_ms = 2000
hold_max_ms = 6000
stop_ms = 200
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
save_s = 1
lease_ms = 3000
[platform]
address = %[3]q
form = "log"
writes_per_s = 800
reads_per_s = 2000
parts = 8
append_ms = 4.0
record_bytes = 16384
call_bytes = 262144
keep_s = 300
`, class, ip, store, side, listen)
}

// TestSignalsAtStart guards against a node that ends at SIGHUP, or without a word at SIGTERM, since the signal comes before it
// waits for any: while its packages are initialised or its settings are loaded. It must reload or stop once it has started.
func TestSignalsAtStart(t *testing.T) {
	for _, node := range []struct{ program, class string }{{"crocus-entry", "front"}, {"crocus-guard", "side"}} {
		t.Run(node.program, func(t *testing.T) {
			program := build(t, node.program)
			t.Run("SIGHUP while packages are initialised", func(t *testing.T) {
				for range lateStarts {
					s := start(t, program, node.class)
					select {
					case <-s.initialised:
					case <-time.After(signalWait):
						t.Fatal("no package receives signals before others are initialised")
					}
					s.signal(syscall.SIGHUP)
					s.load(func() {})
					s.await(event.SettingsReloaded)
					s.signal(syscall.SIGKILL)
				}
			})
			t.Run("SIGHUP while settings are loaded", func(t *testing.T) {
				s := start(t, program, node.class)
				s.load(func() { s.signal(syscall.SIGHUP) })
				s.await(event.SettingsReloaded)
			})
			t.Run("SIGTERM while settings are loaded", func(t *testing.T) {
				s := start(t, program, node.class)
				s.load(func() {
					for range 20 {
						s.signal(syscall.SIGHUP)
					}
					s.signal(syscall.SIGTERM)
				})
				s.await(event.ProcessStopped)
				if err := s.cmd.Wait(); err != nil {
					t.Errorf("the program ended with %v:\n%s", err, s.log())
				}
			})
		})
	}
}
