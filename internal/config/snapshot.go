package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// SnapshotSchema is the schema version of a snapshot's state.
const SnapshotSchema = 1

// snapshot is the state at one offset in the form that is written to the log. It includes deleted records.
type snapshot struct {
	Heads  []*head   `json:"heads"`
	Recent []Verdict `json:"recent"`
}

// Snapshot returns the state as JSON; equal states give equal bytes.
func (s *State) Snapshot() (json.RawMessage, error) {
	out := snapshot{Recent: s.recent.all()}
	for _, h := range s.heads {
		out.Heads = append(out.Heads, h)
	}
	slices.SortFunc(out.Heads, func(a, b *head) int { return cmp.Compare(a.Key.String(), b.Key.String()) })
	data, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// Restore replaces the state by a snapshot that covers all entries before next. It ignores a snapshot that
// covers no more than the state does, so the state never goes back to an earlier offset.
func (s *State) Restore(next logsvc.Offset, data json.RawMessage) error {
	if next <= s.next {
		return nil
	}
	var in snapshot
	if err := json.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	fresh := NewState()
	fresh.next = next
	for _, h := range in.Heads {
		if h == nil || h.Kind == "" || h.Name == "" {
			return fmt.Errorf("decode snapshot: a record has no kind or no name")
		}
		fresh.heads[h.Key] = h
		fresh.convert(h)
	}
	for _, v := range in.Recent {
		fresh.recent.add(v)
	}
	fresh.faults = s.faults
	*s = *fresh
	return nil
}
