// Package members keeps the announcement table of a process and spreads it between processes.
//
// Every exchange carries what the peer has not been told yet or what it will soon forget. News, such
// as a target that leaves, is passed on at once. Nothing here needs the log.
package members

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/charmbracelet/log"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/netdial"
)

const (
	exchangeEvery = 500 * time.Millisecond
	// exchangeTimeout is also the deadline of the ping that an exchange is: a connection that stays
	// silent for this long is closed and the next exchange opens a new one.
	exchangeTimeout = 700 * time.Millisecond
	// fullEvery is how many exchanges pass between two that ask for the whole table.
	fullEvery = 120
	// deadAfter is how long a process is not heard of before it counts as gone.
	deadAfter = 3 * time.Second
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
	processes map[string]heard
	self      Self
	peers     []*peer
	byAddr    map[string]*peer
	client    *http.Client
	lg        *log.Logger
	news      chan struct{}
	services  Services
	config    ConfigPasser
}

// heard is the newest status of a process and when it came.
type heard struct {
	status *peerv1.Process
	at     time.Time
}

// New returns a table that is exchanged with the peers at the given addresses.
func New(self Self, peers []string, lg *log.Logger, dial ...netdial.Func) *Members {
	m := &Members{
		table: announce.NewTable(), processes: map[string]heard{}, byAddr: map[string]*peer{},
		self: self, lg: lg, news: make(chan struct{}, 1), config: noConfig{},
	}
	m.client = &http.Client{Transport: &http.Transport{
		DialContext:         netdial.FirstNonNil(exchangeTimeout, dial...),
		MaxIdleConnsPerHost: 4,
		IdleConnTimeout:     30 * time.Second,
	}}
	for _, addr := range peers {
		m.peers = append(m.peers, m.peer(addr))
	}
	return m
}

// Run exchanges with every peer until ctx ends.
func (m *Members) Run(ctx context.Context) {
	t := time.NewTicker(exchangeEvery)
	defer t.Stop()
	for {
		for _, p := range m.peers {
			go m.exchange(ctx, p)
		}
		select {
		case <-ctx.Done():
			return
		case <-m.news:
		case <-t.C:
			m.mu.Lock()
			m.table.Tick(time.Now())
			m.mu.Unlock()
		}
	}
}

// exchange exchanges with one peer, unless an exchange with nothing less to say is on its way.
func (m *Members) exchange(ctx context.Context, p *peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	m.mu.Lock()
	told := p.untold(time.Now(), m.table.All())
	if p.busy && !told.news {
		m.mu.Unlock()
		return
	}
	p.busy = true
	p.rounds++
	full := !p.known || p.rounds%fullEvery == 0
	m.mu.Unlock()
	req := &peerv1.ExchangeRequest{Sender: m.self.Process(), Announcements: told.list, Renewals: told.renewals, Full: full}
	resp, err := p.client.Exchange(ctx, connect.NewRequest(req))
	m.mu.Lock()
	p.busy = false
	p.known = err == nil
	if err == nil {
		p.remember(time.Now(), resp.Msg.Sender.GetIncarnation(), told.sent)
	}
	m.mu.Unlock()
	if err != nil {
		m.lg.Debug("Exchange failed.", "peer", p.addr, "err", err)
		return
	}
	m.take(resp.Msg.Sender, resp.Msg.Announcements)
	m.config.Offer(resp.Msg.Sender, resp.Msg.Config)
}

// Exchange implements the peer service.
func (m *Members) Exchange(_ context.Context, r *connect.Request[peerv1.ExchangeRequest]) (*connect.Response[peerv1.ExchangeResponse], error) {
	m.take(r.Msg.Sender, r.Msg.Announcements)
	m.renew(r.Msg.Renewals)
	resp := &peerv1.ExchangeResponse{Sender: m.self.Process()}
	resp.Config = m.config.Since(r.Msg.Sender.GetConfigOffset())
	if r.Msg.Full || !m.isPeer(r.Msg.Sender.GetAddress()) {
		resp.Announcements = m.export()
	}
	return connect.NewResponse(resp), nil
}

// isPeer reports whether this process exchanges with an address by itself.
func (m *Members) isPeer(addr string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if p.addr == addr {
			return true
		}
	}
	return false
}

// Announce folds one announcement made to this process.
func (m *Members) Announce(a announce.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fold(time.Now(), a)
}

// fold folds one announcement and wakes the exchange when peers should hear of it at once. The
// caller holds the lock.
func (m *Members) fold(now time.Time, a announce.Announcement) {
	if m.table.Step(now, a) != announce.ChangeNews {
		return
	}
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// News grows with every change of the table but the renewal of a lease.
func (m *Members) News() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.News()
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

// Processes returns the newest status of every process heard of lately, this one included.
func (m *Members) Processes() []*peerv1.Process {
	out := []*peerv1.Process{m.self.Process()}
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for id, h := range m.processes {
		if now.Sub(h.at) > deadAfter {
			delete(m.processes, id)
			continue
		}
		out = append(out, h.status)
	}
	return out
}

// take folds what a peer sent.
func (m *Members) take(sender *peerv1.Process, as []*peerv1.Announcement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if id := sender.GetId(); id != "" && !newerStatus(m.processes[id].status, sender) {
		m.processes[id] = heard{status: sender, at: now}
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

// renew folds longer leases of members that are known; one that is not known is told in full later.
func (m *Members) renew(rs []*peerv1.Renewal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for _, r := range rs {
		m.table.Renew(now, announce.ID{Role: announce.Role(r.Role), Name: r.Name}, r.Incarnation, r.Seq, r.LeaseMs)
	}
}

// newerStatus reports whether a is newer than b; a status that is nil is the oldest.
func newerStatus(a, b *peerv1.Process) bool {
	if a.GetIncarnation() != b.GetIncarnation() {
		return a.GetIncarnation() > b.GetIncarnation()
	}
	return a.GetSeq() > b.GetSeq()
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
