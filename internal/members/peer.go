package members

import (
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/announce"
)

// peer is one process this one exchanges with, and what it was told.
type peer struct {
	addr   string
	client peerv1connect.PeerServiceClient
	busy   bool
	known  bool
	rounds int
	told   map[announce.ID]told
	// incarnation is the start of the peer that was told.
	incarnation int64
}

// told is what a peer knows of a member from this process.
type told struct {
	incarnation int64
	leaving     bool
	expires     time.Time
}

// batch is what to tell a peer.
type batch struct {
	list     []*peerv1.Announcement
	renewals []*peerv1.Renewal
	sent     map[announce.ID]told
	news     bool
}

// untold returns the members the peer has not been told of, or whose lease it will soon see end.
func (p *peer) untold(now time.Time, members []announce.Member) batch {
	b := batch{sent: map[announce.ID]told{}}
	for _, m := range members {
		left := m.Expires.Sub(now)
		id := announce.ID{Role: m.Role, Name: m.Name}
		t, ok := p.told[id]
		news := !ok || t.incarnation != m.Incarnation || t.leaving != m.Leaving
		if left <= 0 || !news && !soon(now, t.expires, m) {
			continue
		}
		b.news = b.news || news
		if news {
			b.list = append(b.list, encode(m.Announcement, left))
		} else {
			b.renewals = append(b.renewals, encodeRenewal(m.Announcement, left))
		}
		b.sent[id] = told{m.Incarnation, m.Leaving, m.Expires}
	}
	return b
}

// soon reports whether a lease the peer knows has lost a quarter of its length.
func soon(now, expires time.Time, m announce.Member) bool {
	lease := time.Duration(m.LeaseMS) * time.Millisecond
	return m.Expires.After(expires) && expires.Sub(now) < lease*3/4
}

// remember notes what the peer was told, and forgets all of it when the peer has started anew.
func (p *peer) remember(now time.Time, incarnation int64, sent map[announce.ID]told) {
	if p.told == nil || p.incarnation != incarnation {
		p.told, p.incarnation = map[announce.ID]told{}, incarnation
	}
	for id, t := range sent {
		p.told[id] = t
	}
	for id, t := range p.told {
		if now.Sub(t.expires) > forgetAfter {
			delete(p.told, id)
		}
	}
}

// forgetAfter is how long it is remembered that a peer was told of a member whose lease has ended.
const forgetAfter = time.Minute

// peer returns the peer at an address. The caller holds the lock or is the only user.
func (m *Members) peer(addr string) *peer {
	p := m.byAddr[addr]
	if p == nil {
		p = &peer{addr: addr, client: peerv1connect.NewPeerServiceClient(m.client, "http://"+addr)}
		m.byAddr[addr] = p
	}
	return p
}
