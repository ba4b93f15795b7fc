package claim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// Snapshot is the body of a snapshot record: one part of the keys in the fold of all entries before Next.
// Answers are left out.
type Snapshot struct {
	Next  logsvc.Offset `json:"next"`
	Part  int           `json:"part"`
	Parts int           `json:"parts"`
	Keys  []SnapshotKey `json:"keys"`
	// Released holds the released claims, since a duplicate of one may still be appended; only the first part
	// has it.
	Released []string `json:"released,omitempty"`
}

// SnapshotKey is the state of one key in a snapshot.
type SnapshotKey struct {
	Key         Key               `json:"k"`
	ID          string            `json:"c"`
	Owner       string            `json:"o"`
	Fingerprint string            `json:"f"`
	Outcome     targetapi.Outcome `json:"u,omitempty"`
	// AgeMS is how many milliseconds before the snapshot the claim was folded.
	AgeMS int64 `json:"a"`
}

// partKeys is the largest number of keys in one record of a snapshot.
const partKeys = 1000

// Snapshot returns the parts of a snapshot, or nil if keys may be missing.
func (f *Fold) Snapshot(now time.Time, next logsvc.Offset) []Snapshot {
	if !f.complete {
		return nil
	}
	var keys []SnapshotKey
	for k, s := range f.keys {
		keys = append(keys, SnapshotKey{k, s.ID, s.Owner, s.Fingerprint, s.Outcome, now.Sub(s.foldedAt).Milliseconds()})
	}
	slices.SortFunc(keys, func(a, b SnapshotKey) int { return cmp.Compare(a.Key, b.Key) })
	parts := max(1, (len(keys)+partKeys-1)/partKeys)
	out := make([]Snapshot, parts)
	for i := range out {
		out[i] = Snapshot{Next: next, Part: i, Parts: parts, Keys: keys[i*partKeys : min((i+1)*partKeys, len(keys))]}
	}
	out[0].Released = slices.Sorted(maps.Keys(f.released))
	return out
}

// Restore returns the fold of the entries before a snapshot's Next, made from all its parts. The reader must
// continue at Next, since what it folded without the earlier entries may be wrong.
func (f *Fold) Restore(now time.Time, parts []Snapshot) *Fold {
	out := NewFold()
	for id := range f.verdicts {
		out.verdicts[id] = Void
	}
	for _, p := range parts {
		for _, k := range p.Keys {
			c := Claim{Key: k.Key, ID: k.ID, Owner: k.Owner, Fingerprint: k.Fingerprint}
			foldedAt := now.Add(-time.Duration(k.AgeMS) * time.Millisecond)
			out.keys[k.Key] = &State{Claim: c, Outcome: k.Outcome, foldedAt: foldedAt}
		}
		for _, id := range p.Released {
			out.released[id] = now
		}
	}
	return out
}

// Complete reports whether no claim can be missing.
func (f *Fold) Complete() bool { return f.complete }
