package config

import (
	"fmt"
	"math"
	"time"

	"github.com/crocusspring/crocusspring/internal/resource"
)

// Defaults of optional fields. A default is part of the schema versions that use it and never changes.
const (
	defaultMaxAttempts   = 2
	defaultRetryRatio    = 0.1
	defaultMaxFailures   = 3
	defaultInterference  = 1.0
	defaultMinPercent    = 10
	defaultEvictAfter    = 30 * time.Second
	defaultCheckpoint    = 30 * time.Second
	milliPerCore         = 1000
	megabytesPerGigabyte = 1000
)

type serviceSpecV1 struct {
	BudgetMS int64 `json:"budget_ms"`
}

// serviceV1 converts version 1, in which a request is sent once.
func serviceV1(v *View, name string, s serviceSpecV1, ver Version) error {
	v.Services[name] = Service{Name: name, Workspace: ver.Workspace, Budget: millis(s.BudgetMS), MaxAttempts: 1}
	return nil
}

type serviceSpecV2 struct {
	Budget      string   `json:"budget"`
	Idempotent  bool     `json:"idempotent"`
	MaxAttempts *int     `json:"max_attempts"`
	RetryRatio  *float64 `json:"retry_ratio"`
}

// serviceV2 converts version 2, in which idempotent requests may be retried.
func serviceV2(v *View, name string, s serviceSpecV2, ver Version) error {
	budget, err := time.ParseDuration(s.Budget)
	if err != nil || budget <= 0 {
		return fmt.Errorf("/spec/budget: %q is not a duration above 0", s.Budget)
	}
	out := Service{Name: name, Workspace: ver.Workspace, Budget: budget, Idempotent: s.Idempotent, MaxAttempts: 1}
	if s.Idempotent {
		out.MaxAttempts = valueOr(s.MaxAttempts, defaultMaxAttempts)
		out.RetryRatio = valueOr(s.RetryRatio, defaultRetryRatio)
	}
	v.Services[name] = out
	return nil
}

type workspaceSpecV1 struct {
	Weight int64 `json:"weight"`
	Quota  struct {
		MilliCPU     *int64 `json:"milli_cpu"`
		MemoryMB     *int64 `json:"memory_mb"`
		Accelerators *int64 `json:"accelerators"`
	} `json:"quota"`
}

// workspaceV1 converts version 1, in which resources that the quota does not name are unlimited.
func workspaceV1(v *View, name string, s workspaceSpecV1, _ Version) error {
	v.Workspaces[name] = Workspace{Name: name, Weight: float64(s.Weight), Quota: resource.Vector{
		MilliCPU:     valueOr(s.Quota.MilliCPU, Unlimited),
		MemoryMB:     valueOr(s.Quota.MemoryMB, Unlimited),
		Accelerators: valueOr(s.Quota.Accelerators, Unlimited),
	}}
	return nil
}

type workspaceSpecV2 struct {
	Weight float64 `json:"weight"`
	Quota  struct {
		Cores        float64 `json:"cores"`
		MemoryGB     float64 `json:"memory_gb"`
		Accelerators int64   `json:"accelerators"`
	} `json:"quota"`
	MaxOpenJobs int `json:"max_open_jobs"`
}

// workspaceV2 converts version 2, in which the quota has no accelerators unless it names them.
func workspaceV2(v *View, name string, s workspaceSpecV2, _ Version) error {
	v.Workspaces[name] = Workspace{Name: name, Weight: s.Weight, MaxOpenJobs: s.MaxOpenJobs, Quota: resource.Vector{
		MilliCPU:     scaled(s.Quota.Cores, milliPerCore),
		MemoryMB:     scaled(s.Quota.MemoryGB, megabytesPerGigabyte),
		Accelerators: s.Quota.Accelerators,
	}}
	return nil
}

type batchClassSpecV1 struct {
	Urgent            bool   `json:"urgent"`
	Evictable         *bool  `json:"evictable"`
	MaxFailures       *int   `json:"max_failures"`
	CheckpointEveryMS *int64 `json:"checkpoint_every_ms"`
}

// batchClassV1 converts a batch class, whose tasks may be evicted unless the record forbids it.
func batchClassV1(v *View, name string, s batchClassSpecV1, ver Version) error {
	v.Classes[name] = BatchClass{
		Name: name, Workspace: ver.Workspace, Urgent: s.Urgent, Evictable: valueOr(s.Evictable, true),
		MaxFailures:     valueOr(s.MaxFailures, defaultMaxFailures),
		CheckpointEvery: millis(valueOr(s.CheckpointEveryMS, defaultCheckpoint.Milliseconds())),
	}
	return nil
}

type placementSpecV1 struct {
	Strategy           string   `json:"strategy"`
	InterferenceWeight *float64 `json:"interference_weight"`
	KeepFreePercent    int      `json:"keep_free_percent"`
}

// placementV1 converts a placement policy.
func placementV1(v *View, name string, s placementSpecV1, _ Version) error {
	v.Placement[name] = PlacementPolicy{
		Name: name, Strategy: s.Strategy, InterferenceWeight: valueOr(s.InterferenceWeight, defaultInterference),
		KeepFree: float64(s.KeepFreePercent) / 100,
	}
	return nil
}

type throttleSpecV1 struct {
	MaxSlowdown  float64 `json:"max_slowdown"`
	MinPercent   *int    `json:"least_percent"`
	EvictAfterMS *int64  `json:"evict_after_ms"`
}

// throttleV1 converts a throttle policy.
func throttleV1(v *View, name string, s throttleSpecV1, _ Version) error {
	v.Throttle[name] = ThrottlePolicy{
		Name: name, MaxSlowdown: s.MaxSlowdown, MinShare: float64(valueOr(s.MinPercent, defaultMinPercent)) / 100,
		EvictAfter: millis(valueOr(s.EvictAfterMS, defaultEvictAfter.Milliseconds())),
	}
	return nil
}

type limitsSpecV1 struct {
	MaxOpenJobs        int   `json:"max_open_jobs"`
	MaxBodyBytes       int64 `json:"max_body_bytes"`
	EvictionsPerMinute int   `json:"evictions_per_minute"`
}

// limitsV1 converts a limits record.
func limitsV1(v *View, name string, s limitsSpecV1, _ Version) error {
	v.Limits[name] = Limits(s)
	return nil
}

type drainSpecV1 struct {
	Scope        Scope  `json:"scope"`
	ScopeName    string `json:"of"`
	DataCentre   string `json:"data_centre"`
	Reason       string `json:"reason"`
	EvictAfterMS *int64 `json:"evict_after_ms"`
}

// drainV1 converts a drain.
func drainV1(v *View, name string, s drainSpecV1, _ Version) error {
	v.Drains[name] = Drain{
		Name: name, Scope: s.Scope, ScopeName: s.ScopeName, DataCentre: s.DataCentre, Reason: s.Reason,
		EvictAfter: millis(valueOr(s.EvictAfterMS, defaultEvictAfter.Milliseconds())),
	}
	return nil
}

// valueOr returns the value that p points to, or def when p is nil.
func valueOr[T any](p *T, def T) T {
	if p == nil {
		return def
	}
	return *p
}

// millis returns a duration of ms milliseconds, bounded by the longest time.Duration.
func millis(ms int64) time.Duration {
	return time.Duration(min(ms, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// scaled converts an amount to a unit that is smaller by factor, rounded and bounded by Unlimited.
func scaled(units, factor float64) int64 {
	if units*factor >= Unlimited {
		return Unlimited
	}
	return int64(math.Round(units * factor))
}
