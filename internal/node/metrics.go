package node

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/metrics"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// gaugeInterval is the interval at which the gauges are updated.
const gaugeInterval = time.Second

// statusWriter records the status of a response.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (w *statusWriter) WriteHeader(status int) {
	if w.status == 0 {
		w.status = status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *statusWriter) Write(p []byte) (int, error) {
	if w.status == 0 {
		w.status = http.StatusOK
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// instrument counts responses by route, status and outcome, and records their duration by route.
func instrument(m *metrics.Metrics, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now()
		sw := &statusWriter{ResponseWriter: w}
		next.ServeHTTP(sw, r)
		tags := map[string]string{
			"route": routeTag(r.Pattern), "status": strconv.Itoa(sw.status),
			"outcome": w.Header().Get(targetapi.HeaderOutcome),
		}
		m.Tagged(tags).Counter("http_answers").Inc(1)
		route := map[string]string{"route": tags["route"]}
		m.Tagged(route).Histogram("http_seconds", metrics.Seconds()).RecordValue(time.Since(began).Seconds())
	})
}

// routeTag returns the metric tag of a route: its pattern, or none for a path that no route matches.
func routeTag(pattern string) string {
	if pattern == "" {
		return "none"
	}
	return pattern
}

// runGauges updates the gauges of the node until ctx ends.
func (n *Node) runGauges(ctx context.Context) {
	t := time.NewTicker(gaugeInterval)
	defer t.Stop()
	for {
		n.updateGauges()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// updateGauges updates every gauge once.
func (n *Node) updateGauges() {
	m := n.metrics
	m.Gauge("config_offset").Update(float64(n.config.Offset()))
	m.Gauge("ready").Update(boolGauge(n.Ready()))
	m.Gauge("log_appends_pending").Update(float64(n.commit.Pending()))
	m.Gauge("log_append_rate").Update(n.commit.Rate())
	m.Gauge("cells_owned").Update(float64(len(n.owned())))
	m.Gauge("targets").Update(float64(len(n.members.Live(announce.RoleTarget))))
	m.Gauge("workers").Update(float64(len(n.members.Live(announce.RoleWorker))))
	for name, d := range n.cells {
		var s cell.Summary
		d.View(func(c *cell.Core) { s = c.Summary(time.Now()) })
		for state, count := range s.Tasks {
			m.Tagged(map[string]string{"cell": name, "state": string(state)}).Gauge("tasks").Update(float64(count))
		}
	}
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
