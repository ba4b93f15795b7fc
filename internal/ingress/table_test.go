package ingress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// at returns a time some milliseconds after the beginning of a test.
func at(ms int) time.Time { return time.UnixMilli(1_000_000 + int64(ms)) }

// TestStalledClientMakesRoom checks which connection is closed when there is no room for another: the one whose client has
// made no progress for longest, and none with a whole request.
func TestStalledClientMakesRoom(t *testing.T) {
	table := newTable(4, 1<<30)
	open := func(ms int) *entry {
		e, closed := table.open(at(ms))
		if e == nil || len(closed) > 0 {
			t.Fatalf("connection at %d ms: %v, %d closed", ms, e, len(closed))
		}
		return e
	}
	whole, stalled, sending, kept := open(0), open(1), open(2), open(3)
	table.enter(whole, serving, at(4))
	for ms := 10; ms < 100; ms += 10 {
		table.receive(sending, progressBytes, at(ms))
		table.receive(stalled, 1, at(ms))
	}
	for i, want := range []*entry{kept, stalled, sending} {
		e, closed := table.open(at(100 + i))
		if e == nil || len(closed) != 1 || closed[0] != want {
			t.Errorf("connection %d closes %v, want %v", i, closed, want)
		}
		table.enter(e, serving, at(100+i))
	}
	if e, closed := table.open(at(200)); e != nil || len(closed) > 0 {
		t.Error("a connection is added although all others have whole requests")
	}
	if whole.gone {
		t.Error("a connection with a whole request was closed")
	}
	table.block(whole, true, at(201))
	if e, _ := table.open(at(300)); e == nil || !whole.gone {
		t.Error("a client that doesn't read its answer doesn't make room")
	}
}

// TestMemoryOfRequests checks that a request beyond the memory is refused while all others make progress, that stalled ones
// make room for it, and that ended requests give back what they took.
func TestMemoryOfRequests(t *testing.T) {
	const size = 100 << 10
	table := newTable(10, 10*connCost+2*size*bodyCost)
	var es []*entry
	for range 3 {
		e, _ := table.open(at(0))
		table.enter(e, readingBody, at(0))
		es = append(es, e)
	}
	for _, e := range es[:2] {
		if _, ok := table.receive(e, size, at(50)); !ok {
			t.Fatal("a request is refused although there is room")
		}
	}
	if closed, ok := table.receive(es[2], size, at(51)); ok || len(closed) > 0 {
		t.Error("a request is taken beyond the memory, or others that make progress were closed for it")
	}
	table.enter(es[0], idle, at(60))
	if _, ok := table.receive(es[2], size, at(61)); !ok {
		t.Error("an ended request hasn't given back its memory")
	}
	e, _ := table.open(at(70))
	table.enter(e, readingBody, at(500))
	if closed, ok := table.receive(e, size, at(501)); !ok || len(closed) == 0 {
		t.Error("a stalled request doesn't make room")
	}
}

// TestTableKeepsItsBounds plays random histories of clients: the bounds hold after each step, the memory is the sum of what
// the connections take, and nothing is left when all are closed.
func TestTableKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := newTable(rapid.IntRange(1, 6).Draw(t, "connections"), rapid.Int64Range(connCost, 20*connCost).Draw(t, "memory"))
		var es []*entry
		now := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += rapid.IntRange(0, 200).Draw(t, "pause")
			if len(es) == 0 || rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				if e, _ := table.open(at(now)); e != nil {
					es = append(es, e)
				}
			} else {
				e := rapid.SampledFrom(es).Draw(t, "connection")
				switch rapid.IntRange(0, 4).Draw(t, "change") {
				case 0:
					table.receive(e, rapid.Int64Range(1, 100<<10).Draw(t, "bytes"), at(now))
				case 1:
					table.enter(e, phase(rapid.IntRange(0, int(detached)).Draw(t, "phase")), at(now))
				case 2:
					table.release(e)
				case 3:
					table.block(e, rapid.Bool().Draw(t, "blocked"), at(now))
				default:
					table.remove(e)
				}
			}
			sum := int64(0)
			for e := range table.entries {
				sum += connCost + e.memory
			}
			if sum != table.memory || sum > table.maxMemory || len(table.entries) > table.maxConns {
				t.Fatalf("%d connections with %d bytes, counted as %d", len(table.entries), sum, table.memory)
			}
		}
		for _, e := range es {
			table.remove(e)
		}
		if table.memory != 0 || len(table.entries) != 0 {
			t.Fatalf("%d bytes and %d connections are left", table.memory, len(table.entries))
		}
	})
}
