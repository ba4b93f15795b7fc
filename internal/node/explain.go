package node

import (
	"net/http"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/build"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/chart"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
)

// Explanation is the body of GET /debug/explain: the state of this node and the reasons for its behaviour.
type Explanation struct {
	ID          string                  `json:"id"`
	Role        Role                    `json:"role"`
	Version     string                  `json:"version"`
	DataCentre  string                  `json:"data_centre"`
	State       chart.State             `json:"state"`
	UpSeconds   float64                 `json:"up_seconds"`
	Ready       bool                    `json:"ready"`
	NotReady    []string                `json:"not_ready_because,omitempty"`
	Config      ConfigExplanation       `json:"config"`
	Log         LogExplanation          `json:"log"`
	Cells       map[string]cell.Summary `json:"cells"`
	Targets     []MemberExplanation     `json:"targets"`
	Workers     []MemberExplanation     `json:"workers"`
	Settings    Options                 `json:"settings"`
	InProgress  int                     `json:"requests_in_progress"`
	Processes   []ProcessStatus         `json:"processes"`
	GeneratedAt time.Time               `json:"generated_at"`
}

// ConfigExplanation is the configuration in effect.
type ConfigExplanation struct {
	Offset int64 `json:"offset"`
	AtTail bool  `json:"at_tail"`
}

// LogExplanation is the state of the node's appends to the log service.
type LogExplanation struct {
	// AppendsPerSecond is this node's share of the append budget.
	AppendsPerSecond float64 `json:"appends_per_second"`
	Pending          int     `json:"pending"`
}

// MemberExplanation is one announced target or worker.
type MemberExplanation struct {
	Name       string  `json:"name"`
	Address    string  `json:"address"`
	DataCentre string  `json:"data_centre"`
	Leaving    bool    `json:"leaving,omitempty"`
	ExpiresIn  float64 `json:"expires_in_seconds"`
}

// explain serves GET /debug/explain.
func (n *Node) explain(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	e := Explanation{
		ID: n.opt.ID, Role: n.opt.Role, Version: build.String(), DataCentre: n.opt.DataCentre,
		State: n.lifecycle.State(), UpSeconds: now.Sub(n.began).Seconds(), Ready: n.Ready(), NotReady: n.notReady(),
		Config:   ConfigExplanation{Offset: int64(n.config.Offset()), AtTail: n.config.Ready()},
		Log:      LogExplanation{AppendsPerSecond: n.commit.Rate(), Pending: n.commit.Pending()},
		Cells:    map[string]cell.Summary{},
		Targets:  explainMembers(now, n.members.Live(announce.RoleTarget)),
		Workers:  explainMembers(now, n.members.Live(announce.RoleWorker)),
		Settings: n.opt, InProgress: n.requests.Active(), Processes: n.processes(), GeneratedAt: now,
	}
	for name, d := range n.cells {
		d.View(func(c *cell.Core) { e.Cells[name] = c.Summary(now) })
	}
	jsonhttp.Write(w, http.StatusOK, e)
}

// notReady returns the reasons why the node must not receive requests yet.
func (n *Node) notReady() []string {
	var out []string
	if !n.config.Ready() {
		out = append(out, "the tail of the configuration stream has not been reached")
	}
	if !n.requests.Ready() {
		out = append(out, "slots of targets rest after the start and no peer lends any")
	}
	if n.lifecycle.Leaving() {
		out = append(out, "the node is leaving")
	}
	return out
}

// explainMembers returns the explanations of members, sorted by name.
func explainMembers(now time.Time, ms []announce.Member) []MemberExplanation {
	out := make([]MemberExplanation, 0, len(ms))
	for _, m := range ms {
		out = append(out, MemberExplanation{m.Name, m.Address, m.DataCentre, m.Leaving, m.Expires.Sub(now).Seconds()})
	}
	slices.SortFunc(out, func(a, b MemberExplanation) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}
