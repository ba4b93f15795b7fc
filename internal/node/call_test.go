package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// TestBadInput checks that an invalid request is answered with a fitting status and the outcome not-run.
func TestBadInput(t *testing.T) {
	b := newBench(t)
	n := b.start(t, RoleEntry, "entry-1", listen(t))
	waitReady(n)
	n.members.Announce(b.serveTarget(t, "target-a", ""))
	cases := []struct {
		name, service string
		header        http.Header
		body          io.Reader
		status        int
	}{
		{"budget of zero", "holds", http.Header{targetapi.HeaderBudgetMS: {"0"}}, nil, 400},
		{"negative budget", "holds", http.Header{targetapi.HeaderBudgetMS: {"-5"}}, nil, 400},
		{"budget of nonsense", "holds", http.Header{targetapi.HeaderBudgetMS: {"soon"}}, nil, 400},
		{"endless budget", "holds", http.Header{targetapi.HeaderBudgetMS: {"99999999999999999999"}}, nil, 400},
		{"empty key", "holds", http.Header{targetapi.HeaderKey: {""}}, nil, 400},
		{"long key", "holds", http.Header{targetapi.HeaderKey: {strings.Repeat("k", maxNameLength+1)}}, nil, 400},
		{"key with spaces", "holds", http.Header{targetapi.HeaderKey: {"a b"}}, nil, 400},
		{"two keys", "holds", http.Header{targetapi.HeaderKey: {"a", "b"}}, nil, 400},
		{"long workspace", "holds", http.Header{targetapi.HeaderWorkspace: {strings.Repeat("w", maxNameLength+1)}}, nil, 400},
		{"odd idempotent", "holds", http.Header{targetapi.HeaderIdempotent: {"perhaps"}}, nil, 400},
		{"unknown service", "nothing", nil, nil, 404},
		{"large header", "holds", http.Header{"X-Large": {strings.Repeat("x", maxHeader)}}, nil, 431},
		{"large body", "holds", nil, strings.NewReader(strings.Repeat("x", maxRequestBody+1)), 413},
		{"large body of unknown length", "holds", nil, io.LimitReader(endlessReader{}, maxRequestBody+1), 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req, err := http.NewRequest(http.MethodPost, b.entry+"/v1/services/"+c.service+"/call", c.body)
			if err != nil {
				t.Fatal(err)
			}
			for k, v := range c.header {
				req.Header[k] = v
			}
			resp, err := b.client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			checkRefusal(t, resp, c.status)
		})
	}
}

// endlessReader is a reader that never ends.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) { return len(p), nil }

// checkRefusal checks status, header and problem body of a request that did not run.
func checkRefusal(t *testing.T, resp *http.Response, status int) {
	t.Helper()
	var p jsonhttp.Problem
	if err := json.NewDecoder(resp.Body).Decode(&p); err != nil {
		t.Fatalf("problem body: %v", err)
	}
	if resp.StatusCode != status || p.Status != status || p.Detail == "" {
		t.Errorf("status %d, problem %+v, not %d", resp.StatusCode, p, status)
	}
	if o := resp.Header.Get(targetapi.HeaderOutcome); o != string(targetapi.NotRun) || p.Outcome != o {
		t.Errorf("outcome is %q in the header and %q in the body", o, p.Outcome)
	}
}

// TestSlowSender checks that a caller that sends its body too slowly is refused, so that it can't hold
// memory and a connection.
func TestSlowSender(t *testing.T) {
	b := newBench(t)
	n := b.start(t, RoleEntry, "entry-1", listen(t))
	waitReady(n)
	n.members.Announce(b.serveTarget(t, "target-a", ""))
	c, err := net.Dial("tcp", strings.TrimPrefix(b.entry, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "POST /v1/services/holds/call HTTP/1.1\r\nHost: x\r\n%s: 100\r\nContent-Length: 10\r\n\r\nabc", targetapi.HeaderBudgetMS)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	checkRefusal(t, resp, http.StatusRequestTimeout)
}

// TestGuardGrants checks that entries use a target with credits of the guard on the target's host, and
// that only this guard grants them.
func TestGuardGrants(t *testing.T) {
	b := newBench(t)
	le, lg := listen(t), listen(t)
	entry := b.start(t, RoleEntry, "entry-1", le)
	guard := b.start(t, RoleGuard, "guard-1", lg, le.Addr().String())
	waitReady(entry)
	waitReady(guard)
	entry.members.Announce(b.serveTarget(t, "target-a", lg.Addr().String()))
	answered := 0
	for range 400 {
		hdr := http.Header{targetapi.HeaderBudgetMS: {"1000"}}
		if b.send(b.entry+"/v1/services/holds/call", hdr) > 0 {
			answered++
		}
		if answered == 20 {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Errorf("%d requests were answered with a guard as granter", answered)
}
