package config

import (
	"maps"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Unlimited is a quota's part that is without bound.
const Unlimited = 1 << 50

// Service is a latency-critical service.
type Service struct {
	Name      string
	Workspace string
	// Budget is the time one request has when its caller names none.
	Budget time.Duration
	// Idempotent says that a request may run again once an earlier attempt is over.
	Idempotent bool
	// MaxAttempts bounds the attempts of one request; 1 is without retry.
	MaxAttempts int
	// RetryRatio bounds retries as a part of the successes.
	RetryRatio float64
}

// BatchClass is a class of batch tasks that behave alike.
type BatchClass struct {
	Name            string
	Workspace       string
	Urgent          bool
	Evictable       bool
	MaxFailures     int
	CheckpointEvery time.Duration
}

// Workspace is one team with its part of the capacity.
type Workspace struct {
	Name   string
	Weight float64
	// Quota bounds what runs at once; Unlimited parts are without bound.
	Quota resource.Vector
	// MaxOpenJobs bounds jobs that have not ended; 0 is without bound.
	MaxOpenJobs int
}

// PlacementPolicy says how workers are scored.
type PlacementPolicy struct {
	Name               string
	Strategy           string
	InterferenceWeight float64
	// KeepFree is the part of a worker that batch tasks leave free.
	KeepFree float64
}

// ThrottlePolicy says when batch tasks are throttled and evicted.
type ThrottlePolicy struct {
	Name string
	// MaxSlowdown is the slowdown of a latency-critical task beyond which its neighbours are throttled.
	MaxSlowdown float64
	// Least is the part of its processors that a throttled task keeps.
	Least      float64
	EvictAfter time.Duration
}

// Limits bound the whole installation; zero parts are without bound.
type Limits struct {
	MaxOpenJobs        int
	MaxBodyBytes       int64
	EvictionsPerMinute int
}

// Scope says what a drain is of.
type Scope string

// Scopes of a drain.
const (
	ScopeWorker     Scope = "worker"
	ScopeRack       Scope = "rack"
	ScopeDataCentre Scope = "data-centre"
)

// Drain takes a worker, a rack or a data centre out of use.
type Drain struct {
	Name  string
	Scope Scope
	Of    string
	// DataCentre tells racks of one name apart; empty for any.
	DataCentre string
	Reason     string
	// EvictAfter is when tasks that still run there are moved.
	EvictAfter time.Duration
}

// View is the configuration in force in its internal form. It never changes once published, so it may
// be kept and read without a lock; do not write to its maps.
type View struct {
	// Offset is the newest offset that the view covers.
	Offset     logsvc.Offset
	Services   map[string]Service
	Classes    map[string]BatchClass
	Workspaces map[string]Workspace
	Placement  map[string]PlacementPolicy
	Throttle   map[string]ThrottlePolicy
	Limits     map[string]Limits
	Drains     map[string]Drain
}

// newView returns an empty view.
func newView() *View {
	return &View{
		Services: map[string]Service{}, Classes: map[string]BatchClass{}, Workspaces: map[string]Workspace{},
		Placement: map[string]PlacementPolicy{}, Throttle: map[string]ThrottlePolicy{},
		Limits: map[string]Limits{}, Drains: map[string]Drain{},
	}
}

// clone returns a copy that may be changed.
func (v *View) clone() *View {
	return &View{
		Offset: v.Offset, Services: maps.Clone(v.Services), Classes: maps.Clone(v.Classes),
		Workspaces: maps.Clone(v.Workspaces), Placement: maps.Clone(v.Placement),
		Throttle: maps.Clone(v.Throttle), Limits: maps.Clone(v.Limits), Drains: maps.Clone(v.Drains),
	}
}

// remove takes a deleted record out.
func (v *View) remove(k Key) {
	switch k.Kind {
	case KindService:
		delete(v.Services, k.Name)
	case KindBatchClass:
		delete(v.Classes, k.Name)
	case KindWorkspace:
		delete(v.Workspaces, k.Name)
	case KindPlacementPolicy:
		delete(v.Placement, k.Name)
	case KindThrottlePolicy:
		delete(v.Throttle, k.Name)
	case KindLimits:
		delete(v.Limits, k.Name)
	case KindDrain:
		delete(v.Drains, k.Name)
	}
}

// Budget returns the budget of a service, or def when no record names the service.
func (v *View) Budget(service string, def time.Duration) time.Duration {
	if s, ok := v.Services[service]; ok {
		return s.Budget
	}
	return def
}

// Weight returns the weight of a workspace; one without a record counts 1.
func (v *View) Weight(workspace string) float64 {
	if w, ok := v.Workspaces[workspace]; ok {
		return w.Weight
	}
	return 1
}

// Quota returns the quota of a workspace; one without a record is without bound.
func (v *View) Quota(workspace string) resource.Vector {
	if w, ok := v.Workspaces[workspace]; ok {
		return w.Quota
	}
	return resource.Vector{MilliCPU: Unlimited, MemoryMB: Unlimited, Accelerators: Unlimited}
}

// Drained returns the drain that takes a worker out of use, if any.
func (v *View) Drained(worker, rack, dataCentre string) (Drain, bool) {
	for _, d := range v.Drains {
		here := d.DataCentre == "" || d.DataCentre == dataCentre
		switch {
		case d.Scope == ScopeWorker && d.Of == worker && here,
			d.Scope == ScopeRack && d.Of == rack && here,
			d.Scope == ScopeDataCentre && d.Of == dataCentre:
			return d, true
		}
	}
	return Drain{}, false
}
