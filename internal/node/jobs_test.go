package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// jobCluster is a log service with two nodes: a candidate for cell dc, and a node without cells.
type jobCluster struct {
	t     *testing.T
	log   *logstand.Server
	nodes []string
}

// newJobCluster starts both nodes and waits until the second one knows the owner of the cell.
func newJobCluster(t *testing.T) *jobCluster {
	b := &jobCluster{t: t, log: logstand.New(0)}
	srv := httptest.NewServer(b.log.Handler())
	t.Cleanup(srv.Close)
	var ls []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ls = append(ls, l)
		b.nodes = append(b.nodes, l.Addr().String())
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, len(ls))
	for i, l := range ls {
		opt := Defaults()
		opt.Role, opt.ID, opt.DataCentre, opt.Drain = RoleEntry, fmt.Sprint("n", i), "dc", time.Second
		opt.Peers = []string{b.nodes[1-i]}
		if i == 0 {
			opt.Cells = []string{"dc"}
		}
		ports := Ports{
			Log: logsvc.NewHTTP(srv.Listener.Addr().String()), Workers: workerapi.NewHTTP(), Targets: targetapi.NewHTTP(4),
		}
		n := New(opt, ports, logs.Discard())
		go func() { done <- n.Serve(ctx, l) }()
	}
	t.Cleanup(func() {
		cancel()
		for range ls {
			<-done
		}
	})
	for b.do(1, http.MethodGet, "/v1/jobs?cell=dc", nil, nil) != http.StatusOK {
		time.Sleep(10 * time.Millisecond)
	}
	return b
}

// do sends one request to a node and returns the status of the response.
func (b *jobCluster) do(node int, method, path string, in, out any) int {
	b.t.Helper()
	data, _ := json.Marshal(in)
	req, err := http.NewRequestWithContext(b.t.Context(), method, "http://"+b.nodes[node]+path, bytes.NewReader(data))
	if err != nil {
		b.t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	if out != nil {
		if err := json.NewDecoder(resp.Body).Decode(out); err != nil {
			b.t.Fatal(err)
		}
	}
	return resp.StatusCode
}

// TestJobs checks the status codes of the jobs interface, through the node that owns the cell and through
// one that forwards to the owner.
func TestJobs(t *testing.T) {
	b := newJobCluster(t)
	job := func(id string, cpu int) map[string]any {
		return map[string]any{"id": id, "workspace": "w", "class": "c", "data_centre": "dc", "declare": map[string]any{"milli_cpu": cpu}}
	}
	for node := range b.nodes {
		id := fmt.Sprint("job-", node)
		steps := []struct {
			method, path string
			in           any
			want         int
		}{
			{http.MethodPost, "/v1/jobs", job(id, 1000), http.StatusCreated},
			{http.MethodPost, "/v1/jobs", job(id, 1000), http.StatusOK},
			{http.MethodPost, "/v1/jobs", job(id, 2000), http.StatusConflict},
			{http.MethodPost, "/v1/jobs", job("bad", 0), http.StatusBadRequest},
			{http.MethodPost, "/v1/jobs", job("a b", 1000), http.StatusBadRequest},
			{http.MethodGet, "/v1/jobs/" + id, nil, http.StatusOK},
			{http.MethodGet, "/v1/jobs/" + id + "/explain", nil, http.StatusOK},
			{http.MethodGet, "/v1/jobs/none", nil, http.StatusNotFound},
			{http.MethodPost, "/v1/jobs/none/cancel", nil, http.StatusNotFound},
			{http.MethodGet, "/v1/jobs?limit=0", nil, http.StatusBadRequest},
			{http.MethodPost, "/v1/jobs/cancel", map[string]any{"jobs": []string{}}, http.StatusBadRequest},
		}
		for _, s := range steps {
			if got := b.do(node, s.method, s.path, s.in, nil); got != s.want {
				t.Errorf("node %d: %s %s %v: status %d, want %d", node, s.method, s.path, s.in, got, s.want)
			}
		}
		var out cancelled
		if b.do(node, http.MethodPost, "/v1/jobs/"+id+"/cancel", nil, &out); out.State != "cancelled" {
			t.Errorf("node %d: job is %+v after its cancellation", node, out)
		}
	}
}

// TestMaxOpenJobs checks that either node refuses a job of a workspace that has reached its limit of open
// jobs, that the workspace may submit again once a job has ended, and that submitting an accepted job
// again succeeds even at the limit.
func TestMaxOpenJobs(t *testing.T) {
	b := newJobCluster(t)
	record := map[string]any{
		"id": "bound", "by": "op", "kind": "workspace", "name": "small", "schema": 2,
		"spec": map[string]any{"weight": 1, "max_open_jobs": 2, "quota": map[string]any{"cores": 1, "memory_gb": 1}},
	}
	if got := b.do(0, http.MethodPost, "/v1/records", record, nil); got != http.StatusOK {
		t.Fatalf("record: status %d", got)
	}
	submit := func(node int, id string) int {
		in := map[string]any{"id": id, "workspace": "small", "class": "c", "data_centre": "dc", "declare": map[string]any{"milli_cpu": 1}}
		return b.do(node, http.MethodPost, "/v1/jobs", in, nil)
	}
	for i, want := range []int{http.StatusCreated, http.StatusCreated, http.StatusTooManyRequests, http.StatusTooManyRequests} {
		if got := submit(i%2, fmt.Sprint("small-", i)); got != want {
			t.Errorf("job %d: status %d, want %d", i, got, want)
		}
	}
	if got := submit(1, "small-0"); got != http.StatusOK {
		t.Errorf("accepted job submitted again: status %d", got)
	}
	if got := b.do(1, http.MethodPost, "/v1/jobs/small-1/cancel", nil, nil); got != http.StatusOK {
		t.Fatalf("cancel: status %d", got)
	}
	if got := submit(0, "small-4"); got != http.StatusCreated {
		t.Errorf("job after one has ended: status %d", got)
	}
}

// TestCancelBurst checks that cancelling a thousand jobs in one request appends one record.
func TestCancelBurst(t *testing.T) {
	b := newJobCluster(t)
	var ids []string
	for range 1000 {
		ids = append(ids, fmt.Sprint("burst-", len(ids)))
	}
	for _, id := range ids[:20] {
		in := map[string]any{"id": id, "workspace": "w", "class": "c", "data_centre": "dc", "declare": map[string]any{"milli_cpu": 1}}
		if got := b.do(0, http.MethodPost, "/v1/jobs", in, nil); got != http.StatusCreated {
			t.Fatalf("status %d", got)
		}
	}
	before := b.records("job-cancel")
	var out []cancelled
	if got := b.do(1, http.MethodPost, "/v1/jobs/cancel", map[string]any{"jobs": ids}, &out); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	for i, c := range out {
		if want := map[bool]string{true: "cancelled", false: "unknown"}[i < 20]; string(c.State) != want {
			t.Errorf("job %s is %s, want %s", c.ID, c.State, want)
		}
	}
	if n := b.records("job-cancel") - before; len(out) != len(ids) || n != 1 {
		t.Errorf("%d jobs were answered for with %d records", len(out), n)
	}
}

// records counts the records of a kind on the cell's stream.
func (b *jobCluster) records(kind string) int {
	rec := httptest.NewRecorder()
	b.log.Handler().ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/v1/streams/cell-dc/records?from=1&limit=5000", nil))
	return bytes.Count(rec.Body.Bytes(), []byte(`"kind":"`+kind+`"`))
}
