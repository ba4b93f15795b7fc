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
	// recentVerdicts is how many verdicts are kept for proposers that ask again.
	recentVerdicts = 256
	// keptFaults is how many bad entries are kept for the status.
	keptFaults = 32
	// maxExpected bounds the version a proposal may expect.
	maxExpected = 1 << 40
)

// State is the fold of the config stream. Use NewState to make one.
//
// A record seen again has no effect, however much later: an accepted one expects a version that has
// been replaced, and numbers only grow. A refused one that expected a version not yet reached makes
// the key skip that number (see head.Burned), so it can't match later either.
type State struct {
	heads map[Key]*head
	view  *View
	// shared says that view was given away and must be copied before it is changed.
	shared bool
	recent ring
	bad    map[Key]Fault
	faults []Fault
	next   logsvc.Offset
}

// head is the newest version of a key. It stays when the record is deleted, so that numbers only grow.
type head struct {
	Version
	// Burned is the largest version that a refused proposal expected.
	Burned int64 `json:"burned,omitempty"`
	// Readable is the newest version that could be converted when the head itself can't.
	Readable *Version `json:"readable,omitempty"`
}

// NewState returns the fold of the empty stream.
func NewState() *State {
	return &State{heads: map[Key]*head{}, view: newView(), bad: map[Key]Fault{}, recent: newRing(recentVerdicts), next: 1}
}

// Step folds one log entry. An entry before the next offset was folded already and changes nothing,
// one after it is a *GapError. Any other entry is done with, also when it is bad: a bad one changes
// nothing and is kept as a fault.
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
		return Change{}, s.fault(Fault{Offset: e.Offset, Problem: err.Error()})
	}
	if env.Kind == record.KindSnapshot {
		return Change{Repeated: true}, nil
	}
	if env.Kind != record.KindProposal || env.Schema != ProposalSchema {
		problem := fmt.Sprintf("record %s has unknown kind %q with version %d", env.ID, env.Kind, env.Schema)
		return Change{}, s.fault(Fault{Offset: e.Offset, Problem: problem})
	}
	var p Proposal
	if err := json.Unmarshal(env.Body, &p); err != nil {
		return Change{}, s.fault(Fault{Offset: e.Offset, Problem: fmt.Sprintf("record %s: %v", env.ID, err)})
	}
	return s.propose(env, p, e.Offset), nil
}

// propose judges a proposal and folds it when it wins.
func (s *State) propose(env record.Envelope, p Proposal, at logsvc.Offset) Change {
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
	c.Reason = s.judge(h, p)
	if c.Reason == "" {
		s.accept(h, Version{Proposal: p, Offset: at, By: env.By, RecordID: env.ID})
		c.Accepted, c.Current = true, s.heads[p.Key].Number
	}
	s.recent.add(c.Verdict)
	return c
}

// judge returns why a proposal is refused; empty when it wins.
func (s *State) judge(h *head, p Proposal) string {
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
		s.burn(p)
		return fmt.Sprintf("expected version %d has never been in force, the newest is %d", p.Expected, h.Number)
	}
	if p.Expected < h.Number {
		return beaten(p, h)
	}
	if h.Number > 0 && !h.Deleted && p.Workspace != h.Workspace {
		return fmt.Sprintf("the record belongs to workspace %q", h.Workspace)
	}
	return ""
}

// burn makes a key skip the version that a refused proposal expected.
func (s *State) burn(p Proposal) {
	h := s.heads[p.Key]
	if h == nil {
		h = &head{Version: Version{Proposal: Proposal{Key: p.Key, Deleted: true}}}
		s.heads[p.Key] = h
	}
	h.Burned = max(h.Burned, p.Expected)
}

// accept makes a version the newest of its key.
func (s *State) accept(h *head, v Version) {
	if h == nil {
		h = &head{}
		s.heads[v.Key] = h
	}
	v.Number = max(h.Number, h.Burned) + 1
	if _, unread := s.bad[v.Key]; h.Number > 0 && !unread && !h.Deleted {
		old := h.Version
		h.Readable = &old
	}
	h.Version = v
	s.convert(h)
}

// convert brings the head of a key into the view. One that can't be converted leaves what was in
// force before and is a fault until a newer version can.
func (s *State) convert(h *head) {
	delete(s.bad, h.Key)
	if h.Deleted {
		h.Readable = nil
		s.writable().remove(h.Key)
		return
	}
	if problem := s.put(h.Version); problem != "" {
		s.bad[h.Key] = Fault{Offset: h.Offset, Record: h.Key.String(), Problem: problem}
		if h.Readable != nil {
			s.put(*h.Readable)
		}
		return
	}
	h.Readable = nil
}

// put converts one version into the view and returns why it can't.
func (s *State) put(v Version) string {
	if l := Check(v.Proposal); len(l) > 0 {
		return l.Err().Error()
	}
	if err := converters[shape{v.Kind, v.Schema}](s.writable(), v.Name, v); err != nil {
		return err.Error()
	}
	return ""
}

// writable returns the view for a change.
func (s *State) writable() *View {
	if s.shared {
		s.view, s.shared = s.view.clone(), false
	}
	return s.view
}

// fault keeps a bad entry.
func (s *State) fault(f Fault) error {
	s.faults = append(s.faults, f)
	if over := len(s.faults) - keptFaults; over > 0 {
		s.faults = append([]Fault(nil), s.faults[over:]...)
	}
	return fmt.Errorf("config: %s", f)
}

// View returns the configuration in force in its internal form.
func (s *State) View() *View {
	if s.view.Offset != s.next-1 {
		s.writable().Offset = s.next - 1
	}
	s.shared = true
	return s.view
}

// Get returns the version in force of a key; deleted records are not found.
func (s *State) Get(k Key) (Version, bool) {
	h := s.heads[k]
	if h == nil || h.Deleted {
		return Version{}, false
	}
	return h.Version, true
}

// Newest returns the newest version number of a key, also of a deleted one; 0 for none.
func (s *State) Newest(k Key) int64 {
	if h := s.heads[k]; h != nil {
		return h.Number
	}
	return 0
}

// Verdict returns what was decided about a record id, as long as it is kept.
func (s *State) Verdict(id string) (Verdict, bool) {
	if v, ok := s.recent.find(id); ok {
		return v, true
	}
	return Verdict{}, false
}

// All returns every record in force in no particular order.
func (s *State) All() []Version {
	out := make([]Version, 0, len(s.heads))
	for _, h := range s.heads {
		if !h.Deleted {
			out = append(out, h.Version)
		}
	}
	return out
}

// Faults returns the records that can't be converted and the newest bad entries.
func (s *State) Faults() []Fault {
	out := append([]Fault(nil), s.faults...)
	for _, f := range s.bad {
		out = append(out, f)
	}
	return out
}

// Next returns the offset to read from next.
func (s *State) Next() logsvc.Offset { return s.next }

// Early returns the verdict on a proposal without folding it, when it is certain: the record was
// judged before, or the version it expects is not the newest and so can't win.
func (s *State) Early(id string, p Proposal) (Verdict, bool) {
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
		v.Reason = beaten(p, h)
		return v, true
	}
	return v, false
}

// beaten says which version beat a proposal.
func beaten(p Proposal, h *head) string {
	return fmt.Sprintf("expected version %d, but version %d by %s at offset %d is in force",
		p.Expected, h.Number, h.By, h.Offset)
}

// ChangedSince returns the newest versions of the records that changed after an offset, in log order,
// deleted ones too.
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
