package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// bench runs nodes, a log service and targets on loopback.
type bench struct {
	log     *logstand.Server
	logAddr string
	// entry and target are the base URLs of the first entry and of one target.
	entry, target string
	client        *http.Client
}

// newBench starts only the log service.
func newBench(tb testing.TB) *bench {
	tb.Helper()
	log := logstand.New(0)
	srv := httptest.NewServer(log.Handler())
	tb.Cleanup(srv.Close)
	return &bench{
		log: log, logAddr: strings.TrimPrefix(srv.URL, "http://"),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 128}},
	}
}

// start runs a node on a listener until the test ends.
func (t *bench) start(tb testing.TB, role Role, id string, l net.Listener, peers ...string) *Node {
	tb.Helper()
	opt := Defaults()
	opt.Role, opt.ID, opt.DataCentre, opt.ReadyLag, opt.Peers, opt.Entries = role, id, "dc1", 0, peers, peers
	if role == RoleEntry {
		opt.Entries = append(opt.Entries, l.Addr().String())
		t.entry = "http://" + l.Addr().String()
	}
	ports := Ports{Log: logsvc.NewHTTP(t.logAddr), Workers: workerapi.NewHTTP(), Targets: targetapi.NewHTTP(64)}
	n := New(opt, ports, logs.Discard())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Serve(ctx, l) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			tb.Error(err)
		}
	})
	return n
}

// listen returns a listener on a free port.
func listen(tb testing.TB) net.Listener {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	return l
}

// serveTarget runs a stand-in target of the service named "holds" and returns its announcement.
func (t *bench) serveTarget(tb testing.TB, name, guard string) announce.Announcement {
	tb.Helper()
	a := announce.Announcement{
		Role: announce.RoleTarget, Name: name, DataCentre: "dc1", Service: "holds", Guard: guard,
		Slots: 8, Connections: 64, Incarnation: 1, Seq: 1, LeaseMS: time.Minute.Milliseconds(),
	}
	srv := httptest.NewUnstartedServer(nil)
	a.Address = srv.Listener.Addr().String()
	srv.Config.Handler = targetstand.New(a, func() time.Duration { return 2 * time.Millisecond }, nil).Handler()
	srv.Start()
	tb.Cleanup(srv.Close)
	t.target = srv.URL
	return a
}

// waitReady waits until a node is ready to receive requests.
func waitReady(n *Node) {
	for n.addr.Load() == nil || !n.Ready() {
		time.Sleep(5 * time.Millisecond)
	}
}
