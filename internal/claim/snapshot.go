package claim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// Snapshot is the body of a snapshot record: one part of all the keys known after the entries before
// Next. Answers are left out.
type Snapshot struct {
	Next  logsvc.Offset `json:"next"`
	Part  int           `json:"part"`
	Parts int           `json:"parts"`
	Keys  []Kept        `json:"keys"`
	// Released holds the claims that were given up; a copy of one may still land.
	Released []string `json:"released,omitempty"`
}

// Kept is one key in a snapshot.
type Kept struct {
	Key         Key               `json:"k"`
	ID          string            `json:"c"`
	Owner       string            `json:"o"`
	Fingerprint string            `json:"f"`
	Outcome     targetapi.Outcome `json:"u,omitempty"`
	// AgeMS is how long ago the claim was seen.
	AgeMS int64 `json:"a"`
}

// partKeys is how many keys one record of a snapshot carries.
const partKeys = 1000

// Snapshot returns the parts of a snapshot, or nil when keys may be missing.
func (f *Fold) Snapshot(now time.Time, next logsvc.Offset) []Snapshot {
	if !f.whole {
		return nil
	}
	var keys []Kept
	for k, s := range f.keys {
		keys = append(keys, Kept{k, s.ID, s.Owner, s.Fingerprint, s.Outcome, now.Sub(s.seen).Milliseconds()})
	}
	slices.SortFunc(keys, func(a, b Kept) int { return cmp.Compare(a.Key, b.Key) })
	parts := max(1, (len(keys)+partKeys-1)/partKeys)
	out := make([]Snapshot, parts)
	for i := range out {
		out[i] = Snapshot{Next: next, Part: i, Parts: parts, Keys: keys[i*partKeys : min((i+1)*partKeys, len(keys))]}
	}
	out[0].Released = slices.Sorted(maps.Keys(f.released))
	return out
}

// Restore returns the fold of the entries before a snapshot's Next, made from all its parts. The reader
// goes on at Next: what it folded without knowing what came before may be wrong.
func (f *Fold) Restore(now time.Time, parts []Snapshot) *Fold {
	out := NewFold()
	for id := range f.verdicts {
		out.verdicts[id] = Void
	}
	for _, p := range parts {
		for _, k := range p.Keys {
			c := Claim{Key: k.Key, ID: k.ID, Owner: k.Owner, Fingerprint: k.Fingerprint}
			seen := now.Add(-time.Duration(k.AgeMS) * time.Millisecond)
			out.keys[k.Key] = &State{Claim: c, Outcome: k.Outcome, seen: seen}
		}
		for _, id := range p.Released {
			out.released[id] = now
		}
	}
	return out
}

// Whole reports whether no claim can be missing.
func (f *Fold) Whole() bool { return f.whole }
