package configrun

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/follow"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"pgregory.net/rapid"
)

// memLog is a log in memory whose oldest entries can expire.
type memLog struct {
	records []json.RawMessage
	first   logsvc.Offset
}

// Append implements logsvc.Appender.
func (m *memLog) Append(_ context.Context, _ string, records []json.RawMessage) (logsvc.Offset, error) {
	at := logsvc.Offset(len(m.records) + 1)
	m.records = append(m.records, records...)
	return at, nil
}

// Read implements logsvc.Reader.
func (m *memLog) Read(_ context.Context, stream string, from logsvc.Offset, limit int, _ time.Duration) (logsvc.Batch, error) {
	if from < m.first {
		return logsvc.Batch{}, &logsvc.ExpiredError{Stream: stream, From: from, First: m.first}
	}
	b := logsvc.Batch{First: m.first, Next: from, Tail: logsvc.Offset(len(m.records) + 1)}
	for b.Next < b.Tail && len(b.Entries) < limit {
		b.Entries = append(b.Entries, logsvc.Entry{Offset: b.Next, Data: m.records[b.Next-1]})
		b.Next++
	}
	return b, nil
}

// cluster is a log, the processes that read it and the reference state they must agree on.
type cluster struct {
	rt      *rapid.T
	log     *memLog
	drivers []*Driver
	// shownVersions are the newest version numbers that each process has reported, by key; offsets are the
	// newest offsets.
	shownVersions []map[config.Key]int64
	offsets       []logsvc.Offset
	// reference is the fold of every entry ever appended; states are its snapshots by the next offset.
	reference *config.State
	states    map[logsvc.Offset]string
	accepted  map[string]logsvc.Offset
	sent      []json.RawMessage
}

// newCluster returns a cluster of processes at the start of an empty log.
func newCluster(rt *rapid.T, processes int) *cluster {
	w := &cluster{
		rt: rt, log: &memLog{first: 1}, reference: config.NewState(),
		states: map[logsvc.Offset]string{}, accepted: map[string]logsvc.Offset{},
	}
	for range processes {
		w.drivers = append(w.drivers, nil)
		w.shownVersions = append(w.shownVersions, nil)
		w.offsets = append(w.offsets, 0)
	}
	for i := range w.drivers {
		w.restart(i)
	}
	return w
}

// restart replaces a process by one with an empty state.
func (w *cluster) restart(i int) {
	w.drivers[i] = New(w.log, Options{Self: fmt.Sprintf("p%d", i)}, logs.Discard())
	w.shownVersions[i], w.offsets[i] = map[config.Key]int64{}, 0
}

// append adds records to the log and folds them into the reference state. No record may be accepted twice.
func (w *cluster) append(records ...json.RawMessage) {
	_, _ = w.log.Append(context.Background(), config.Stream, records)
	for int(w.reference.Next()) <= len(w.log.records) {
		at := w.reference.Next()
		c, err := w.reference.Step(logsvc.Entry{Offset: at, Data: w.log.records[at-1]})
		if err == nil && !c.Repeated && c.Accepted {
			if old, twice := w.accepted[c.RecordID]; twice {
				w.rt.Fatalf("record %s was accepted at %d and again at %d", c.RecordID, old, at)
			}
			w.accepted[c.RecordID] = at
		}
		w.states[w.reference.Next()] = w.stateOf(w.reference)
	}
}

// stateOf returns a snapshot of the state as text.
func (w *cluster) stateOf(s *config.State) string {
	data, err := s.Snapshot()
	if err != nil {
		w.rt.Fatal(err)
	}
	return string(data)
}

// read makes a process resume from a snapshot if it must and fold at most limit entries of the log.
func (w *cluster) read(i, limit int) {
	ctx := context.Background()
	d := w.drivers[i]
	if err := follow.Resume(ctx, w.log, config.Stream, d); err != nil {
		return
	}
	b, err := w.log.Read(ctx, config.Stream, d.Next(), limit, 0)
	if err != nil {
		w.rt.Fatalf("process %d resumed and still can't read: %v", i, err)
	}
	d.Fold(b)
}

// check compares every process with the reference state at its offset and with its own earlier state.
func (w *cluster) check() {
	for i, d := range w.drivers {
		d.View(func(s *config.State) {
			if s.Next() == 1 {
				return
			}
			if got, want := w.stateOf(s), w.states[s.Next()]; got != want {
				w.rt.Fatalf("process %d at offset %d has\n%s\nthe reference has\n%s", i, s.Next()-1, got, want)
			}
		})
		w.checkMonotonic(i, d)
	}
}

// checkMonotonic checks that neither the offset nor any record's version of a process decreases.
func (w *cluster) checkMonotonic(i int, d *Driver) {
	if d.Offset() < w.offsets[i] {
		w.rt.Fatalf("process %d went back from offset %d to %d", i, w.offsets[i], d.Offset())
	}
	w.offsets[i] = d.Offset()
	d.View(func(s *config.State) {
		for k, old := range w.shownVersions[i] {
			if now := s.Newest(k); now < old {
				w.rt.Fatalf("process %d showed version %d of %s after version %d", i, now, k, old)
			}
		}
		for _, v := range s.All() {
			w.shownVersions[i][v.Key] = v.Number
		}
	})
}

// proposal draws a record with one of two keys. Many expect a replaced version or one not yet reached.
func (w *cluster) proposal(rt *rapid.T) json.RawMessage {
	key := config.Key{Kind: config.KindService, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "name")}
	p := config.Proposal{Key: key, Schema: rapid.IntRange(1, 3).Draw(rt, "schema")}
	p.Expected = max(0, w.reference.Newest(key)+rapid.Int64Range(-1, 2).Draw(rt, "ahead"))
	p.Deleted = rapid.IntRange(0, 4).Draw(rt, "deleted") == 0
	p.Spec = json.RawMessage(rapid.SampledFrom([]string{`{"budget_ms":5}`, `{"budget":"7ms"}`, `{"budget_ms":-1}`}).Draw(rt, "spec"))
	return w.envelope(record.KindProposal, rapid.IntRange(1, 20).Draw(rt, "envelope")/20+1, p)
}

// envelope returns the data of a record.
func (w *cluster) envelope(kind record.Kind, schema int, body any) json.RawMessage {
	env, err := record.New(fmt.Sprintf("r%d", len(w.sent)), kind, schema, "op", body)
	if err != nil {
		w.rt.Fatal(err)
	}
	raw, err := env.Encode()
	if err != nil {
		w.rt.Fatal(err)
	}
	w.sent = append(w.sent, raw)
	return raw
}

// TestOneHistory runs proposals, duplicated and delayed appends, bad entries, restarts, snapshots, expiry and
// exchanges of entries between processes in random order: every process must have the state that folding the
// whole log gives, no record may be accepted twice and no process may go back to an earlier state.
func TestOneHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newCluster(rt, 3)
		anyProcess := func(rt *rapid.T) int { return rapid.IntRange(0, 2).Draw(rt, "process") }
		rt.Repeat(map[string]func(*rapid.T){
			"propose": func(rt *rapid.T) { w.append(w.proposal(rt)) },
			"again": func(rt *rapid.T) {
				if len(w.sent) > 0 {
					w.append(rapid.SampledFrom(w.sent).Draw(rt, "record"))
				}
			},
			"bad": func(rt *rapid.T) {
				bad := []json.RawMessage{json.RawMessage(`"garbled"`), json.RawMessage(`{`), w.envelope("strange", 1, 0)}
				w.append(rapid.SampledFrom(bad).Draw(rt, "bad"))
			},
			"read": func(rt *rapid.T) { w.read(anyProcess(rt), rapid.IntRange(1, 8).Draw(rt, "limit")) },
			"snapshot": func(rt *rapid.T) {
				w.drivers[anyProcess(rt)].writeSnapshot(context.Background())
				w.append()
			},
			"expire": func(rt *rapid.T) {
				w.log.first = logsvc.Offset(rapid.IntRange(int(w.log.first), len(w.log.records)+1).Draw(rt, "first"))
			},
			"restart": func(rt *rapid.T) { w.restart(anyProcess(rt)) },
			"pass": func(rt *rapid.T) {
				from, to := w.drivers[anyProcess(rt)], w.drivers[anyProcess(rt)]
				es := from.Since(logsvc.Offset(rapid.IntRange(0, len(w.log.records)).Draw(rt, "offset")))
				if rapid.Bool().Draw(rt, "shuffled") {
					es = rapid.Permutation(es).Draw(rt, "order")
				}
				to.Offer(es, from.Offset(), from.Ready())
			},
			"": func(*rapid.T) { w.check() },
		})
		w.converge()
	})
}

// converge makes one ready process that is not behind the first kept entry write a snapshot; then all must
// reach the tail. When every process lacks expired entries, none can proceed and nothing is checked.
func (w *cluster) converge() {
	for n, d := range w.drivers {
		w.read(n, len(w.log.records))
		if !d.Ready() || d.Next() < w.log.first {
			continue
		}
		for i := range w.drivers {
			w.drivers[i].Offer(d.Since(w.drivers[i].Offset()), d.Offset(), true)
		}
		d.writeSnapshot(context.Background())
		w.append()
		for i := range w.drivers {
			w.read(i, len(w.log.records))
			if got := w.drivers[i].Next(); got < d.Next() || !w.drivers[i].Ready() {
				w.rt.Fatalf("process %d is at %d, the tail is %d", i, got, len(w.log.records)+1)
			}
		}
		w.check()
		return
	}
}
