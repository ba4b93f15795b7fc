package guard

import "testing"

// TestOddAnnouncementIsOvertaken guards against a worker that gets no work any more: another writer announces it with a service
// that nothing names and a high number, and all its own announcements counted as late ones.
func TestOddAnnouncementIsOvertaken(t *testing.T) {
	c := newTestCore(t)
	c.Describe(1000, worker("life-1"), 7)
	odd := worker("life-1")
	odd.Service = "unnamed"
	c.Describe(1200, odd, 1<<62)
	now, seq := int64(1500), int64(8)
	for ; c.info.Service != "pool" && seq < 12; seq++ {
		c.Describe(now, worker("life-1"), seq)
		now += 1500
	}
	if seq > 10 || c.info.Service != "pool" {
		t.Fatalf("worker is of service %s after announcement %d", c.info.Service, seq-1)
	}
	draining := worker("life-1")
	draining.Draining = true
	c.Describe(now, draining, seq)
	if !c.Draining() {
		t.Error("the next announcement isn't taken")
	}
}

// TestLateAnnouncementsStayIgnored guards against late announcements that end a drain: a link that was held up delivers several
// of them at once, in order.
func TestLateAnnouncementsStayIgnored(t *testing.T) {
	c := newTestCore(t)
	draining := worker("life-1")
	draining.Draining = true
	c.Describe(1000, draining, 9)
	for i := range int64(5) {
		c.Describe(2000+10*i, worker("life-1"), 4+i)
	}
	c.Describe(2500, draining, 10)
	c.Describe(9000, worker("life-1"), 8)
	if !c.Draining() {
		t.Error("late announcements have ended the drain")
	}
}
