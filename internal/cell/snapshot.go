package cell

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// maxSnapshot bounds the bytes of a decompressed snapshot.
const maxSnapshot = 64 << 20

// Snapshot is the body of a snapshot record: the fold of all entries before Next. The entries from
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

// restore returns the fold that a snapshot holds, and gives the lease its part.
func restore(now time.Time, l *lease.Core, snap Snapshot) (state, error) {
	z, err := gzip.NewReader(bytes.NewReader(snap.State))
	if err != nil {
		return state{}, fmt.Errorf("decompress snapshot: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(z, maxSnapshot))
	if err != nil {
		return state{}, fmt.Errorf("decompress snapshot: %w", err)
	}
	var d snapshotData
	if err := json.Unmarshal(data, &d); err != nil {
		return state{}, fmt.Errorf("decode snapshot: %w", err)
	}
	s := newState()
	s.next, s.epoch, s.batch = snap.Next, d.Epoch, d.Batch
	for _, t := range d.Tasks {
		s.tasks[t.ID] = t
		s.index(t)
		if t.Done() {
			s.done = append(s.done, doneTask{t.ID, now})
		}
	}
	l.Restore(now, d.Lease)
	return s, nil
}

// asSnapshot decodes an entry that is a snapshot.
func asSnapshot(e logsvc.Entry) (Snapshot, bool) {
	env, err := record.Decode(e.Data)
	if err != nil || env.Kind != record.KindSnapshot || env.Schema > SchemaVersion {
		return Snapshot{}, false
	}
	var s Snapshot
	if json.Unmarshal(env.Body, &s) != nil || s.Schema > SchemaVersion || s.Next < 1 || s.Next > e.Offset {
		return Snapshot{}, false
	}
	return s, true
}
