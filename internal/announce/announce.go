// Package announce keeps the table of targets and workers that have announced themselves.
//
// Announcements carry a lease and a sequence number. A newer sequence of one incarnation replaces an
// older one, a newer incarnation replaces an older one, and leaving is final within an incarnation,
// so announcements may arrive late, twice and in any order.
package announce

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Role is the kind of an announcer.
type Role string

// Roles of an announcement.
const (
	RoleTarget Role = "target"
	RoleWorker Role = "worker"
)

// Announcement is the description that a target or worker sends of itself.
type Announcement struct {
	Role       Role   `json:"role"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack,omitempty"`
	// Service is the service that a target runs; empty for workers.
	Service string `json:"service,omitempty"`
	// Slots and Connections are the maximum numbers of concurrent requests and connections of a target.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Guard is the address of the guard on a target's host, IP with port; empty for none.
	Guard string `json:"guard,omitempty"`
	// Capacity is the resources of a worker; zero for targets.
	Capacity resource.Vector `json:"capacity,omitzero"`
	// Incarnation is the start time of the announcer in Unix nanoseconds; it grows with every start.
	Incarnation int64 `json:"incarnation"`
	// Seq grows with every announcement of an incarnation.
	Seq     int64 `json:"seq"`
	Leaving bool  `json:"leaving,omitempty"`
	// LeaseMS is the length of the announcement's lease, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
}

// ID identifies an announcer among all roles.
type ID struct {
	Role Role
	Name string
}

// Member is an announcer in the table.
type Member struct {
	Announcement
	// Expires is when the lease expires by the clock of the process that keeps the table.
	Expires time.Time
}

// Change is the effect of an announcement on the table.
type Change int

// Changes of a table.
const (
	// ChangeNone means that the announcement changed nothing.
	ChangeNone Change = iota
	// ChangeRenewed means that the announcement only renewed a lease.
	ChangeRenewed
	// ChangeUrgent is a change to send to peers at once: a new or restarted member, one that is leaving, or
	// one that returns after its lease has expired.
	ChangeUrgent
)

// Table is the set of members. Use NewTable to make one.
type Table struct {
	members map[ID]Member
	version uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[ID]Member{}} }

// Version returns a counter that grows with every change except the renewal of a lease.
func (t *Table) Version() uint64 { return t.version }

// maxLease is the maximum lease of an announcement.
const maxLease = time.Minute

// Apply folds one announcement and returns its effect on the table.
func (t *Table) Apply(now time.Time, a Announcement) Change {
	id := ID{a.Role, a.Name}
	old, ok := t.members[id]
	same := ok && old.Incarnation == a.Incarnation
	if same && a.Leaving && !old.Leaving && a.Seq <= old.Seq {
		// Leaving is final, so it takes effect even if a newer announcement has arrived before it.
		old.Leaving = true
		t.members[id] = old
		t.version++
		return ChangeUrgent
	}
	if ok && !newer(a, old.Announcement) {
		return ChangeNone
	}
	a.Leaving = a.Leaving || same && old.Leaving
	lease := min(time.Duration(a.LeaseMS)*time.Millisecond, maxLease)
	t.members[id] = Member{Announcement: a, Expires: now.Add(lease)}
	if same && a.Leaving == old.Leaving && now.Before(old.Expires) {
		return ChangeRenewed
	}
	t.version++
	return ChangeUrgent
}

// Renew folds a renewed lease of a member; it has no effect unless the table has an announcement of the
// same incarnation.
func (t *Table) Renew(now time.Time, id ID, incarnation, seq, leaseMS int64) Change {
	old, ok := t.members[id]
	if !ok || old.Incarnation != incarnation {
		return ChangeNone
	}
	a := old.Announcement
	a.Seq, a.LeaseMS = seq, leaseMS
	return t.Apply(now, a)
}

// newer reports whether a should replace b.
func newer(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq > b.Seq
}

// expiredRetention is how long an expired member is kept, so that delayed copies of its announcements
// have no effect.
const expiredRetention = 5 * time.Minute

// DropExpired drops members that expired more than expiredRetention ago.
func (t *Table) DropExpired(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.Expires) > expiredRetention {
			delete(t.members, id)
		}
	}
}

// Live returns the members of a role whose lease has not expired, including leaving ones.
func (t *Table) Live(now time.Time, role Role) []Member {
	var out []Member
	for _, m := range t.members {
		if m.Role == role && now.Before(m.Expires) {
			out = append(out, m)
		}
	}
	return out
}

// All returns every member in the table, including expired ones.
func (t *Table) All() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	return out
}
