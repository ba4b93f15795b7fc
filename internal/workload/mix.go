// Package workload simulates the callers of a deployment: it generates an open-loop schedule of requests and
// jobs from a seed, sends it to the entries as a load balancer would, and records the outcomes that the
// callers see in a history.
package workload

import (
	"embed"
	"fmt"
	"path"
	"time"

	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/goccy/go-yaml"
)

// RequestClass describes one class of latency-critical requests.
type RequestClass struct {
	Class string `yaml:"class"`
	// Weight is the class's share of all requests.
	Weight float64       `yaml:"weight"`
	Budget time.Duration `yaml:"budget"`
	// Idempotent requests may run more than once; the others carry an idempotency key and run at most once.
	Idempotent bool `yaml:"idempotent"`
	// BodyBytes is the size of the request's body.
	BodyBytes int `yaml:"body_bytes"`
}

// JobClass describes one class of batch jobs.
type JobClass struct {
	Class string `yaml:"class"`
	// Weight is the class's share of all jobs.
	Weight   float64 `yaml:"weight"`
	MilliCPU int64   `yaml:"milli_cpu"`
	MemoryMB int64   `yaml:"memory_mb"`
	// MinRun and MaxRun bound the run time; both 0 for a watcher that runs until it is cancelled.
	MinRun time.Duration `yaml:"min_run"`
	MaxRun time.Duration `yaml:"max_run"`
}

// Mix describes the load of one deployment's callers.
type Mix struct {
	Deployment string         `yaml:"deployment"`
	Service    string         `yaml:"service"`
	Workspaces []string       `yaml:"workspaces"`
	Requests   []RequestClass `yaml:"requests"`
	Jobs       []JobClass     `yaml:"jobs"`
	// RequestsPerSecond and JobsPerSecond are the mean arrival rates.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
	JobsPerSecond     float64 `yaml:"jobs_per_second"`
}

//go:embed mixes/*.yaml
var mixFiles embed.FS

// Mixes returns the built-in mixes by deployment name.
func Mixes() map[string]Mix {
	out := map[string]Mix{}
	for _, name := range []string{"klang", "hanoi"} {
		data, err := mixFiles.ReadFile(path.Join("mixes", name+".yaml"))
		if err != nil {
			panic(err)
		}
		m, err := ParseMix(name, data)
		if err != nil {
			panic(err)
		}
		out[name] = m
	}
	return out
}

// ParseMix decodes a mix file and reports every problem in it; findings are prefixed with name.
func ParseMix(name string, data []byte) (Mix, error) {
	var m Mix
	if err := yaml.UnmarshalWithOptions(data, &m, yaml.Strict()); err != nil {
		return Mix{}, fmt.Errorf("%s: %w", name, err)
	}
	return m, m.check(name).Err()
}

// check returns the problems of a mix; findings are prefixed with name.
func (m Mix) check(name string) finding.List {
	var l finding.List
	if m.Service == "" {
		l.Add(name+" /service", "", "must not be empty")
	}
	if len(m.Workspaces) == 0 {
		l.Add(name+" /workspaces", "", "must name at least one")
	}
	if m.RequestsPerSecond < 0 || m.JobsPerSecond < 0 {
		l.Add(name+" /requests_per_second, /jobs_per_second", "", "must not be negative")
	}
	if m.RequestsPerSecond > 0 && len(m.Requests) == 0 {
		l.Add(name+" /requests", "", "must name at least one class")
	}
	if m.JobsPerSecond > 0 && len(m.Jobs) == 0 {
		l.Add(name+" /jobs", "", "must name at least one class")
	}
	for i, r := range m.Requests {
		if r.Class == "" || r.Weight <= 0 || r.Budget <= 0 || r.BodyBytes < 0 {
			l.Add(fmt.Sprintf("%s /requests/%d", name, i), r.Class, "must have a class, a weight and a budget above 0 and no negative size")
		}
	}
	for i, j := range m.Jobs {
		if j.Class == "" || j.Weight <= 0 || j.MilliCPU <= 0 || j.MemoryMB < 0 || j.MinRun < 0 || j.MaxRun < j.MinRun {
			l.Add(fmt.Sprintf("%s /jobs/%d", name, i), j.Class, "must have a class, a weight and processors above 0, and run times in order")
		}
	}
	return l
}
