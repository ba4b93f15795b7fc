package config

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
)

const (
	// maxRecentVerdicts is how many verdicts are kept for proposers that retry.
	maxRecentVerdicts = 256
	// maxFaults is how many bad entries are kept for status reports.
	maxFaults = 32
	// maxExpected bounds the version that a proposal may expect.
	maxExpected = 1 << 40
)

// State is the fold of the config stream. Use NewState to make one.
//
// A record that is read again has no effect, however much later: an accepted one expects a version that
// has been replaced, and version numbers only increase. A refused one that expected a version not yet
// reached makes the key skip that number (see head.MaxRefused), so it can't match later either.
type State struct {
	heads map[Key]*head
	view  *View
	// shared means that view was returned to a caller and must be copied before it is changed.
	shared     bool
	recent     ring
	unreadable map[Key]Fault
	faults     []Fault
	next       logsvc.Offset
}

// head is the newest version of a key. It is kept when the record is deleted, so that version numbers only
// increase.
type head struct {
	Version
	// MaxRefused is the largest version that a refused proposal expected before the key had reached it.
	MaxRefused int64 `json:"burned,omitempty"`
	// Readable is the newest version that could be converted; set only when the head itself can't be.
	Readable *Version `json:"readable,omitempty"`
}

// NewState returns the fold of the empty stream.
func NewState() *State {
	return &State{heads: map[Key]*head{}, view: newView(), unreadable: map[Key]Fault{}, recent: newRing(maxRecentVerdicts), next: 1}
}

// Step folds one log entry. An entry before the next offset was folded already and changes nothing; one
// after it gives a *GapError. An entry at the next offset is consumed even when it is bad: a bad entry
// changes nothing, is kept as a fault and gives an error.
func (s *State) Step(e logsvc.Entry) (Change, error) {
	if e.Offset < s.next {
		return Change{Repeated: true}, nil
	}
	if e.Offset > s.next {
		return Change{}, &GapError{Next: s.next, Got: e.Offset}
	}
	s.next++
	env, err := record.Decode(e.Data)
	if err != nil {
		return Change{}, s.addFault(Fault{Offset: e.Offset, Problem: err.Error()})
	}
	if env.Kind == record.KindSnapshot {
		return Change{Repeated: true}, nil
	}
	if env.Kind != record.KindProposal || env.Schema != ProposalSchema {
		problem := fmt.Sprintf("record %s has unknown kind %q with version %d", env.ID, env.Kind, env.Schema)
		return Change{}, s.addFault(Fault{Offset: e.Offset, Problem: problem})
	}
	var p Proposal
	if err := json.Unmarshal(env.Body, &p); err != nil {
		return Change{}, s.addFault(Fault{Offset: e.Offset, Problem: fmt.Sprintf("record %s: %v", env.ID, err)})
	}
	return s.applyProposal(env, p, e.Offset), nil
}

// applyProposal decides on a proposal and applies it when it is accepted.
func (s *State) applyProposal(env record.Envelope, p Proposal, at logsvc.Offset) Change {
	if v, ok := s.Verdict(env.ID); ok {
		return Change{Verdict: v, By: env.By, Proposal: p, Repeated: true}
	}
	c := Change{By: env.By, Proposal: p}
	c.Verdict = Verdict{RecordID: env.ID, Key: p.Key, Offset: at}
	h := s.heads[p.Key]
	if h != nil {
		c.Current = h.Number
		if !h.Deleted {
			before := h.Version
			c.Before = &before
		}
	}
	c.Reason = s.refusalReason(h, p)
	if c.Reason == "" {
		s.accept(h, Version{Proposal: p, Offset: at, By: env.By, RecordID: env.ID})
		c.Accepted, c.Current = true, s.heads[p.Key].Number
	}
	s.recent.add(c.Verdict)
	return c
}

// refusalReason returns why a proposal is refused; empty when it is accepted. A proposal that expects a
// version not yet reached makes its key skip that version.
func (s *State) refusalReason(h *head, p Proposal) string {
	if p.Kind == "" || p.Name == "" {
		return "kind and name must not be empty"
	}
	if p.Expected < 0 || p.Expected > maxExpected {
		return fmt.Sprintf("expected version %d is out of range", p.Expected)
	}
	if h == nil {
		h = &head{}
	}
	if p.Expected > h.Number {
		s.skipVersion(p)
		return fmt.Sprintf("expected version %d has never been in force, the newest is %d", p.Expected, h.Number)
	}
	if p.Expected < h.Number {
		return conflictReason(p, h)
	}
	if h.Number > 0 && !h.Deleted && p.Workspace != h.Workspace {
		return fmt.Sprintf("the record belongs to workspace %q", h.Workspace)
	}
	return ""
}

// skipVersion makes the key of a refused proposal skip the version that the proposal expected.
func (s *State) skipVersion(p Proposal) {
	h := s.heads[p.Key]
	if h == nil {
		h = &head{Version: Version{Proposal: Proposal{Key: p.Key, Deleted: true}}}
		s.heads[p.Key] = h
	}
	h.MaxRefused = max(h.MaxRefused, p.Expected)
}

// accept makes v the newest version of its key. It keeps the replaced version as Readable unless that one
// can't be converted or was a deletion.
func (s *State) accept(h *head, v Version) {
	if h == nil {
		h = &head{}
		s.heads[v.Key] = h
	}
	v.Number = max(h.Number, h.MaxRefused) + 1
	if _, unreadable := s.unreadable[v.Key]; h.Number > 0 && !unreadable && !h.Deleted {
		old := h.Version
		h.Readable = &old
	}
	h.Version = v
	s.convert(h)
}

// convert applies the head of a key to the view. When it can't be converted, the newest readable version
// stays in effect and the record is a fault until a newer version can be converted.
func (s *State) convert(h *head) {
	delete(s.unreadable, h.Key)
	if h.Deleted {
		h.Readable = nil
		s.mutableView().remove(h.Key)
		return
	}
	if problem := s.convertVersion(h.Version); problem != "" {
		s.unreadable[h.Key] = Fault{Offset: h.Offset, Record: h.Key.String(), Problem: problem}
		if h.Readable != nil {
			s.convertVersion(*h.Readable)
		}
		return
	}
	h.Readable = nil
}

// convertVersion converts one version into the view; it returns the problem when it can't, else "".
func (s *State) convertVersion(v Version) string {
	if l := Check(v.Proposal); len(l) > 0 {
		return l.Err().Error()
	}
	if err := converters[schemaID{v.Kind, v.Schema}](s.mutableView(), v.Name, v); err != nil {
		return err.Error()
	}
	return ""
}

// mutableView returns the view for writing, copied first if it is shared.
func (s *State) mutableView() *View {
	if s.shared {
		s.view, s.shared = s.view.clone(), false
	}
	return s.view
}

// addFault records a bad entry, drops the oldest ones beyond maxFaults and returns the fault as an error.
func (s *State) addFault(f Fault) error {
	s.faults = append(s.faults, f)
	if over := len(s.faults) - maxFaults; over > 0 {
		s.faults = append([]Fault(nil), s.faults[over:]...)
	}
	return fmt.Errorf("config: %s", f)
}

// View returns the effective configuration in its internal form.
func (s *State) View() *View {
	if s.view.Offset != s.next-1 {
		s.mutableView().Offset = s.next - 1
	}
	s.shared = true
	return s.view
}

// Get returns the newest version of a key; false for a deleted or unknown record.
func (s *State) Get(k Key) (Version, bool) {
	h := s.heads[k]
	if h == nil || h.Deleted {
		return Version{}, false
	}
	return h.Version, true
}

// Newest returns the newest version number of a key, also of a deleted record; 0 for none.
func (s *State) Newest(k Key) int64 {
	if h := s.heads[k]; h != nil {
		return h.Number
	}
	return 0
}

// Verdict returns the verdict on a record id, if it is among the newest maxRecentVerdicts.
func (s *State) Verdict(id string) (Verdict, bool) {
	if v, ok := s.recent.find(id); ok {
		return v, true
	}
	return Verdict{}, false
}

// All returns the newest version of every record that is not deleted, in no particular order.
func (s *State) All() []Version {
	out := make([]Version, 0, len(s.heads))
	for _, h := range s.heads {
		if !h.Deleted {
			out = append(out, h.Version)
		}
	}
	return out
}

// Faults returns the newest bad entries and the records that can't be converted.
func (s *State) Faults() []Fault {
	out := append([]Fault(nil), s.faults...)
	for _, f := range s.unreadable {
		out = append(out, f)
	}
	return out
}

// Next returns the offset of the next entry to fold.
func (s *State) Next() logsvc.Offset { return s.next }

// EarlyVerdict returns the verdict on a proposal without folding it, when the verdict is already certain: the
// record was decided before, or it expects a version below the newest and can't be accepted.
func (s *State) EarlyVerdict(id string, p Proposal) (Verdict, bool) {
	if v, ok := s.Verdict(id); ok {
		return v, true
	}
	h := s.heads[p.Key]
	if h == nil {
		h = &head{}
	}
	v := Verdict{RecordID: id, Key: p.Key, Current: h.Number}
	switch {
	case h.RecordID == id && id != "":
		v.Accepted, v.Offset = true, h.Offset
		return v, true
	case p.Expected < h.Number:
		v.Reason = conflictReason(p, h)
		return v, true
	}
	return v, false
}

// conflictReason returns the reason for refusing a proposal that expects a replaced version.
func conflictReason(p Proposal, h *head) string {
	return fmt.Sprintf("expected version %d, but version %d by %s at offset %d is in force",
		p.Expected, h.Number, h.By, h.Offset)
}

// ChangedSince returns the newest versions of the records that changed after an offset, including deleted
// ones, in log order.
func (s *State) ChangedSince(offset logsvc.Offset) []Version {
	var out []Version
	for _, h := range s.heads {
		if h.Offset > offset && h.Number > 0 {
			out = append(out, h.Version)
		}
	}
	slices.SortFunc(out, func(a, b Version) int { return cmp.Compare(a.Offset, b.Offset) })
	return out
}
