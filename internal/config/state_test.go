package config

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"pgregory.net/rapid"
)

// put folds a proposal at the next offset.
func put(t interface{ Fatal(...any) }, s *State, id string, p Proposal) Change {
	env, err := record.New(id, record.KindProposal, ProposalSchema, "op", p)
	if err != nil {
		t.Fatal(err)
	}
	raw, err := env.Encode()
	if err != nil {
		t.Fatal(err)
	}
	c, err := s.Step(logsvc.Entry{Offset: s.Next(), Data: raw})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestReplays folds random proposals and repeats of any earlier one, however late, with only two verdicts
// kept and with snapshots in between: a repeated record must have no effect, version numbers must only
// increase, a verdict that is still kept must not change, and EarlyVerdict must agree with the fold.
func TestReplays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := NewState()
		s.recent = newRing(2)
		sent := []Proposal{}
		folded := map[int]bool{}
		newest := map[Key]int64{}
		old, oldNext := snapshotOf(rt, s), s.Next()
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			i := rapid.IntRange(0, 2*len(sent)).Draw(rt, "which")
			if i >= len(sent) {
				i = len(sent)
				k := Key{KindService, rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "name")}
				ahead := rapid.SampledFrom([]int64{0, 0, -1, 1, 2}).Draw(rt, "ahead")
				sent = append(sent, Proposal{
					Key: k, Expected: max(0, s.Newest(k)+ahead), Schema: 1,
					Deleted: rapid.Bool().Draw(rt, "deleted"), Spec: json.RawMessage(`{"budget_ms":5}`),
				})
			}
			id := fmt.Sprintf("r%d", i)
			kept, wasKept := s.Verdict(id)
			early, certain := s.EarlyVerdict(id, sent[i])
			c := put(rt, s, id, sent[i])
			if wasKept && (c.Verdict != kept || !c.Repeated) {
				rt.Fatalf("%s was %+v and is now %+v", id, kept, c.Verdict)
			}
			if certain && early.Accepted != c.Accepted && !folded[i] {
				rt.Fatalf("%s has early verdict %+v and verdict %+v", id, early, c.Verdict)
			}
			if _, ok := s.Verdict(id); !ok {
				rt.Fatalf("the verdict on %s is not kept", id)
			}
			if c.Accepted && !c.Repeated {
				if folded[i] {
					rt.Fatalf("%s was accepted again when it was repeated", id)
				}
				if c.Current <= newest[c.Key] || c.Current <= sent[i].Expected {
					rt.Fatalf("%s got number %d after %d", id, c.Current, newest[c.Key])
				}
				newest[c.Key] = c.Current
			}
			folded[i] = true
			switch rapid.IntRange(0, 9).Draw(rt, "then") {
			case 0:
				old, oldNext = snapshotOf(rt, s), s.Next()
				s = restored(rt, s)
			case 1:
				before := string(snapshotOf(rt, s))
				if err := s.Restore(oldNext, old); err != nil || string(snapshotOf(rt, s)) != before {
					rt.Fatalf("an older snapshot changed the state: %v", err)
				}
			}
		}
	})
}

// snapshotOf returns a snapshot of s.
func snapshotOf(t interface{ Fatal(...any) }, s *State) json.RawMessage {
	data, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// restored returns a new state restored from a snapshot of s.
func restored(t interface{ Fatal(...any) }, s *State) *State {
	out := NewState()
	if err := out.Restore(s.Next(), snapshotOf(t, s)); err != nil {
		t.Fatal(err)
	}
	out.recent.size = s.recent.size
	return out
}
