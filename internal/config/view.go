package config

import (
	"maps"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/resource"
)

// Unlimited is the amount of a resource that a quota does not limit.
const Unlimited = 1 << 50

// Service is a latency-critical service.
type Service struct {
	Name      string
	Workspace string
	// Budget is the time budget of a request whose caller sets none.
	Budget time.Duration
	// Idempotent means that a request may run again after an earlier attempt has ended.
	Idempotent bool
	// MaxAttempts bounds the attempts of one request; 1 means no retries.
	MaxAttempts int
	// RetryRatio bounds retries as a fraction of the successful requests.
	RetryRatio float64
}

// BatchClass is a class of batch tasks with the same scheduling properties.
type BatchClass struct {
	Name            string
	Workspace       string
	Urgent          bool
	Evictable       bool
	MaxFailures     int
	CheckpointEvery time.Duration
}

// Workspace is one team with its share of the capacity.
type Workspace struct {
	Name   string
	Weight float64
	// Quota bounds the resources of tasks that run at the same time; amounts of Unlimited are unbounded.
	Quota resource.Vector
	// MaxOpenJobs bounds the number of jobs that have not ended; 0 means no limit.
	MaxOpenJobs int
}

// PlacementPolicy sets how workers are scored for placement.
type PlacementPolicy struct {
	Name               string
	Strategy           string
	InterferenceWeight float64
	// KeepFree is the fraction of a worker's capacity, from 0 to 1, that batch tasks leave free.
	KeepFree float64
}

// ThrottlePolicy sets when batch tasks are throttled and evicted.
type ThrottlePolicy struct {
	Name string
	// MaxSlowdown is the slowdown of a latency-critical task beyond which its neighbours are throttled.
	MaxSlowdown float64
	// MinShare is the fraction of its processors, from 0 to 1, that a throttled task keeps.
	MinShare   float64
	EvictAfter time.Duration
}

// Limits bound the whole installation; a zero field means no limit.
type Limits struct {
	MaxOpenJobs        int
	MaxBodyBytes       int64
	EvictionsPerMinute int
}

// Scope is the kind of unit that a drain takes out of use.
type Scope string

// Scopes of a drain.
const (
	ScopeWorker     Scope = "worker"
	ScopeRack       Scope = "rack"
	ScopeDataCentre Scope = "data-centre"
)

// Drain takes a worker, a rack or a data centre out of use.
type Drain struct {
	Name      string
	Scope     Scope
	ScopeName string
	// DataCentre restricts a drain of a worker or a rack to one data centre, since racks of different data
	// centres may share a name; empty for any.
	DataCentre string
	Reason     string
	// EvictAfter is the time after which tasks that still run there are moved.
	EvictAfter time.Duration
}

// View is the effective configuration in its internal form. It is immutable once published, so it may be
// kept and read without a lock; callers must not write to its maps.
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

// remove removes a deleted record.
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

// Weight returns the weight of a workspace; 1 for one without a record.
func (v *View) Weight(workspace string) float64 {
	if w, ok := v.Workspaces[workspace]; ok {
		return w.Weight
	}
	return 1
}

// Quota returns the quota of a workspace; unlimited for one without a record.
func (v *View) Quota(workspace string) resource.Vector {
	if w, ok := v.Workspaces[workspace]; ok {
		return w.Quota
	}
	return resource.Vector{MilliCPU: Unlimited, MemoryMB: Unlimited, Accelerators: Unlimited}
}

// Drained returns the drain that takes a worker out of use, if any.
func (v *View) Drained(worker, rack, dataCentre string) (Drain, bool) {
	for _, d := range v.Drains {
		inDataCentre := d.DataCentre == "" || d.DataCentre == dataCentre
		switch {
		case d.Scope == ScopeWorker && d.ScopeName == worker && inDataCentre,
			d.Scope == ScopeRack && d.ScopeName == rack && inDataCentre,
			d.Scope == ScopeDataCentre && d.ScopeName == dataCentre:
			return d, true
		}
	}
	return Drain{}, false
}
