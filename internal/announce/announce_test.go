package announce

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestAnyOrder checks that tables which receive the same announcements late, twice and in any order agree
// on the members, and that leaving is never reverted within an incarnation.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Announcement {
			return Announcement{
				Role: RoleTarget, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "name"),
				Incarnation: rapid.Int64Range(1, 2).Draw(t, "incarnation"), Seq: rapid.Int64Range(1, 6).Draw(t, "seq"),
				LeaseMS: 1000, Leaving: rapid.Bool().Draw(t, "leaving"),
			}
		}), 1, 20).Draw(t, "announcements")
		x, y := NewTable(), NewTable()
		left := map[Announcement]bool{}
		for _, a := range all {
			x.Apply(now, a)
			x.Apply(now, a)
			left[Announcement{Name: a.Name, Incarnation: a.Incarnation}] = left[Announcement{Name: a.Name, Incarnation: a.Incarnation}] || a.Leaving
		}
		for _, a := range rapid.Permutation(all).Draw(t, "other order") {
			y.Apply(now, a)
		}
		for _, m := range x.All() {
			o := y.members[ID{m.Role, m.Name}]
			if o.Incarnation != m.Incarnation || o.Leaving != m.Leaving {
				t.Fatalf("tables differ: %+v and %+v", m, o)
			}
			if m.Leaving != left[Announcement{Name: m.Name, Incarnation: m.Incarnation}] {
				t.Fatalf("leaving of %s is %v", m.Name, m.Leaving)
			}
		}
	})
}
