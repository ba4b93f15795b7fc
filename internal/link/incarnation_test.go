package link

import "testing"

// TestIncarnation checks that the text form is read back, that IDs without a birth stay as they are, and which
// incarnations are later starts of others.
func TestIncarnation(t *testing.T) {
	for _, i := range []Incarnation{{"w", 0}, {"w", 1_800_000_000_123}} {
		if got := ParseIncarnation(i.String()); got != i {
			t.Errorf("%q is read as %+v, want %+v", i, got, i)
		}
	}
	for _, text := range []string{"w", "w@", "w@x", "w@-4", ""} {
		if got := ParseIncarnation(text); got != (Incarnation{ID: text}) {
			t.Errorf("%q is read as %+v, want an ID", text, got)
		}
	}
	for _, c := range []struct {
		now, before string
		want        bool
	}{{"w@2", "w@1", true}, {"w@1", "w@2", false}, {"w@1", "w@1", false}, {"w@1", "w", true}, {"v@2", "w@1", false}, {"w", "w", false}} {
		if got := Reborn(c.now, c.before); got != c.want {
			t.Errorf("Reborn(%q, %q) is %v", c.now, c.before, got)
		}
	}
}
