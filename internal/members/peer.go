package members

import (
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/announce"
)

// peer is a process that this one exchanges with, and what it has been sent.
type peer struct {
	addr      string
	client    peerv1connect.PeerServiceClient
	busy      bool
	reachable bool
	rounds    int
	sent      map[announce.ID]sentState
	// incarnation is the incarnation of the peer that sent refers to.
	incarnation int64
}

// sentState is the state of a member as it was last sent to a peer.
type sentState struct {
	incarnation int64
	leaving     bool
	expires     time.Time
}

// batch is the content of one exchange with a peer.
type batch struct {
	announcements []*peerv1.Announcement
	renewals      []*peerv1.Renewal
	sent          map[announce.ID]sentState
	urgent        bool
}

// pending returns the members whose current state the peer has not been sent, and renewals of the leases
// of which the peer's copy has used up a quarter.
func (p *peer) pending(now time.Time, members []announce.Member) batch {
	b := batch{sent: map[announce.ID]sentState{}}
	for _, m := range members {
		remaining := m.Expires.Sub(now)
		id := announce.ID{Role: m.Role, Name: m.Name}
		t, ok := p.sent[id]
		changed := !ok || t.incarnation != m.Incarnation || t.leaving != m.Leaving
		if remaining <= 0 || !changed && !renewalDue(now, t.expires, m) {
			continue
		}
		b.urgent = b.urgent || changed
		if changed {
			b.announcements = append(b.announcements, encode(m.Announcement, remaining))
		} else {
			b.renewals = append(b.renewals, encodeRenewal(m.Announcement, remaining))
		}
		b.sent[id] = sentState{m.Incarnation, m.Leaving, m.Expires}
	}
	return b
}

// renewalDue reports whether a lease has been renewed and less than three quarters of it remain in the peer's
// copy.
func renewalDue(now, sentExpiry time.Time, m announce.Member) bool {
	lease := time.Duration(m.LeaseMS) * time.Millisecond
	return m.Expires.After(sentExpiry) && sentExpiry.Sub(now) < lease*3/4
}

// recordSent records what the peer was sent. It first discards all earlier records when the peer has
// restarted.
func (p *peer) recordSent(now time.Time, incarnation int64, sent map[announce.ID]sentState) {
	if p.sent == nil || p.incarnation != incarnation {
		p.sent, p.incarnation = map[announce.ID]sentState{}, incarnation
	}
	for id, t := range sent {
		p.sent[id] = t
	}
	for id, t := range p.sent {
		if now.Sub(t.expires) > sentRetention {
			delete(p.sent, id)
		}
	}
}

// sentRetention is how long the record that a peer was sent a member is kept after the lease has expired.
const sentRetention = time.Minute

// peerAt returns the peer at an address. The caller holds the lock or is the only user.
func (m *Members) peerAt(addr string) *peer {
	p := m.byAddr[addr]
	if p == nil {
		p = &peer{addr: addr, client: peerv1connect.NewPeerServiceClient(m.client, "http://"+addr)}
		m.byAddr[addr] = p
	}
	return p
}
