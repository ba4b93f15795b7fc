package queue

import (
	"math"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

const (
	// halfLife is how long it takes until past service counts half.
	halfLife = 5 * time.Minute
	// lookahead is how much future service a share in use counts as.
	lookahead = 30 * time.Second
)

// Policy is the configured weight and quota of a workspace.
type Policy struct {
	// Weight is the relative share; 0 counts as 1.
	Weight float64
	// Quota bounds the resources that the workspace may use at once.
	Quota resource.Vector
	// Exact makes a zero amount in Quota a limit of zero; otherwise zero means unlimited.
	Exact bool
}

// unlimited is the quota of a resource without a limit.
const unlimited = 1 << 60

// Bounds returns the quota with every unlimited amount replaced by a very large one.
func (p Policy) Bounds() resource.Vector {
	q := p.Quota
	if p.Exact {
		return q
	}
	for _, v := range []*int64{&q.MilliCPU, &q.MemoryMB, &q.Accelerators} {
		if *v == 0 {
			*v = unlimited
		}
	}
	return q
}

// account is the current and past resource use of a workspace.
type account struct {
	policy     Policy
	used       resource.Vector
	usedByLane [laneCount]resource.Vector
	// served is the past dominant share, integrated over seconds and decayed by halfLife, up to servedUntil.
	served      float64
	servedUntil time.Time
}

// Shares tracks the dominant share of each workspace: the current one and, decayed, the past ones. The past
// counts because tasks are large relative to a worker, so equal shares at each instant are impossible.
type Shares struct {
	total    resource.Vector
	accounts map[string]*account
}

// NewShares returns the shares of a cell whose workers have the total resources.
func NewShares(total resource.Vector) *Shares {
	return &Shares{total: total, accounts: map[string]*account{}}
}

// SetTotal changes the total resources of the cell.
func (s *Shares) SetTotal(total resource.Vector) { s.total = total }

// SetPolicy changes the weight and quota of a workspace.
func (s *Shares) SetPolicy(workspace string, p Policy) { s.account(workspace).policy = p }

// account returns the account of a workspace and creates it if there is none.
func (s *Shares) account(workspace string) *account {
	a := s.accounts[workspace]
	if a == nil {
		a = &account{}
		s.accounts[workspace] = a
	}
	return a
}

// Charge adds v to the resources that a workspace and its lane use from now on.
func (s *Shares) Charge(now time.Time, workspace string, lane Lane, v resource.Vector) {
	a := s.account(workspace)
	s.accrue(now, a)
	a.used = a.used.Add(v)
	a.usedByLane[lane] = a.usedByLane[lane].Add(v)
}

// Refund subtracts resources that Charge added.
func (s *Shares) Refund(now time.Time, workspace string, lane Lane, v resource.Vector) {
	a := s.account(workspace)
	s.accrue(now, a)
	a.used = a.used.Sub(v)
	a.usedByLane[lane] = a.usedByLane[lane].Sub(v)
}

// accrue adds the service since the last call to the decayed past service.
func (s *Shares) accrue(now time.Time, a *account) {
	if a.servedUntil.IsZero() {
		a.servedUntil = now
	}
	dt := now.Sub(a.servedUntil).Seconds()
	if dt <= 0 {
		return
	}
	decay := math.Exp2(-dt / halfLife.Seconds())
	a.served = a.served*decay + s.dominant(a.used)*dt
	a.servedUntil = now
}

// dominant returns the dominant share of v: its largest fraction of the total over all resources.
func (s *Shares) dominant(v resource.Vector) float64 {
	return max(fraction(v.MilliCPU, s.total.MilliCPU), fraction(v.MemoryMB, s.total.MemoryMB),
		fraction(v.Accelerators, s.total.Accelerators))
}

// fraction returns a/b, and 0 if b is not positive.
func fraction(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Key returns the rank of a workspace, its past and expected service per weight; the lowest is served first.
func (s *Shares) Key(now time.Time, workspace string) float64 {
	a := s.account(workspace)
	s.accrue(now, a)
	weight := a.policy.Weight
	if weight <= 0 {
		weight = 1
	}
	return (a.served + s.dominant(a.used)*lookahead.Seconds()) / weight
}

// laneKey returns the rank of a lane in its workspace, its dominant share now; the lowest is served first.
func (s *Shares) laneKey(workspace string, lane Lane) float64 {
	return s.dominant(s.account(workspace).usedByLane[lane])
}

// Allows reports whether a demand keeps the workspace within its quota; if not, it names the resource that
// is exceeded.
func (s *Shares) Allows(workspace string, demand resource.Vector) (bool, string) {
	a := s.account(workspace)
	kind := a.used.Add(demand).Lacking(a.policy.Bounds())
	return kind == "", kind
}

// OverQuota reports whether the quota leaves the workspace no resources for even the smallest task.
func (s *Shares) OverQuota(workspace string) bool {
	ok, _ := s.Allows(workspace, resource.Vector{MilliCPU: 1})
	return !ok
}

// Dominant returns the dominant share of the resources that a workspace uses now.
func (s *Shares) Dominant(workspace string) float64 { return s.dominant(s.account(workspace).used) }
