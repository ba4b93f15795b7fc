// Package route decides which target a request goes to. It does no I/O and has no clock.
package route

import (
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
)

// Table counts what this process has in progress at each target. Use New to make one.
type Table struct {
	// share is the part of a target's slots this process may use, as 1/share.
	share  int
	active map[string]int
}

// New returns a table for a process that shares targets with share processes, itself included.
func New(share int) *Table {
	return &Table{share: max(1, share), active: map[string]int{}}
}

// Pick returns the least loaded target of a service with a free slot, its own data centre first.
func (t *Table) Pick(now time.Time, service, dataCentre string, members []announce.Member) (announce.Member, bool) {
	var best announce.Member
	found := false
	for _, m := range members {
		if m.Service != service || m.Leaving || t.active[m.Name] >= m.Slots/t.share {
			continue
		}
		if !found || t.better(m, best, dataCentre) {
			best, found = m, true
		}
	}
	if found {
		t.active[best.Name]++
	}
	return best, found
}

// better reports whether a is to be preferred over b.
func (t *Table) better(a, b announce.Member, dataCentre string) bool {
	if near := a.DataCentre == dataCentre; near != (b.DataCentre == dataCentre) {
		return near
	}
	if t.active[a.Name] != t.active[b.Name] {
		return t.active[a.Name] < t.active[b.Name]
	}
	return a.Name < b.Name
}

// Done gives a slot back.
func (t *Table) Done(target string) {
	if t.active[target] > 0 {
		t.active[target]--
	}
}

// Active returns how many requests are in progress at all targets.
func (t *Table) Active() int {
	sum := 0
	for _, n := range t.active {
		sum += n
	}
	return sum
}
