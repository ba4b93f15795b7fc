package node

import (
	"encoding/json"
	"testing"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/queue"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// TestPoliciesOf checks how records change what the scheduler allows: a workspace record of schema 1
// limits only the resources it names, one of schema 2 allows no accelerators unless it names them, and a
// drain record marks its worker as drained.
func TestPoliciesOf(t *testing.T) {
	s := config.NewState()
	for i, p := range []config.Proposal{
		{Key: config.Key{Kind: config.KindWorkspace, Name: "old"}, Schema: 1, Spec: json.RawMessage(`{"weight":2,"quota":{"milli_cpu":1000}}`)},
		{Key: config.Key{Kind: config.KindWorkspace, Name: "new"}, Schema: 2, Spec: json.RawMessage(`{"weight":1,"quota":{"cores":1,"memory_gb":1}}`)},
		{Key: config.Key{Kind: config.KindDrain, Name: "d"}, Schema: 1, Spec: json.RawMessage(`{"scope":"worker","of":"w1"}`)},
	} {
		env, err := record.New(p.Name, record.KindProposal, config.ProposalSchema, "op", p)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := env.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Step(logsvc.Entry{Offset: logsvc.Offset(i + 1), Data: raw}); err != nil {
			t.Fatal(err)
		}
	}
	p := policiesOf(s.View())
	shares := queue.NewShares(resource.Vector{MilliCPU: 1 << 20, MemoryMB: 1 << 20, Accelerators: 8})
	for name, pol := range p.Workspaces {
		shares.SetPolicy(name, pol)
	}
	for _, c := range []struct {
		workspace string
		demand    resource.Vector
		refused   string
	}{
		{"old", resource.Vector{MilliCPU: 1000, MemoryMB: 1 << 19, Accelerators: 4}, ""},
		{"old", resource.Vector{MilliCPU: 1001}, "processors"},
		{"new", resource.Vector{MilliCPU: 1000, MemoryMB: 1000}, ""},
		{"new", resource.Vector{MilliCPU: 1, Accelerators: 1}, "accelerators"},
		{"none", resource.Vector{MilliCPU: 1 << 19, Accelerators: 8}, ""},
	} {
		if _, kind := shares.Allows(c.workspace, c.demand); kind != c.refused {
			t.Errorf("%s %v: refused for %q, want %q", c.workspace, c.demand, kind, c.refused)
		}
	}
	for _, w := range []string{"w1", "w2"} {
		m := announce.Member{Announcement: announce.Announcement{Name: w}}
		if _, drained := p.Drained(m); drained != (w == "w1") {
			t.Errorf("%s drained: %v", w, drained)
		}
	}
}
