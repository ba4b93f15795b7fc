package sched

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/link"
	"github.com/crocusspring/crocusspring/internal/store"
)

// joinedWorker is a worker that joins after a takeover, beside the guard of node d.
const joinedWorker = "w-d@1"

// joinNode returns an owner that has taken over nodes a, b and c, to which joinedWorker has attached since, the records in the store
// and a job with a run there.
func joinNode(t *testing.T) (*Core, map[string]string, *job.Spec) {
	t.Helper()
	records := map[string]string{}
	for _, node := range []string{"a", "b", "c"} {
		records[workerPrefix+nodeWorker(node).ID] = node
	}
	c := restoreNodes(t, epoch0, records)
	spec := one("job", 0, job.Step{Count: 1, Demand: cores(1), LongRunning: true})
	c.Submit(epoch0, spec)
	c.Attach(epoch0, "d", link.Worker{ID: joinedWorker, Service: "pool", Capacity: big}, link.Listing{})
	c.Schedule(epoch0)
	storeAll(t, epoch0, c, records)
	if len(started(c.Commands())[joinedWorker]) != 1 {
		t.Fatal("no run on the worker that has joined")
	}
	return c, records, spec
}

// storeAll stores what an owner has to store, in batches that take effect at once.
func storeAll(t *testing.T, now time.Time, c *Core, records map[string]string) {
	t.Helper()
	for range 5 {
		b, ok := c.Flush(now)
		if !ok {
			return
		}
		for _, r := range b.Records {
			if delete(records, r.Key); len(r.Value) > 0 {
				records[r.Key] = string(r.Value)
			}
		}
		c.Stored(now, b.Seq)
	}
	t.Fatal("an owner at rest goes on storing records")
}

// takeOverJob returns a core that takes over the store with a job.
func takeOverJob(t *testing.T, now time.Time, records map[string]string, spec *job.Spec) *Core {
	t.Helper()
	c := New(quorumOptions())
	c.Submit(now, spec)
	var sorted []store.Record
	for key, value := range records {
		sorted = append(sorted, store.Record{Key: key, Value: []byte(value)})
	}
	SortForRestore(sorted)
	for _, r := range sorted {
		if err := c.Restore(now, r.Key, r.Value); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// TestRebirthAfterTwoTakeovers guards against tasks that wait for ten seconds after two takeovers: the second owner didn't store the
// node of a worker that had joined, so that the third one didn't know that its next birth had replaced it.
func TestRebirthAfterTwoTakeovers(t *testing.T) {
	_, records, spec := joinNode(t)
	third := takeOverJob(t, epoch0, records, spec)
	for _, id := range third.SupersededWorkers("w-d@2", "d") {
		third.RemoveWorker(epoch0, id)
	}
	third.Attach(epoch0, "d", link.Worker{ID: "w-d@2", Service: "pool", Capacity: big}, link.Listing{})
	if got := started(settle(epoch0, third))["w-d@2"]; len(got) != 1 || got[0].Run != 2 {
		t.Errorf("started %+v, want the task as run 2", got)
	}
}

// TestProvisionalNodeGivesWay checks that the quorums count the node of a worker that has joined once they may, for the owner that
// it has joined and for a further one, and that nothing is left of a worker that has gone.
func TestProvisionalNodeGivesWay(t *testing.T) {
	info := link.Worker{ID: joinedWorker, Service: "pool", Capacity: big}
	for name, further := range map[string]func(*Core, map[string]string, *job.Spec) *Core{
		"same owner": func(c *Core, _ map[string]string, _ *job.Spec) *Core { return c },
		"further owner": func(_ *Core, records map[string]string, spec *job.Spec) *Core {
			c := takeOverJob(t, epoch0, records, spec)
			c.Attach(epoch0, "d", info, link.Listing{})
			return c
		},
	} {
		for _, gone := range []bool{false, true} {
			c, records, spec := joinNode(t)
			c = further(c, records, spec)
			storeAll(t, epoch0, c, records)
			if records[provisionalPrefix+joinedWorker] != "d" || records[workerPrefix+joinedWorker] != "" {
				t.Errorf("%s: records %v while the set of nodes must stay", name, records)
			}
			want := "d"
			if gone {
				c.RemoveWorker(epoch0, joinedWorker)
				want = ""
				if storeAll(t, epoch0, c, records); records[provisionalPrefix+joinedWorker] != "" {
					t.Errorf("%s: records %v name a worker that has gone", name, records)
				}
			}
			storeAll(t, c.guards.silentFrom, c, records)
			if records[provisionalPrefix+joinedWorker] != "" || records[workerPrefix+joinedWorker] != want {
				t.Errorf("%s, gone %t: records %v once the set may change", name, gone, records)
			}
		}
	}
}

// TestRejectedProvisionalNode checks that a record that the store doesn't take isn't stored again and again.
func TestRejectedProvisionalNode(t *testing.T) {
	c := restoreNodes(t, epoch0, map[string]string{workerPrefix + nodeWorker("a").ID: "a"})
	c.Attach(epoch0, "d", nodeWorker("d"), link.Listing{})
	b, _ := c.Flush(epoch0)
	c.Stored(epoch0, b.Seq, provisionalPrefix+nodeWorker("d").ID)
	if b, ok := c.Flush(epoch0); ok {
		t.Errorf("records %v are stored again", b.Records)
	}
}

// TestCountedNodeWins checks that a provisional record which an owner of an earlier version left behind doesn't hide the node that is
// stored since, whichever is read first.
func TestCountedNodeWins(t *testing.T) {
	id := nodeWorker("a").ID
	keys := []string{workerPrefix + id, provisionalPrefix + id}
	nodes := map[string]string{workerPrefix: "a", provisionalPrefix: "b"}
	for range keys {
		keys[0], keys[1] = keys[1], keys[0]
		c := New(quorumOptions())
		records := map[string]string{}
		for _, key := range keys {
			records[key] = nodes[key[:2]]
			if err := c.Restore(epoch0, key, []byte(records[key])); err != nil {
				t.Fatal(err)
			}
		}
		if c.workers[id].node != "a" || len(c.guards.inherited) != 1 {
			t.Errorf("%v: worker is on node %s, the quorums count %v", keys, c.workers[id].node, c.guards.inherited)
		}
		storeAll(t, epoch0, c, records)
		if _, left := records[provisionalPrefix+id]; left || records[workerPrefix+id] != "a" {
			t.Errorf("%v: records %v", keys, records)
		}
	}
}

// TestAdoptedProvisionalNode checks that a worker that was stored without its birth keeps its provisional node under the key with it.
func TestAdoptedProvisionalNode(t *testing.T) {
	records := map[string]string{workerPrefix + nodeWorker("a").ID: "a", provisionalPrefix + "w-d": "d"}
	c := restoreNodes(t, epoch0, records)
	c.Attach(epoch0, "d", link.Worker{ID: joinedWorker, Service: "pool", Capacity: big}, link.Listing{})
	storeAll(t, epoch0, c, records)
	if records[provisionalPrefix+joinedWorker] != "d" || records[provisionalPrefix+"w-d"] != "" {
		t.Errorf("records %v", records)
	}
}
