package follow

import (
	"encoding/json"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// snapshotSchema is the version of the shape of Snapshot.
const snapshotSchema = 1

// Snapshot is the body of a snapshot record on any stream.
type Snapshot struct {
	// Next is the offset to fold next after the snapshot: it covers all entries before Next. It is at
	// most the offset of the snapshot record itself.
	Next logsvc.Offset `json:"next"`
	// Schema is the version of the shape of State, which belongs to the stream.
	Schema int             `json:"schema"`
	State  json.RawMessage `json:"state"`
}

// NewSnapshot returns the record of a snapshot. The id is fixed by who wrote it and what it covers.
func NewSnapshot(id, by string, s Snapshot) (json.RawMessage, error) {
	env, err := record.New(id, record.KindSnapshot, snapshotSchema, by, s)
	if err != nil {
		return nil, err
	}
	return env.Encode()
}

// ReadSnapshot returns the snapshot in an entry; false when the entry is no snapshot that can be read.
func ReadSnapshot(e logsvc.Entry) (Snapshot, bool) {
	env, err := record.Decode(e.Data)
	if err != nil || env.Kind != record.KindSnapshot || env.Schema != snapshotSchema {
		return Snapshot{}, false
	}
	var s Snapshot
	if json.Unmarshal(env.Body, &s) != nil || s.Next < 1 || len(s.State) == 0 {
		return Snapshot{}, false
	}
	return s, true
}

// Schedule decides when the writer of a stream appends a snapshot. It has no clock. The zero value
// with its bounds set is ready to use.
//
// The age bound must be well inside the retention time, since nothing on the stream tells that time.
// Retention that moves faster is noticed by what is left of the stream: a snapshot in its older half
// is due to be replaced.
type Schedule struct {
	// Records is how many entries may follow the newest snapshot.
	Records logsvc.Offset
	// Age is how long the newest snapshot counts.
	Age time.Duration
	// Retry is how long to wait for an appended snapshot to be read.
	Retry time.Duration

	at      logsvc.Offset
	seen    time.Time
	asked   time.Time
	waiting bool
}

// Seen takes the newest snapshot that was read and the offset it stands at.
func (s *Schedule) Seen(now time.Time, at logsvc.Offset) {
	if at > s.at {
		s.at, s.seen, s.waiting = at, now, false
	}
}

// Due reports whether a snapshot is due, given the oldest offset kept and the next to fold. It is not
// while one that was Asked for may still be read.
func (s *Schedule) Due(now time.Time, first, next logsvc.Offset) bool {
	if s.seen.IsZero() {
		s.seen = now
	}
	if next <= 1 || s.waiting && now.Sub(s.asked) < s.Retry {
		return false
	}
	half := first + (next-first)/2
	return next-s.at > s.Records || now.Sub(s.seen) >= s.Age || first > 1 && s.at < half
}

// Asked notes that a snapshot is being appended.
func (s *Schedule) Asked(now time.Time) { s.asked, s.waiting = now, true }
