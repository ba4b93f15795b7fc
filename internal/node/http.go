package node

import (
	"io"
	"net/http"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
)

// maxRequestBody is the maximum size of a request body, in bytes.
const maxRequestBody = 1 << 20

// routes registers the HTTP routes of callers, operators, targets and workers.
func (n *Node) routes(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", n.readyz)
	mux.HandleFunc("POST /v1/announce", n.announce)
	mux.HandleFunc("GET /v1/status", n.status)
	n.callRoutes(mux)
	n.jobRoutes(mux)
	n.recordRoutes(mux)
}

// readyz answers 200 when the node is ready to receive requests, else 503.
func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// announce serves the announcement of a target or worker.
func (n *Node) announce(w http.ResponseWriter, r *http.Request) {
	var a announce.Announcement
	if err := jsonhttp.Read(w, r, maxRequestBody, jsonhttp.MaxValues, &a); err != nil {
		jsonhttp.ReadError(w, err)
		return
	}
	if err := a.Check(); err != nil {
		jsonhttp.WriteError(w, http.StatusBadRequest, err)
		return
	}
	n.members.Announce(a)
	w.WriteHeader(http.StatusNoContent)
}
