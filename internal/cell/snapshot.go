package cell

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

var (
	// ErrGap says that entries were left out.
	ErrGap = errors.New("entries are missing")
	// ErrAllExpired says that nothing at all is left of a stream that once had entries.
	ErrAllExpired = errors.New("all entries have expired")
)

// maxSnapshot bounds the bytes of a decompressed snapshot.
const maxSnapshot = 64 << 20

// Snapshot is the body of a snapshot record, in the shape of package follow: the fold of all entries before Next. The entries from
// Next to the snapshot's own offset still have to be folded by whoever starts from it. Since folding
// is the same for every reader, it doesn't matter who wrote the snapshot or under which epoch.
type Snapshot struct {
	Next logsvc.Offset `json:"next"`
	// Schema is the version of the shape of State: compressed JSON of type snapshotData.
	Schema int    `json:"schema"`
	State  []byte `json:"state"`
}

// snapshotData is what a snapshot carries.
type snapshotData struct {
	Lease lease.Snapshot `json:"lease"`
	Epoch logsvc.Offset  `json:"epoch"`
	Batch int64          `json:"batch"`
	Tasks []*Task        `json:"tasks"`
}

// snapshot returns the record of the fold.
func (s *state) snapshot(by string, l *lease.Core) (record.Envelope, error) {
	d := snapshotData{Lease: l.Snapshot(), Epoch: s.epoch, Batch: s.batch}
	for _, t := range s.tasks {
		d.Tasks = append(d.Tasks, t)
	}
	slices.SortFunc(d.Tasks, func(a, b *Task) int { return cmp.Or(cmp.Compare(a.Accepted, b.Accepted), cmp.Compare(a.ID, b.ID)) })
	var buf bytes.Buffer
	z := gzip.NewWriter(&buf)
	if err := json.NewEncoder(z).Encode(d); err != nil {
		return record.Envelope{}, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := z.Close(); err != nil {
		return record.Envelope{}, fmt.Errorf("compress snapshot: %w", err)
	}
	return record.New(record.NewID(), record.KindSnapshot, SchemaVersion, by, Snapshot{Next: s.next, Schema: SchemaVersion, State: buf.Bytes()})
}

// restored returns the fold that a snapshot holds, and the lease's part of it.
func restored(now time.Time, snap Snapshot) (state, lease.Snapshot, error) {
	if snap.Schema > SchemaVersion {
		return state{}, lease.Snapshot{}, fmt.Errorf("snapshot has schema %d, newest known is %d", snap.Schema, SchemaVersion)
	}
	z, err := gzip.NewReader(bytes.NewReader(snap.State))
	if err != nil {
		return state{}, lease.Snapshot{}, fmt.Errorf("decompress snapshot: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(z, maxSnapshot))
	if err != nil {
		return state{}, lease.Snapshot{}, fmt.Errorf("decompress snapshot: %w", err)
	}
	var d snapshotData
	if err := json.Unmarshal(data, &d); err != nil {
		return state{}, lease.Snapshot{}, fmt.Errorf("decode snapshot: %w", err)
	}
	s := newState()
	s.next, s.epoch, s.batch, s.snapshotAt = snap.Next, d.Epoch, d.Batch, snap.Next
	for _, t := range d.Tasks {
		s.tasks[t.ID] = t
		s.index(t)
		if t.Done() {
			s.done = append(s.done, doneTask{t.ID, now})
		}
	}
	return s, d.Lease, nil
}

// Restore replaces the fold by a snapshot when that covers more.
func (c *Core) Restore(now time.Time, snap Snapshot) error {
	if snap.Next <= c.state.next {
		return nil
	}
	s, l, err := restored(now, snap)
	if err != nil {
		return err
	}
	c.begin(now, s, l)
	return nil
}

// lost starts anew where nothing is left of the stream: nothing can be told about what was there.
func (c *Core) lost(now time.Time, tail logsvc.Offset) {
	if tail <= c.state.next {
		return
	}
	c.fault(ErrAllExpired)
	s := newState()
	s.next = tail
	c.begin(now, s, lease.Snapshot{})
	c.ready = true
}

// begin goes on from another fold. What was under way under the old one is given up.
func (c *Core) begin(now time.Time, s state, l lease.Snapshot) {
	c.state, c.own, c.ready = s, nil, false
	c.lease.Restore(now, l)
}
