package ctl_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/ctl"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/pause"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/tlsconf"
	"github.com/crocusspring/crocusspring/internal/workerapi"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes crocusctl available to scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"crocusctl": func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// installation is a log and two entries that one script uses.
type installation struct {
	log   *logstand.Server
	gates []*logstand.Endpoint
	addrs []string
}

// TestScripts runs every script against an installation of its own with three operators: amina of
// centre-a, badrul of centre-b and the platform's. Their tokens are their names.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "../../testdata/script/config",
		Setup: func(env *testscript.Env) error {
			in, err := start(env.Defer, nil)
			if err != nil {
				return err
			}
			if err := in.waitReady(); err != nil {
				return err
			}
			env.Values["installation"] = in
			env.Setenv("CROCUS_NODE", in.addrs[0])
			env.Setenv("OTHER", in.addrs[1])
			env.Setenv("CROCUS_TOKEN", "platform")
			// Without this, a program built with the race detector sleeps for a second at its exit.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"exits": exits, "log": logCommand, "job": jobCommand, "await": await},
	})
}

// operators returns the settings text of the scripts' operators.
func operators() string {
	text := "operators:\n"
	for _, o := range []struct{ name, access string }{
		{"amina", "workspaces: [centre-a], rights: [read, change]"},
		{"badrul", "workspaces: [centre-b], rights: [read, change]"},
		{"platform", "rights: [read, change, platform]"},
	} {
		text += fmt.Sprintf("  - {name: %s, token_sha256: %x, %s}\n", o.name, sha256.Sum256([]byte(o.name)), o.access)
	}
	return text
}

// start runs a log and two entries and passes the functions that stop them to addCleanup. The entries
// use TLS if secure is set.
func start(addCleanup func(func()), secure *tlsconf.Reloader) (*installation, error) {
	in := &installation{log: logstand.New(0)}
	ops, err := operator.Open(operators())
	if err != nil {
		return nil, err
	}
	var ls []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		ls = append(ls, l)
		in.addrs = append(in.addrs, l.Addr().String())
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, len(ls))
	for i, l := range ls {
		gate := in.log.NewEndpoint()
		in.gates = append(in.gates, gate)
		srv := httptest.NewServer(gate.Handler())
		addCleanup(srv.Close)
		opt := node.Defaults()
		opt.Role, opt.ID, opt.DataCentre = node.RoleEntry, fmt.Sprintf("entry-%d", i+1), "petaling"
		opt.Peers, opt.Cells, opt.Share, opt.Operators = []string{in.addrs[1-i]}, []string{"petaling"}, 2, ops
		opt.Drain, opt.TLS = time.Second, secure
		ports := node.Ports{
			Log:     logsvc.NewHTTP(strings.TrimPrefix(srv.URL, "http://")),
			Workers: workerapi.NewHTTP(), Targets: targetapi.NewHTTP(8),
		}
		n := node.New(opt, ports, logs.Discard())
		go func() { done <- n.Serve(ctx, l) }()
	}
	addCleanup(func() {
		cancel()
		for range ls {
			<-done
		}
	})
	return in, nil
}

// readyTimeout bounds the wait for the entries of a script; it is far more than they need.
const readyTimeout = time.Minute

// waitReady waits until both entries report that they are ready. An entry that has not read the configuration
// refuses changes.
func (in *installation) waitReady() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
	defer cancel()
	for _, addr := range in.addrs {
		for !isReady(ctx, addr) {
			if !pause.For(ctx, 10*time.Millisecond) {
				return fmt.Errorf("entry %s is not ready: %w", addr, ctx.Err())
			}
		}
	}
	return nil
}

// isReady reports whether an entry answers that it is ready.
func isReady(ctx context.Context, addr string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// exits runs a program and checks its exit code: exits CODE PROGRAM ARGS...
func exits(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: exits CODE PROGRAM ARGS...")
	}
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(args[1], args[2:]...)
	got := 0
	var ee *exec.ExitError
	if errors.As(err, &ee) {
		got = ee.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// await runs a program until its output matches: await PATTERN PROGRAM ARGS...
func await(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: await PATTERN PROGRAM ARGS...")
	}
	want, err := regexp.Compile(args[0])
	ts.Check(err)
	for range 100 {
		if ts.Exec(args[1], args[2:]...) == nil && want.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	ts.Fatalf("no output matched %s", args[0])
}

// logCommand changes the state or the content of the log: log down|up ENTRY, log expire, log garbage, log direct FILE.
func logCommand(ts *testscript.TestScript, neg bool, args []string) {
	in := ts.Value("installation").(*installation)
	if neg || len(args) == 0 {
		ts.Fatalf("usage: log down|up ENTRY, log expire, log garbage, log direct FILE")
	}
	switch args[0] {
	case "down", "up":
		i, err := strconv.Atoi(args[1])
		ts.Check(err)
		in.gates[i-1].SetFaults(logstand.Faults{Down: args[0] == "down"})
	case "expire":
		in.log.ExpireAll()
	case "garbage":
		in.log.Put("config", []byte(`"garbled"`))
	case "direct":
		in.log.Put("config", []byte(ts.ReadFile(args[1])))
	default:
		ts.Fatalf("log: unknown action %s", args[0])
	}
}

// jobCommand sends a request to the jobs API and checks the status: job STATUS TOKEN METHOD PATH [FILE].
func jobCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 4 {
		ts.Fatalf("usage: job STATUS TOKEN METHOD PATH [FILE]")
	}
	body := ""
	if len(args) > 4 {
		body = ts.ReadFile(args[4])
	}
	req, err := http.NewRequest(args[2], "http://"+ts.Getenv("CROCUS_NODE")+args[3], strings.NewReader(body))
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+args[1])
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || strconv.Itoa(resp.StatusCode) != args[0] {
		ts.Fatalf("status %d, want %s: %s", resp.StatusCode, args[0], text)
	}
}
