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

// Table is the set of members. Use NewTable to make one.
type Table struct{ members map[ID]Member }

// NewTable returns an empty table.
func NewTable() *Table { return &Table{members: map[ID]Member{}} }

// Step folds one announcement and reports whether it changed the table.
func (t *Table) Step(now time.Time, a Announcement) bool {
	id := ID{a.Role, a.Name}
	old, ok := t.members[id]
	if ok && !newer(a, old.Announcement) {
		return false
	}
	if ok && old.Incarnation == a.Incarnation && old.Leaving {
		a.Leaving = true
	}
	lease := time.Duration(a.LeaseMS) * time.Millisecond
	t.members[id] = Member{Announcement: a, Expires: now.Add(lease)}
	return true
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
