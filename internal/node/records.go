package node

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/crocusspring/crocusspring/internal/audit"
	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/configrun"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/operator"
)

// maxWatch is the maximum time for which a watch waits for a change.
const maxWatch = 30 * time.Second

// recordRoutes registers the routes of configuration records.
func (n *Node) recordRoutes(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/records", n.authenticated(n.propose))
	mux.HandleFunc("GET /v1/records", n.authenticated(n.records))
	mux.HandleFunc("GET /v1/records/{kind}/{name}", n.authenticated(n.recordByName))
	mux.HandleFunc("GET /v1/watch", n.authenticated(n.watch))
	mux.HandleFunc("GET /v1/audit", n.authenticated(n.auditTrail))
}

// proposeRequest is a proposal with its record id, which makes publishing idempotent.
type proposeRequest struct {
	ID string `json:"id"`
	// By names the operator if the installation has no list of operators.
	By string `json:"by"`
	config.Proposal
}

// check returns everything that is invalid in the request.
func (p proposeRequest) check() error {
	var l finding.List
	if p.Kind == "" || p.Name == "" {
		l.Add("/kind, /name", "", "must not be empty")
	}
	if p.ID == "" {
		l.Add("/id", "", "must not be empty")
	}
	return append(l, config.Check(p.Proposal)...).Err()
}

// propose publishes one configuration record and answers with the verdict.
func (n *Node) propose(w http.ResponseWriter, r *http.Request, o operator.Operator) {
	var req proposeRequest
	if err := jsonhttp.Read(w, r, maxRequestBody, jsonhttp.MaxValues, &req); err != nil {
		jsonhttp.ReadError(w, err)
		return
	}
	if len(n.operators()) > 0 || req.By == "" {
		req.By = o.Name
	}
	req.At = time.Now().UTC()
	if err := req.check(); err != nil {
		n.auditRefusal(req, err.Error())
		jsonhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	if !n.config.Ready() {
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, errors.New("this node has not reached the tail of the configuration yet"))
		return
	}
	if !mayChange(o, req.Proposal, n.currentVersion(req.Key)) {
		n.auditRefusal(req, "the operator lacks the right")
		writeForbidden(w, o, "change "+req.Key.String())
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), configrun.WaitTimeout)
	defer cancel()
	v, err := n.config.Propose(ctx, req.ID, req.By, req.Proposal)
	switch {
	case err != nil:
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
	case !v.Accepted:
		if v.Offset == 0 {
			n.auditRefusal(req, v.Reason)
		}
		jsonhttp.Write(w, http.StatusConflict, v)
	default:
		jsonhttp.Write(w, http.StatusOK, v)
	}
}

// auditRefusal writes a proposal that was refused before it was published to the audit trail.
func (n *Node) auditRefusal(req proposeRequest, reason string) {
	c := config.Change{By: req.By, Proposal: req.Proposal, Before: n.currentVersion(req.Key)}
	c.Verdict = config.Verdict{RecordID: req.ID, Key: req.Key, Reason: reason}
	line := audit.FromChange(c)
	line.ID = "refused-" + req.ID
	n.audit.Add(line)
}

// currentVersion returns the version of a key in effect; nil for none.
func (n *Node) currentVersion(k config.Key) *config.Version {
	var v config.Version
	var ok bool
	n.config.View(func(s *config.State) { v, ok = s.Get(k) })
	if !ok {
		return nil
	}
	return &v
}

// records serves the records in effect that the operator may read.
func (n *Node) records(w http.ResponseWriter, r *http.Request, o operator.Operator) {
	var all []config.Version
	n.config.View(func(s *config.State) { all = s.All() })
	kind := r.URL.Query().Get("kind")
	all = slices.DeleteFunc(all, func(v config.Version) bool {
		return !mayRead(o, v) || kind != "" && v.Kind != kind
	})
	sortVersions(all)
	if all == nil {
		all = []config.Version{}
	}
	jsonhttp.Write(w, http.StatusOK, all)
}

// sortVersions sorts versions by key.
func sortVersions(vs []config.Version) {
	slices.SortFunc(vs, func(a, b config.Version) int { return cmp.Compare(a.Key.String(), b.Key.String()) })
}

// Newest is the body of GET /v1/records/{kind}/{name}?newest=1.
type Newest struct {
	// Newest is the number of the newest version, also of a deleted record; 0 for none.
	Newest int64 `json:"newest"`
}

// recordByName serves the version of one record in effect.
func (n *Node) recordByName(w http.ResponseWriter, r *http.Request, o operator.Operator) {
	k := config.Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	v := n.currentVersion(k)
	hidden := v != nil && !mayRead(o, *v)
	if r.URL.Query().Get("newest") != "" && !hidden {
		var out Newest
		n.config.View(func(s *config.State) { out.Newest = s.Newest(k) })
		jsonhttp.Write(w, http.StatusOK, out)
		return
	}
	if v == nil || hidden {
		jsonhttp.WriteError(w, http.StatusNotFound, fmt.Errorf("record %s is not in force", k))
		return
	}
	jsonhttp.Write(w, http.StatusOK, v)
}

// Watch is the body of GET /v1/watch.
type Watch struct {
	// Offset is the newest offset in effect; the next watch starts after it.
	Offset logsvc.Offset `json:"offset"`
	// Changed are the records that changed, in log order; deleted records are marked.
	Changed []config.Version `json:"changed"`
}

// watch waits until the configuration is newer than an offset, at most for maxWatch, and answers with the
// records that changed.
func (n *Node) watch(w http.ResponseWriter, r *http.Request, o operator.Operator) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, errors.New("after: must be an offset"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxWatch)
	defer cancel()
	n.config.Await(ctx, logsvc.Offset(after)+1)
	out := Watch{Changed: []config.Version{}}
	n.config.View(func(s *config.State) {
		out.Offset = s.Next() - 1
		for _, v := range s.ChangedSince(logsvc.Offset(after)) {
			if mayRead(o, v) {
				out.Changed = append(out.Changed, v)
			}
		}
	})
	jsonhttp.Write(w, http.StatusOK, out)
}

const (
	defaultAuditLines = 100
	maxAuditLines     = 1000
	auditTimeout      = 10 * time.Second
)

// auditTrail serves the newest audit lines that match the query.
func (n *Node) auditTrail(w http.ResponseWriter, r *http.Request, o operator.Operator) {
	if !o.Has(operator.Read) {
		writeForbidden(w, o, "read the audit trail")
		return
	}
	q := r.URL.Query()
	var l finding.List
	f := audit.Filter{
		Who: q.Get("who"), Name: q.Get("name"), Action: q.Get("action"), Workspaces: o.VisibleWorkspaces(),
		Since: queryTime(&l, q.Get("since"), "since"), Until: queryTime(&l, q.Get("until"), "until"),
	}
	limit := defaultAuditLines
	if text := q.Get("limit"); text != "" {
		var err error
		if limit, err = strconv.Atoi(text); err != nil || limit < 1 || limit > maxAuditLines {
			l.Add("limit", text, "must be from 1 to %d", maxAuditLines)
		}
	}
	if err := l.Err(); err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), auditTimeout)
	defer cancel()
	lines, err := audit.Search(ctx, n.ports.Log, f, limit)
	if err != nil && !errors.Is(err, audit.ErrPartial) {
		jsonhttp.WriteError(w, http.StatusServiceUnavailable, err)
		return
	}
	jsonhttp.Write(w, http.StatusOK, lines)
}

// queryTime parses a time in a query; it returns the zero time for an empty one.
func queryTime(l *finding.List, text, name string) time.Time {
	if text == "" {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		l.Add(name, text, "must be a time such as 2026-01-31T08:00:00Z")
	}
	return t
}
