package node

import (
	"fmt"
	"net/http"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/tlsconf"
)

// authenticated wraps a handler of operators: it answers 401 to who is none.
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

// operators returns the operators of the installation.
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

// mayChange reports whether an operator may publish a proposal, given the version in force, if any.
// Weights and quotas divide the platform, so a workspace's own record is changed by the platform alone.
func mayChange(o operator.Operator, p config.Proposal, cur *config.Version) bool {
	if !o.May(operator.Change, p.Workspace) {
		return false
	}
	if p.Kind == config.KindWorkspace && !o.Has(operator.Platform) {
		return false
	}
	return cur == nil || o.May(operator.Change, cur.Owner())
}

// verifiedPeers lets only processes with a certificate of the installation through, when TLS is set.
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

// notAllowed answers that an operator lacks a right.
func notAllowed(w http.ResponseWriter, o operator.Operator, what string) {
	jsonhttp.WriteError(w, http.StatusForbidden, fmt.Errorf("operator %s may not %s", o.Name, what))
}
