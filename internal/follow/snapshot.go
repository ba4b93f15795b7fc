package follow

import (
	"encoding/json"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

// snapshotSchema is the schema version of Snapshot.
const snapshotSchema = 1

// Snapshot is the body of a snapshot record on any stream.
type Snapshot struct {
	// Next is the offset of the first entry that the snapshot does not cover. It is at most the offset
	// of the snapshot record itself.
	Next logsvc.Offset `json:"next"`
	// Schema is the schema version of State, which is specific to the stream.
	Schema int             `json:"schema"`
	State  json.RawMessage `json:"state"`
}

// NewSnapshot returns the encoded record of a snapshot. The id must be determined by the writer and by
// what the snapshot covers.
func NewSnapshot(id, by string, s Snapshot) (json.RawMessage, error) {
	env, err := record.New(id, record.KindSnapshot, snapshotSchema, by, s)
	if err != nil {
		return nil, err
	}
	return env.Encode()
}

// ReadSnapshot returns the snapshot in an entry; false when the entry is not a snapshot or can't be read.
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

// Schedule decides when the writer of a stream appends a snapshot. It reads no clock. The zero value with
// Records, Age and Retry set is ready to use.
//
// Age must be well below the log's retention time, which the stream doesn't show. If entries expire sooner
// than expected, a snapshot in the older half of the retained entries is due to be replaced.
type Schedule struct {
	// Records is the number of entries after the newest snapshot beyond which another is due.
	Records logsvc.Offset
	// Age is the age of the newest snapshot at which another is due.
	Age time.Duration
	// Retry is how long to wait for an appended snapshot to be read before another is due.
	Retry time.Duration

	newest     logsvc.Offset
	seenAt     time.Time
	appendedAt time.Time
	waiting    bool
}

// Seen records that a snapshot was read at an offset.
func (s *Schedule) Seen(now time.Time, at logsvc.Offset) {
	if at > s.newest {
		s.newest, s.seenAt, s.waiting = at, now, false
	}
}

// Due reports whether a snapshot is due, given the oldest offset retained and the next to fold. None is
// due for Retry after a call of Appending, unless Seen has been called for the appended snapshot by then.
func (s *Schedule) Due(now time.Time, first, next logsvc.Offset) bool {
	if s.seenAt.IsZero() {
		s.seenAt = now
	}
	if next <= 1 || s.waiting && now.Sub(s.appendedAt) < s.Retry {
		return false
	}
	half := first + (next-first)/2
	return next-s.newest > s.Records || now.Sub(s.seenAt) >= s.Age || first > 1 && s.newest < half
}

// Appending records that a snapshot is being appended.
func (s *Schedule) Appending(now time.Time) { s.appendedAt, s.waiting = now, true }
