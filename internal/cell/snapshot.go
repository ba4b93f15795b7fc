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
	// ErrGap reports that entries of the stream are missing.
	ErrGap = errors.New("entries are missing")
	// ErrAllExpired reports that nothing at all is left of a stream that once had entries.
	ErrAllExpired = errors.New("all entries have expired")
)

// maxSnapshot bounds the bytes of a decompressed snapshot.
const maxSnapshot = 64 << 20

// Snapshot is the body of a snapshot record, in the format of package follow: the fold of all entries
// before Next. A reader that starts from it still has to fold the entries from Next to the snapshot's own
// offset. Since folding is the same for every reader, it doesn't matter who wrote the snapshot or under
// which epoch.
type Snapshot struct {
	Next logsvc.Offset `json:"next"`
	// Schema is the schema version of State, which is compressed JSON of type snapshotData.
	Schema int    `json:"schema"`
	State  []byte `json:"state"`
}

// snapshotData is the content of Snapshot.State.
type snapshotData struct {
	Lease lease.Snapshot `json:"lease"`
	Epoch logsvc.Offset  `json:"epoch"`
	Batch int64          `json:"batch"`
	Tasks []*Task        `json:"tasks"`
}

// snapshot returns a snapshot record of the fold.
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

// decodeSnapshot returns the fold that a snapshot holds, and the lease's part of it.
func decodeSnapshot(now time.Time, snap Snapshot) (state, lease.Snapshot, error) {
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
	s.next, s.epoch, s.batch, s.snapshotOffset = snap.Next, d.Epoch, d.Batch, snap.Next
	for _, t := range d.Tasks {
		s.tasks[t.ID] = t
		s.index(t)
		if t.Done() {
			s.done = append(s.done, doneTask{t.ID, now})
		}
	}
	return s, d.Lease, nil
}

// Restore replaces the fold by a snapshot when that covers more entries.
func (c *Core) Restore(now time.Time, snap Snapshot) error {
	if snap.Next <= c.state.next {
		return nil
	}
	s, l, err := decodeSnapshot(now, snap)
	if err != nil {
		return err
	}
	c.replaceFold(now, s, l)
	return nil
}

// streamExpired starts from an empty fold when nothing is left of the stream; nothing is known of the
// earlier tasks.
func (c *Core) streamExpired(now time.Time, tail logsvc.Offset) {
	if tail <= c.state.next {
		return
	}
	c.fault(ErrAllExpired)
	s := newState()
	s.next = tail
	c.replaceFold(now, s, lease.Snapshot{})
	c.ready = true
}

// replaceFold continues from another fold and drops the owner state of the old one.
func (c *Core) replaceFold(now time.Time, s state, l lease.Snapshot) {
	c.state, c.owner, c.ready = s, nil, false
	c.lease.Restore(now, l)
}
