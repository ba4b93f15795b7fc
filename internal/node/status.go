package node

import (
	"cmp"
	"net/http"
	"slices"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/operator"
)

// Status is the body of GET /v1/status.
type Status struct {
	Processes []ProcessStatus `json:"processes"`
	Targets   []string        `json:"targets"`
	Workers   []string        `json:"workers"`
	// ConfigFaults are the entries and records of the configuration that this node can't read; they are
	// shown only to operators of the platform.
	ConfigFaults []config.Fault `json:"config_faults,omitempty"`
}

// ProcessStatus is the status that a process reports.
type ProcessStatus struct {
	ID           string   `json:"id"`
	Role         string   `json:"role"`
	Address      string   `json:"address"`
	ConfigOffset int64    `json:"config_offset"`
	Ready        bool     `json:"ready"`
	Cells        []string `json:"cells,omitempty"`
}

// status serves the processes, targets and workers that this node knows.
func (n *Node) status(w http.ResponseWriter, r *http.Request) {
	s := Status{Processes: n.processes()}
	for _, t := range n.members.Live(announce.RoleTarget) {
		s.Targets = append(s.Targets, t.Name)
	}
	for _, wk := range n.members.Live(announce.RoleWorker) {
		s.Workers = append(s.Workers, wk.Name)
	}
	slices.Sort(s.Targets)
	slices.Sort(s.Workers)
	if o, err := n.operators().Identify(r.Header.Get("Authorization")); err == nil && o.Has(operator.Platform) {
		n.config.View(func(st *config.State) { s.ConfigFaults = st.Faults() })
	}
	jsonhttp.Write(w, http.StatusOK, s)
}

// processes returns the newest status of every live process, sorted by id.
func (n *Node) processes() []ProcessStatus {
	var out []ProcessStatus
	for _, p := range n.members.Processes() {
		out = append(out, ProcessStatus{p.Id, p.Role, p.Address, p.ConfigOffset, p.Ready, p.Cells})
	}
	slices.SortFunc(out, func(a, b ProcessStatus) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
