package queue

import (
	"math"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

const (
	// halfLife is how long it takes for half of past service to be forgotten.
	halfLife = 5 * time.Minute
	// horizon is how much future service a running share counts for.
	horizon = 30 * time.Second
)

// Policy is what the configuration says of a workspace.
type Policy struct {
	// Weight is the relative share; 0 counts as 1.
	Weight float64
	// Quota bounds what the workspace may use at once.
	Quota resource.Vector
	// Exact says that a zero amount of a kind allows nothing; else it is no bound.
	Exact bool
}

// noBound stands for a kind that is not bounded.
const noBound = 1 << 60

// Bounds returns the quota with every amount exact.
func (p Policy) Bounds() resource.Vector {
	q := p.Quota
	if p.Exact {
		return q
	}
	for _, v := range []*int64{&q.MilliCPU, &q.MemoryMB, &q.Accelerators} {
		if *v == 0 {
			*v = noBound
		}
	}
	return q
}

// account is what a workspace uses and has received.
type account struct {
	policy Policy
	used   resource.Vector
	lanes  [laneCount]resource.Vector
	// served is past dominant share times seconds, decayed by halfLife, as of at.
	served float64
	at     time.Time
}

// Shares keeps the dominant share of each workspace: now and, decayed, in the past. The past counts
// because tasks are large against a worker, so equal shares at each instant can't be had.
type Shares struct {
	total    resource.Vector
	accounts map[string]*account
}

// NewShares returns shares of a cell that has the given total.
func NewShares(total resource.Vector) *Shares {
	return &Shares{total: total, accounts: map[string]*account{}}
}

// SetTotal changes the total of the cell.
func (s *Shares) SetTotal(total resource.Vector) { s.total = total }

// SetPolicy changes the weight and quota of a workspace.
func (s *Shares) SetPolicy(workspace string, p Policy) { s.account(workspace).policy = p }

// account returns the account of a workspace and opens it when it is new.
func (s *Shares) account(workspace string) *account {
	a := s.accounts[workspace]
	if a == nil {
		a = &account{}
		s.accounts[workspace] = a
	}
	return a
}

// Charge adds to what a workspace uses from now on.
func (s *Shares) Charge(now time.Time, workspace string, lane Lane, v resource.Vector) {
	a := s.account(workspace)
	s.settle(now, a)
	a.used = a.used.Add(v)
	a.lanes[lane] = a.lanes[lane].Add(v)
}

// Refund takes back what Charge added.
func (s *Shares) Refund(now time.Time, workspace string, lane Lane, v resource.Vector) {
	a := s.account(workspace)
	s.settle(now, a)
	a.used = a.used.Sub(v)
	a.lanes[lane] = a.lanes[lane].Sub(v)
}

// settle moves service up to now into the past.
func (s *Shares) settle(now time.Time, a *account) {
	if a.at.IsZero() {
		a.at = now
	}
	dt := now.Sub(a.at).Seconds()
	if dt <= 0 {
		return
	}
	keep := math.Exp2(-dt / halfLife.Seconds())
	a.served = a.served*keep + s.dominant(a.used)*dt
	a.at = now
}

// dominant returns the largest part of the total that v takes in any kind.
func (s *Shares) dominant(v resource.Vector) float64 {
	return max(part(v.MilliCPU, s.total.MilliCPU), part(v.MemoryMB, s.total.MemoryMB),
		part(v.Accelerators, s.total.Accelerators))
}

// part returns a/b, and 0 when there is no b.
func part(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Key ranks workspaces: less is served first.
func (s *Shares) Key(now time.Time, workspace string) float64 {
	a := s.account(workspace)
	s.settle(now, a)
	weight := a.policy.Weight
	if weight <= 0 {
		weight = 1
	}
	return (a.served + s.dominant(a.used)*horizon.Seconds()) / weight
}

// laneKey ranks the lanes of a workspace: less is served first.
func (s *Shares) laneKey(workspace string, lane Lane) float64 {
	return s.dominant(s.account(workspace).lanes[lane])
}

// Allows reports whether a demand keeps the workspace within its quota; if not, it names the kind.
func (s *Shares) Allows(workspace string, demand resource.Vector) (bool, string) {
	a := s.account(workspace)
	kind := a.used.Add(demand).Lacking(a.policy.Bounds())
	return kind == "", kind
}

// OverQuota reports whether the workspace can't be given anything more.
func (s *Shares) OverQuota(workspace string) bool {
	ok, _ := s.Allows(workspace, resource.Vector{MilliCPU: 1})
	return !ok
}

// Dominant returns the dominant share of a workspace now.
func (s *Shares) Dominant(workspace string) float64 { return s.dominant(s.account(workspace).used) }
