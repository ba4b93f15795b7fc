// Package members keeps the announcement table of a process and replicates it between processes.
//
// Every exchange carries the members that the peer has not been sent yet, and renewals of leases of which
// the peer's copy has used up a quarter. Changes other than renewals, such as a target that leaves, are
// sent at once. Nothing here needs the log.
package members

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/netdial"
)

const (
	exchangeInterval = 500 * time.Millisecond
	// exchangeTimeout also makes an exchange a health check of its connection: a connection without a
	// response for this long is closed and the next exchange opens a new one.
	exchangeTimeout = 700 * time.Millisecond
	// fullExchangeEvery is the number of exchanges after which one requests the peer's whole table.
	fullExchangeEvery = 120
	// processTimeout is the time without a status after which a process is dropped.
	processTimeout = 3 * time.Second
)

// Self describes this process to its peers.
type Self interface {
	// Process returns the status this process reports of itself.
	Process() *peerv1.Process
}

// Members is the replicated table. Use New to make one.
type Members struct {
	mu    sync.RWMutex
	table *announce.Table
	// version is the table's version. Every request reads it, so it is read without the lock.
	version   atomic.Uint64
	processes map[string]receivedStatus
	self      Self
	// peers doesn't change after New.
	peers    []*peer
	byAddr   map[string]*peer
	client   *http.Client
	lg       *log.Logger
	changed  chan struct{}
	services Services
	config   ConfigRelay
}

// receivedStatus is the newest status of a process and the time it was received.
type receivedStatus struct {
	status     *peerv1.Process
	receivedAt time.Time
}

// New returns a table that is exchanged with the peers at the given addresses.
func New(self Self, peers []string, lg *log.Logger, dial ...netdial.Func) *Members {
	m := &Members{
		table: announce.NewTable(), processes: map[string]receivedStatus{}, byAddr: map[string]*peer{},
		self: self, lg: lg, changed: make(chan struct{}, 1), config: noConfig{},
	}
	m.client = &http.Client{Transport: &http.Transport{
		DialContext:         netdial.FirstNonNil(exchangeTimeout, dial...),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}}
	for _, addr := range peers {
		m.peers = append(m.peers, m.peerAt(addr))
	}
	return m
}

// Run exchanges with every peer until ctx ends.
func (m *Members) Run(ctx context.Context) {
	t := time.NewTicker(exchangeInterval)
	defer t.Stop()
	for {
		for _, p := range m.peers {
			go m.exchange(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.changed:
		case <-t.C:
			m.mu.Lock()
			m.table.DropExpired(time.Now())
			m.mu.Unlock()
		}
	}
}

// exchange exchanges with one peer. It does nothing if an exchange with the peer is in progress and there
// is no change to send other than renewals.
func (m *Members) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	m.mu.Lock()
	content := p.pending(time.Now(), m.table.All())
	if p.busy && !content.urgent {
		m.mu.Unlock()
		return
	}
	p.busy = true
	p.rounds++
	full := !p.reachable || p.rounds%fullExchangeEvery == 0
	m.mu.Unlock()
	req := &peerv1.ExchangeRequest{Sender: m.self.Process(), Announcements: content.announcements, Renewals: content.renewals, Full: full}
	resp, err := p.client.Exchange(ctx, connect.NewRequest(req))
	m.mu.Lock()
	p.busy = false
	p.reachable = err == nil
	if err == nil {
		p.recordSent(time.Now(), resp.Msg.Sender.GetIncarnation(), content.sent)
	}
	m.mu.Unlock()
	if err != nil {
		m.lg.Debug("Exchange failed.", "peer", p.addr, "err", err)
		return
	}
	m.receive(resp.Msg.Sender, resp.Msg.Announcements)
	m.config.Offer(resp.Msg.Sender, resp.Msg.Config)
}

// Exchange implements the peer service.
func (m *Members) Exchange(_ context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m.receive(r.Msg.Sender, r.Msg.Announcements)
	m.renew(r.Msg.Renewals)
	resp := &peerv1.ExchangeResponse{Sender: m.self.Process()}
	resp.Config = m.config.Since(r.Msg.Sender.GetConfigOffset())
	if r.Msg.Full || !m.isPeer(r.Msg.Sender.GetAddress()) {
		resp.Announcements = m.export()
	}
	return connect.NewResponse(resp), nil
}

// isPeer reports whether this process itself starts exchanges with an address.
func (m *Members) isPeer(addr string) bool {
	for _, p := range m.peers {
		if p.addr == addr {
			return true
		}
	}
	return false
}

// Announce folds one announcement that this process received from its announcer.
func (m *Members) Announce(a announce.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fold(time.Now(), a)
}

// fold folds one announcement and triggers an exchange when it must be sent to peers at once. The caller
// holds the lock.
func (m *Members) fold(now time.Time, a announce.Announcement) {
	change := m.table.Apply(now, a)
	m.version.Store(m.table.Version())
	if change != announce.ChangeUrgent {
		return
	}
	select {
	case m.changed <- struct{}{}:
	default:
	}
}

// Version returns a counter that grows with every change of the table except the renewal of a lease.
func (m *Members) Version() uint64 { return m.version.Load() }

// Live returns the members of a role whose lease has not expired.
func (m *Members) Live(role announce.Role) []announce.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
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

// Processes returns the newest status of this process and of every process whose status was received
// within processTimeout.
func (m *Members) Processes() []*peerv1.Process {
	out := []*peerv1.Process{m.self.Process()}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id, h := range m.processes {
		if now.Sub(h.receivedAt) > processTimeout {
			delete(m.processes, id)
			continue
		}
		out = append(out, h.status)
	}
	return out
}

// receive folds the status and the announcements that a peer sent.
func (m *Members) receive(sender *peerv1.Process, as []*peerv1.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if id := sender.GetId(); id != "" && !newerStatus(m.processes[id].status, sender) {
		m.processes[id] = receivedStatus{status: sender, receivedAt: now}
	}
	for _, p := range as {
		a := decode(p)
		if err := a.Check(); err != nil {
			m.lg.Debug("Announcement is bad.", "name", a.Name, "err", err)
			continue
		}
		m.fold(now, a)
	}
}

// renew folds renewed leases of known members. It ignores a member that is not known, whose whole
// announcement arrives in a later exchange.
func (m *Members) renew(rs []*peerv1.Renewal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, r := range rs {
		m.table.Renew(now, announce.ID{Role: announce.Role(r.Role), Name: r.Name}, r.Incarnation, r.Seq, r.LeaseMs)
	}
	// The renewal of a lease that has expired changes the table.
	m.version.Store(m.table.Version())
}

// newerStatus reports whether a is newer than b; a nil status is the oldest.
func newerStatus(a, b *peerv1.Process) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSeq() > b.GetSeq()
}

// export returns the members whose lease has not expired, with the remaining time of each lease.
func (m *Members) export() []*peerv1.Announcement {
	m.mu.RLock()
	defer m.mu.RUnlock()
	now := time.Now()
	var out []*peerv1.Announcement
	for _, mb := range m.table.All() {
		if left := mb.Expires.Sub(now); left > 0 {
			out = append(out, encode(mb.Announcement, left))
		}
	}
	return out
}
