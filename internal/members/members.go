// Package members keeps the announcement table of a process and spreads it between processes.
package members

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/netdial"
	"github.com/crocusspring/crocusspring/internal/resource"
)

const (
	exchangeEvery   = 500 * time.Millisecond
	exchangeTimeout = time.Second
)

// Self describes this process to its peers.
type Self interface {
	// Process returns the status this process reports of itself.
	Process() *peerv1.Process
}

// Members is the shared table. Use New to make one.
type Members struct {
	mu        sync.Mutex
	table     *announce.Table
	processes map[string]*peerv1.Process
	self      Self
	peers     []peerv1connect.PeerServiceClient
	lg        *log.Logger
}

// New returns a table that is exchanged with the peers at the given addresses.
func New(self Self, peers []string, lg *log.Logger, dial ...netdial.Func) *Members {
	m := &Members{table: announce.NewTable(), processes: map[string]*peerv1.Process{}, self: self, lg: lg}
	client := &http.Client{Transport: &http.Transport{
		DialContext:         netdial.First(exchangeTimeout, dial...),
		MaxIdleConnsPerHost: 2,
	}}
	for _, p := range peers {
		m.peers = append(m.peers, peerv1connect.NewPeerServiceClient(client, "http://"+p))
	}
	return m
}

// Run exchanges with every peer until ctx ends.
func (m *Members) Run(ctx context.Context) {
	t := time.NewTicker(exchangeEvery)
	defer t.Stop()
	for {
		for _, p := range m.peers {
			go m.call(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.mu.Lock()
			m.table.Tick(time.Now())
			m.mu.Unlock()
		}
	}
}

// call exchanges with one peer.
func (m *Members) call(ctx context.Context, p peerv1connect.PeerServiceClient) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	req := &peerv1.ExchangeRequest{Sender: m.self.Process(), Announcements: m.export()}
	resp, err := p.Exchange(ctx, connect.NewRequest(req))
	if err != nil {
		m.lg.Debug("Exchange failed.", "err", err)
		return
	}
	m.take(resp.Msg.Sender, resp.Msg.Announcements)
}

// Exchange implements the peer service.
func (m *Members) Exchange(_ context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m.take(r.Msg.Sender, r.Msg.Announcements)
	return connect.NewResponse(&peerv1.ExchangeResponse{Sender: m.self.Process(), Announcements: m.export()}), nil
}

// Announce folds one announcement made to this process.
func (m *Members) Announce(a announce.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Step(time.Now(), a)
}

// Live returns the members of a role whose lease holds.
func (m *Members) Live(role announce.Role) []announce.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Live(time.Now(), role)
}

// Workers returns the live workers of a data centre.
func (m *Members) Workers(dataCentre string) []announce.Member {
	var out []announce.Member
	for _, w := range m.Live(announce.RoleWorker) {
		if w.DataCentre == dataCentre {
			out = append(out, w)
		}
	}
	return out
}

// Processes returns the newest status of every process heard of, this one included.
func (m *Members) Processes() []*peerv1.Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []*peerv1.Process{m.self.Process()}
	for _, p := range m.processes {
		out = append(out, p)
	}
	return out
}

// take folds what a peer sent.
func (m *Members) take(sender *peerv1.Process, as []*peerv1.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sender.GetId() != "" {
		m.processes[sender.GetId()] = sender
	}
	now := time.Now()
	for _, a := range as {
		m.table.Step(now, decode(a))
	}
}

// export returns the table with the time each lease has left.
func (m *Members) export() []*peerv1.Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	var out []*peerv1.Announcement
	for _, mb := range m.table.All() {
		if left := mb.Expires.Sub(now); left > 0 {
			out = append(out, encode(mb.Announcement, left))
		}
	}
	return out
}

// encode returns the wire form of an announcement.
func encode(a announce.Announcement, left time.Duration) *peerv1.Announcement {
	return &peerv1.Announcement{
		Role: string(a.Role), Name: a.Name, Address: a.Address, DataCentre: a.DataCentre, Rack: a.Rack,
		Service: a.Service, Slots: int32(a.Slots), Connections: int32(a.Connections),
		MilliCpu: a.Capacity.MilliCPU, MemoryMb: a.Capacity.MemoryMB, Accelerators: a.Capacity.Accelerators,
		Incarnation: a.Incarnation, Seq: a.Seq, Leaving: a.Leaving, LeaseMs: left.Milliseconds(),
	}
}

// decode returns the announcement of a wire form.
func decode(p *peerv1.Announcement) announce.Announcement {
	return announce.Announcement{
		Role: announce.Role(p.Role), Name: p.Name, Address: p.Address, DataCentre: p.DataCentre, Rack: p.Rack,
		Service: p.Service, Slots: int(p.Slots), Connections: int(p.Connections),
		Capacity:    resource.Vector{MilliCPU: p.MilliCpu, MemoryMB: p.MemoryMb, Accelerators: p.Accelerators},
		Incarnation: p.Incarnation, Seq: p.Seq, Leaving: p.Leaving, LeaseMS: p.LeaseMs,
	}
}
