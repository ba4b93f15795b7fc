package sched

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/store"
)

// quorumOptions are options with the times of a deployment.
func quorumOptions() Options {
	opt := options
	opt.RunLease, opt.RunLeaseExtension, opt.HalfQuorumTime, opt.GuardSilence = 4*time.Second, 6*time.Second, 2*time.Second, time.Second
	return opt
}

// nodeWorker returns a worker of a node.
func nodeWorker(node string) link.Worker {
	return link.Worker{ID: "w-" + node, Service: "pool", Capacity: big}
}

// restoreNodes returns a core that has taken over a store with records of workers.
func restoreNodes(tb testing.TB, now time.Time, records map[string]string) *Core {
	tb.Helper()
	c := New(quorumOptions())
	for key, value := range records {
		if err := c.Restore(now, key, []byte(value)); err != nil {
			tb.Fatal(err)
		}
	}
	return c
}

// recordFate is what the predecessor of quorumSplit has done with the record of a worker.
type recordFate int

const (
	stored recordFate = iota
	beingStored
	beingDeleted
	fates
)

// guardSide is whom a guard follows.
type guardSide int

const (
	withPredecessor guardSide = iota
	withSuccessor
	silent
	sides
)

// quorumSplit is one split of the guards between an owner whose appends are unanswered and its successor.
type quorumSplit struct {
	fate []recordFate
	side []guardSide
}

// splits calls f with every split of n guards.
func splits(n int, f func(quorumSplit)) {
	kinds := int(fates) * int(sides)
	total := 1
	for range n {
		total *= kinds
	}
	for code := range total {
		var s quorumSplit
		for range n {
			s.fate = append(s.fate, recordFate(code%int(fates)))
			s.side = append(s.side, guardSide(code/int(fates)%int(sides)))
			code /= kinds
		}
		f(s)
	}
}

// predecessor returns an owner with an append in flight, what was stored before, and the records of the append.
func (s quorumSplit) predecessor(t *testing.T) (*Core, map[string]string, []store.Record) {
	t.Helper()
	before := map[string]string{}
	for i, fate := range s.fate {
		if fate != beingStored {
			node := fmt.Sprint(i)
			before[workerPrefix+nodeWorker(node).ID] = node
		}
	}
	c := restoreNodes(t, epoch0, before)
	c.guards.silentFrom = epoch0
	for i, fate := range s.fate {
		node := fmt.Sprint(i)
		switch fate {
		case beingStored:
			c.Attach(epoch0, node, nodeWorker(node), link.Listing{})
		case beingDeleted:
			c.RemoveWorker(epoch0, nodeWorker(node).ID)
		}
	}
	b, _ := c.Flush(epoch0)
	return c, before, b.Records
}

// after returns what is in the store after an append of which some records were stored, by the bits of outcome.
func after(before map[string]string, records []store.Record, outcome int) map[string]string {
	out := maps.Clone(before)
	for i, r := range records {
		if outcome>>i&1 == 0 {
			continue
		}
		if delete(out, r.Key); len(r.Value) > 0 {
			out[r.Key] = string(r.Value)
		}
	}
	return out
}

// follow lets the guards of one side follow an owner; they have confirmed its messages up to a reading of its clock.
func (s quorumSplit) follow(c *Core, side guardSide, epoch, heardMS int64) {
	for i, of := range s.side {
		if of == side {
			c.Followed(epoch0, fmt.Sprint(i), link.Following{Epoch: epoch, SinceMS: 1, HeardMS: heardMS})
		}
	}
}

// TestExtensionNeedsMostGuards checks with every split of up to four guards, and every outcome of the records that an append was
// to store, that an owner whose lease has ended may not extend the leases of runs at any time from which on its successor counts on
// that. The successor takes over at that end and hears at once from all guards that follow it.
func TestExtensionNeedsMostGuards(t *testing.T) {
	const leaseEndMS = 10_000
	opt := quorumOptions()
	checkAfter := []time.Duration{opt.GuardSilence, opt.HalfQuorumTime - time.Millisecond, opt.HalfQuorumTime, opt.RunLeaseExtension - time.Millisecond}
	cases, extended, concluded := 0, 0, 0
	for n := 1; n <= 4; n++ {
		splits(n, func(s quorumSplit) {
			c, before, records := s.predecessor(t)
			may := map[time.Duration]bool{}
			for _, d := range checkAfter {
				nowMS := leaseEndMS + d.Milliseconds()
				s.follow(c, withPredecessor, 1, nowMS)
				may[d] = c.MayExtend(nowMS, leaseEndMS)
				extended += toInt(may[d])
			}
			for outcome := range 1 << len(records) {
				next := restoreNodes(t, epoch0, after(before, records, outcome))
				s.follow(next, withSuccessor, 2, 1)
				cases++
				concluded += toInt(next.guards.silentFrom.Before(epoch0.Add(opt.RunLeaseExtension)))
				for _, d := range checkAfter {
					if may[d] && !epoch0.Add(d).Before(next.guards.silentFrom) {
						t.Fatalf("%+v, append %v with outcome %b: the owner extends leases %s after its own has ended, its successor counts on the contrary",
							s, records, outcome, d)
					}
				}
			}
		})
	}
	t.Logf("%d cases: the predecessor may extend in %d, the successor concludes in %d", cases, extended, concluded)
	if extended == 0 || concluded == 0 {
		t.Error("no case in which one of the two comes to anything")
	}
}

// TestGuardsEndExtension checks that a successor concludes as soon as the guards that are left are too few for its predecessor,
// whatever their number, with a single one as well, and that its predecessor needs no more than that.
func TestGuardsEndExtension(t *testing.T) {
	opt := quorumOptions()
	for n := 1; n <= 60; n++ {
		records := map[string]string{}
		for i := range n {
			records[fmt.Sprint(workerPrefix, i)] = fmt.Sprint(i)
		}
		before, next := restoreNodes(t, epoch0, records), restoreNodes(t, epoch0, records)
		for i := range n {
			next.Followed(epoch0, fmt.Sprint(i), link.Following{Epoch: 2, SinceMS: 1, HeardMS: 1000})
			want := opt.HalfQuorumTime
			if follow := i + 1; 2*follow >= n {
				want = opt.GuardSilence
			}
			if got := next.guards.silentFrom.Sub(epoch0); got != want {
				t.Fatalf("%d of %d guards follow: leases aren't extended from %s on, want %s", i+1, n, got, want)
			}
			before.Followed(epoch0, fmt.Sprint(i), link.Following{Epoch: 1, SinceMS: 1, HeardMS: 10_000})
			leaseEndMS := 10_000 - opt.HalfQuorumTime.Milliseconds()
			early, late := before.MayExtend(10_000, leaseEndMS+1), before.MayExtend(10_000, leaseEndMS)
			if early != (2*(i+1) > n) || late != (i+1 == n) {
				t.Fatalf("%d of %d guards confirm: may extend is %t, and later %t", i+1, n, early, late)
			}
		}
	}
}

// TestStaleConfirmations checks that what a guard confirmed too long ago doesn't count, however late it arrives, nor what a
// guard confirms that has followed the owner only since its lease ended.
func TestStaleConfirmations(t *testing.T) {
	const leaseEndMS = 5000
	for _, tt := range []struct {
		name string
		f    link.Following
		want bool
	}{
		{"fresh", link.Following{Epoch: 1, SinceMS: 1, HeardMS: 6000}, true},
		{"stale", link.Following{Epoch: 1, SinceMS: 1, HeardMS: 5000}, false},
		{"follows since the lease ended", link.Following{Epoch: 1, SinceMS: leaseEndMS, HeardMS: 6000}, false},
		{"confirms nothing", link.Following{Epoch: 1}, false},
	} {
		c := restoreNodes(t, epoch0, map[string]string{workerPrefix + "w": "a"})
		c.Followed(epoch0, "a", tt.f)
		if got := c.MayExtend(6000, leaseEndMS); got != tt.want {
			t.Errorf("%s: may extend is %t, want %t", tt.name, got, tt.want)
		}
	}
}

// TestNodesStayWhileExtended guards against runs that go on beside their successors after two takeovers in a row: an owner of two
// guards out of five recorded three new ones, so that a further successor had most of the guards, although the first owner still
// heard from most of those that there were.
func TestNodesStayWhileExtended(t *testing.T) {
	records := map[string]string{}
	for _, node := range []string{"a", "b", "c", "d", "e"} {
		records[workerPrefix+nodeWorker(node).ID] = node
	}
	first, second := restoreNodes(t, epoch0, records), restoreNodes(t, epoch0, records)
	for _, node := range []string{"a", "b", "c"} {
		first.Followed(epoch0, node, link.Following{Epoch: 1, SinceMS: 1, HeardMS: 5000})
	}
	joined := []string{"f", "g", "h"}
	for _, node := range append([]string{"d", "e"}, joined...) {
		second.Followed(epoch0, node, link.Following{Epoch: 2, SinceMS: 1, HeardMS: 1})
		second.Attach(epoch0, node, nodeWorker(node), link.Listing{})
	}
	flush := func(now time.Time) {
		b, _ := second.Flush(now)
		for _, r := range b.Records {
			if delete(records, r.Key); len(r.Value) > 0 {
				records[r.Key] = string(r.Value)
			}
		}
		second.Stored(now, b.Seq)
	}
	flush(epoch0)
	third := restoreNodes(t, epoch0, records)
	for _, node := range append([]string{"d", "e"}, joined...) {
		third.Followed(epoch0, node, link.Following{Epoch: 3, SinceMS: 1, HeardMS: 1})
	}
	opt := quorumOptions()
	if !first.MayExtend(5000, 4000) || third.guards.silentFrom.Sub(epoch0) < opt.HalfQuorumTime {
		t.Errorf("first may extend: %t, third counts on the contrary from %s on", first.MayExtend(5000, 4000), third.guards.silentFrom.Sub(epoch0))
	}
	flush(epoch0.Add(opt.RunLeaseExtension + opt.Margin + time.Millisecond))
	for _, node := range joined {
		if records[workerPrefix+nodeWorker(node).ID] != node {
			t.Errorf("the worker of node %s isn't recorded once the extension is over", node)
		}
	}
}

// TestOverwrittenNodeIsUncertain checks that a record that another writer has overwritten doesn't let an owner extend until it
// has been stored again.
func TestOverwrittenNodeIsUncertain(t *testing.T) {
	key := workerPrefix + nodeWorker("a").ID
	c := restoreNodes(t, epoch0, map[string]string{key: "a"})
	c.Followed(epoch0, "a", link.Following{Epoch: 1, SinceMS: 1, HeardMS: 1000})
	may := func() bool { return c.MayExtend(1000, 500) }
	if !may() {
		t.Error("may not extend with the guard of the only node")
	}
	c.Overwritten([]string{key})
	if may() {
		t.Error("may extend although the record may name no node")
	}
	b, _ := c.Flush(epoch0)
	c.Overwritten([]string{key})
	if c.Stored(epoch0, b.Seq); may() {
		t.Error("may extend although the record was overwritten again")
	}
	b, _ = c.Flush(epoch0)
	if c.Stored(epoch0, b.Seq); !may() {
		t.Error("may not extend although the record is stored again")
	}
}
