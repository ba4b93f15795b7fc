package node

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"slices"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
)

// recordRoutes adds the interface of configuration records.
func (n *Node) recordRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/records", n.propose)
	mux.HandleFunc("GET /v1/records", n.records)
}

// proposeRequest is a proposal with its record id, which makes publishing it again harmless.
type proposeRequest struct {
	ID string `json:"id"`
	By string `json:"by"`
	config.Proposal
}

// propose publishes one configuration record and answers with the verdict.
func (n *Node) propose(w http.ResponseWriter, r *http.Request) {
	var req proposeRequest
	if err := jsonhttp.Read(w, r, maxRequestBody, &req); err != nil {
		jsonhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	var l finding.List
	if req.Kind == "" || req.Name == "" {
		l.Add("/kind, /name", "", "must not be empty")
	}
	if req.ID == "" {
		l.Add("/id", "", "must not be empty")
	}
	if !json.Valid(req.Spec) && !req.Deleted {
		l.Add("/spec", "", "must be given")
	}
	if err := l.Err(); err != nil {
		jsonhttp.Fail(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), configrun.WaitTimeout)
	defer cancel()
	v, err := n.config.Propose(ctx, req.ID, req.By, req.Proposal)
	switch {
	case err != nil:
		jsonhttp.Fail(w, http.StatusServiceUnavailable, err)
	case !v.Accepted:
		jsonhttp.Write(w, http.StatusConflict, v)
	default:
		jsonhttp.Write(w, http.StatusOK, v)
	}
}

// records lists the configuration in force.
func (n *Node) records(w http.ResponseWriter, _ *http.Request) {
	var all []config.Version
	n.config.View(func(s *config.State) { all = s.All() })
	slices.SortFunc(all, func(a, b config.Version) int { return cmp.Compare(a.Key.String(), b.Key.String()) })
	jsonhttp.Write(w, http.StatusOK, all)
}
