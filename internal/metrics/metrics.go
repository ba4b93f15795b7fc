// Package metrics holds the metrics of one process and serves them in the Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
)

// flushInterval is how often values are copied from the scope to the reporter that serves them.
const flushInterval = time.Second

// Metrics is the registry of one process. Use New to create one.
type Metrics struct {
	tally.Scope
	reporter promreporter.Reporter
	closer   io.Closer
}

// New returns an empty registry. The names of all its metrics start with crocus_.
func New() *Metrics {
	registry := prom.NewRegistry()
	r := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {}})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "crocus", CachedReporter: r, Separator: promreporter.DefaultSeparator, OmitCardinalityMetrics: true,
	}, flushInterval)
	return &Metrics{Scope: scope, reporter: r, closer: closer}
}

// Handler serves GET /metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close stops the periodic flush.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("close metrics: %w", err)
	}
	return nil
}

// Seconds returns the histogram buckets for latencies, in seconds.
func Seconds() tally.Buckets {
	return tally.ValueBuckets{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10}
}
