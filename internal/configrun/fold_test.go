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

// memLog is a log in memory that forgets its oldest entries.
type memLog struct {
	all   []json.RawMessage
	first logsvc.Offset
}

// Append implements logsvc.Appender.
func (m *memLog) Append(_ context.Context, _ string, records []json.RawMessage) (logsvc.Offset, error) {
	at := logsvc.Offset(len(m.all) + 1)
	m.all = append(m.all, records...)
	return at, nil
}

// Read implements logsvc.Reader.
func (m *memLog) Read(_ context.Context, stream string, from logsvc.Offset, limit int, _ time.Duration) (logsvc.Batch, error) {
	if from < m.first {
		return logsvc.Batch{}, &logsvc.ExpiredError{Stream: stream, From: from, First: m.first}
	}
	b := logsvc.Batch{First: m.first, Next: from, Tail: logsvc.Offset(len(m.all) + 1)}
	for b.Next < b.Tail && len(b.Entries) < limit {
		b.Entries = append(b.Entries, logsvc.Entry{Offset: b.Next, Data: m.all[b.Next-1]})
		b.Next++
	}
	return b, nil
}

// world is a log, the processes that read it and the history they must agree on.
type world struct {
	rt      *rapid.T
	log     *memLog
	drivers []*Driver
	// shown are the version numbers each process has shown, by key, and offsets how far each was.
	shown   []map[config.Key]int64
	offsets []logsvc.Offset
	// truth folds every entry ever appended; states are its snapshots by the next offset.
	truth    *config.State
	states   map[logsvc.Offset]string
	accepted map[string]logsvc.Offset
	sent     []json.RawMessage
}

// newWorld returns a world of processes at the start of an empty log.
func newWorld(rt *rapid.T, processes int) *world {
	w := &world{
		rt: rt, log: &memLog{first: 1}, truth: config.NewState(),
		states: map[logsvc.Offset]string{}, accepted: map[string]logsvc.Offset{},
	}
	for range processes {
		w.drivers = append(w.drivers, nil)
		w.shown = append(w.shown, nil)
		w.offsets = append(w.offsets, 0)
	}
	for i := range w.drivers {
		w.restart(i)
	}
	return w
}

// restart replaces a process by one that knows nothing.
func (w *world) restart(i int) {
	w.drivers[i] = New(w.log, Options{Self: fmt.Sprintf("p%d", i)}, logs.Discard())
	w.shown[i], w.offsets[i] = map[config.Key]int64{}, 0
}

// append adds records to the log and to the history.
func (w *world) append(records ...json.RawMessage) {
	_, _ = w.log.Append(context.Background(), config.Stream, records)
	for int(w.truth.Next()) <= len(w.log.all) {
		at := w.truth.Next()
		c, err := w.truth.Step(logsvc.Entry{Offset: at, Data: w.log.all[at-1]})
		if err == nil && !c.Repeated && c.Accepted {
			if old, twice := w.accepted[c.RecordID]; twice {
				w.rt.Fatalf("record %s was accepted at %d and again at %d", c.RecordID, old, at)
			}
			w.accepted[c.RecordID] = at
		}
		w.states[w.truth.Next()] = w.stateOf(w.truth)
	}
}

// stateOf returns the whole state as text.
func (w *world) stateOf(s *config.State) string {
	data, err := s.Snapshot()
	if err != nil {
		w.rt.Fatal(err)
	}
	return string(data)
}

// read lets a process read some entries as it would from the log.
func (w *world) read(i, limit int) {
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

// check compares every process with the history at its offset and with what it showed before.
func (w *world) check() {
	for i, d := range w.drivers {
		d.View(func(s *config.State) {
			if s.Next() == 1 {
				return
			}
			if got, want := w.stateOf(s), w.states[s.Next()]; got != want {
				w.rt.Fatalf("process %d at offset %d has\n%s\nthe history has\n%s", i, s.Next()-1, got, want)
			}
		})
		w.checkShown(i, d)
	}
}

// checkShown checks that no record of a process goes back to a lower version.
func (w *world) checkShown(i int, d *Driver) {
	if d.Offset() < w.offsets[i] {
		w.rt.Fatalf("process %d went back from offset %d to %d", i, w.offsets[i], d.Offset())
	}
	w.offsets[i] = d.Offset()
	d.View(func(s *config.State) {
		for k, old := range w.shown[i] {
			if now := s.Newest(k); now < old {
				w.rt.Fatalf("process %d showed version %d of %s after version %d", i, now, k, old)
			}
		}
		for _, v := range s.All() {
			w.shown[i][v.Key] = v.Number
		}
	})
}

// proposal draws a record of one of a few operators and keys. Many are beaten or expect what never was.
func (w *world) proposal(rt *rapid.T) json.RawMessage {
	key := config.Key{Kind: config.KindService, Name: rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "name")}
	p := config.Proposal{Key: key, Schema: rapid.IntRange(1, 3).Draw(rt, "schema")}
	p.Expected = max(0, w.truth.Newest(key)+rapid.Int64Range(-1, 2).Draw(rt, "ahead"))
	p.Deleted = rapid.IntRange(0, 4).Draw(rt, "deleted") == 0
	p.Spec = json.RawMessage(rapid.SampledFrom([]string{`{"budget_ms":5}`, `{"budget":"7ms"}`, `{"budget_ms":-1}`}).Draw(rt, "spec"))
	return w.envelope(record.KindProposal, rapid.IntRange(1, 20).Draw(rt, "envelope")/20+1, p)
}

// envelope returns the data of a record.
func (w *world) envelope(kind record.Kind, schema int, body any) json.RawMessage {
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

// TestOneHistory draws operators, duplicated and delayed appends, bad entries, restarts, snapshots,
// expiry and entries passed between processes in any order: every process has the state that folding
// the whole history gives, no record is accepted twice and no process goes back.
func TestOneHistory(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, 3)
		some := func(rt *rapid.T) int { return rapid.IntRange(0, 2).Draw(rt, "process") }
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
			"read": func(rt *rapid.T) { w.read(some(rt), rapid.IntRange(1, 8).Draw(rt, "limit")) },
			"snapshot": func(rt *rapid.T) {
				w.drivers[some(rt)].writeSnapshot(context.Background())
				w.append()
			},
			"expire": func(rt *rapid.T) {
				w.log.first = logsvc.Offset(rapid.IntRange(int(w.log.first), len(w.log.all)+1).Draw(rt, "first"))
			},
			"restart": func(rt *rapid.T) { w.restart(some(rt)) },
			"pass": func(rt *rapid.T) {
				from, to := w.drivers[some(rt)], w.drivers[some(rt)]
				es := from.Since(logsvc.Offset(rapid.IntRange(0, len(w.log.all)).Draw(rt, "offset")))
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

// converge lets one process that can go on write a snapshot; then all must reach the tail. When no
// process has folded the entries that expired, none may go on.
func (w *world) converge() {
	for n, d := range w.drivers {
		w.read(n, len(w.log.all))
		if !d.Ready() || d.Next() < w.log.first {
			continue
		}
		for i := range w.drivers {
			w.drivers[i].Offer(d.Since(w.drivers[i].Offset()), d.Offset(), true)
		}
		d.writeSnapshot(context.Background())
		w.append()
		for i := range w.drivers {
			w.read(i, len(w.log.all))
			if got := w.drivers[i].Next(); got < d.Next() || !w.drivers[i].Ready() {
				w.rt.Fatalf("process %d is at %d, the tail is %d", i, got, len(w.log.all)+1)
			}
		}
		w.check()
		return
	}
}
