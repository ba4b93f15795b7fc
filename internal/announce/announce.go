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

// Role says what announced itself.
type Role string

// Roles of an announcement.
const (
	RoleTarget Role = "target"
	RoleWorker Role = "worker"
)

// Announcement is what a target or worker says of itself.
type Announcement struct {
	Role       Role   `json:"role"`
	Name       string `json:"name"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack,omitempty"`
	// Service is what a target answers for; empty for workers.
	Service string `json:"service,omitempty"`
	// Slots and Connections are how many requests and connections a target takes at once.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Guard is the address of the guard beside a target, IP with port; empty when there is none.
	Guard string `json:"guard,omitempty"`
	// Capacity is what a worker has; zero for targets.
	Capacity resource.Vector `json:"capacity,omitzero"`
	// Incarnation is larger after every start of the announcer (nanoseconds of its start).
	Incarnation int64 `json:"incarnation"`
	// Seq grows with every announcement of one incarnation.
	Seq     int64 `json:"seq"`
	Leaving bool  `json:"leaving,omitempty"`
	// LeaseMS is how long the announcement holds, in milliseconds.
	LeaseMS int64 `json:"lease_ms"`
}

// ID names the announcer across roles.
type ID struct {
	Role Role
	Name string
}

// Member is an announcer as the table knows it.
type Member struct {
	Announcement
	// Expires is when the lease ends by the clock of the process that keeps the table.
	Expires time.Time
}

// Change says how much an announcement changed the table.
type Change int

// Changes of a table.
const (
	// ChangeNone is an announcement that was known.
	ChangeNone Change = iota
	// ChangeRenewed is a longer lease and nothing else.
	ChangeRenewed
	// ChangeNews is what peers should hear at once: a new member, a new start or a leaving one.
	ChangeNews
)

// Table is the set of members. Use NewTable to make one.
type Table struct {
	members map[ID]Member
	news    uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[ID]Member{}} }

// News grows with every change but the renewal of a lease.
func (t *Table) News() uint64 { return t.news }

// maxLease bounds the lease of an announcement.
const maxLease = time.Minute

// Step folds one announcement and says how much it changed the table.
func (t *Table) Step(now time.Time, a Announcement) Change {
	id := ID{a.Role, a.Name}
	old, ok := t.members[id]
	same := ok && old.Incarnation == a.Incarnation
	if same && a.Leaving && !old.Leaving && a.Seq <= old.Seq {
		// Leaving is final, so it holds even when a later renewal overtook it.
		old.Leaving = true
		t.members[id] = old
		t.news++
		return ChangeNews
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
	t.news++
	return ChangeNews
}

// Renew folds a longer lease of a member whose announcement of the same start is known.
func (t *Table) Renew(now time.Time, id ID, incarnation, seq, leaseMS int64) Change {
	old, ok := t.members[id]
	if !ok || old.Incarnation != incarnation {
		return ChangeNone
	}
	a := old.Announcement
	a.Seq, a.LeaseMS = seq, leaseMS
	return t.Step(now, a)
}

// newer reports whether a should replace b.
func newer(a, b Announcement) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Seq > b.Seq
}

// forgetAfter is how long an expired member is kept so that late copies of it stay without effect.
const forgetAfter = 5 * time.Minute

// Tick drops members that expired long ago.
func (t *Table) Tick(now time.Time) {
	for id, m := range t.members {
		if now.Sub(m.Expires) > forgetAfter {
			delete(t.members, id)
		}
	}
}

// Live returns the members of a role whose lease holds, leaving ones included.
func (t *Table) Live(now time.Time, role Role) []Member {
	var out []Member
	for _, m := range t.members {
		if m.Role == role && now.Before(m.Expires) {
			out = append(out, m)
		}
	}
	return out
}

// All returns every member the table keeps.
func (t *Table) All() []Member {
	out := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		out = append(out, m)
	}
	return out
}
