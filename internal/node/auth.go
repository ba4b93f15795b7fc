package node

import (
	"fmt"
	"net/http"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/tlsconf"
)

// authenticated wraps an operator handler: it answers 401 to a request that identifies no operator.
func (n *Node) authenticated(h func(http.ResponseWriter, *http.Request, operator.Operator)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := n.operators().Identify(r.Header.Get("Authorization"))
		if err != nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			jsonhttp.WriteError(w, http.StatusUnauthorized, err)
			return
		}
		h(w, r, o)
	}
}

// operators returns the operators of the installation; nil when none are configured.
func (n *Node) operators() operator.List {
	if n.opt.Operators == nil {
		return nil
	}
	return n.opt.Operators.List()
}

// mayRead reports whether an operator may see a record.
func mayRead(o operator.Operator, v config.Version) bool {
	return o.May(operator.Read, v.Owner())
}

// mayChange reports whether an operator may publish a proposal, given the version in effect, if any.
// Weights and quotas divide the platform's resources, so only an operator with the platform right may
// change a workspace's own record.
func mayChange(o operator.Operator, p config.Proposal, cur *config.Version) bool {
	if !o.May(operator.Change, p.Workspace) {
		return false
	}
	if p.Kind == config.KindWorkspace && !o.Has(operator.Platform) {
		return false
	}
	return cur == nil || o.May(operator.Change, cur.Owner())
}

// verifiedPeers wraps a handler so that, when TLS is configured, it serves only processes that present a
// certificate of the installation.
func (n *Node) verifiedPeers(h http.Handler) http.Handler {
	if n.opt.TLS == nil {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !tlsconf.Verified(r.TLS) {
			http.Error(w, "a certificate of the installation is needed", http.StatusForbidden)
			return
		}
		h.ServeHTTP(w, r)
	})
}

// writeForbidden answers 403 to an operator who lacks a right.
func writeForbidden(w http.ResponseWriter, o operator.Operator, action string) {
	jsonhttp.WriteError(w, http.StatusForbidden, fmt.Errorf("operator %s may not %s", o.Name, action))
}
