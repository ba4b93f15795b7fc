package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// operatorKey is the context key of the operator who sent a request.
type operatorKey struct{}

// asOperator wraps a handler of jobs: the operator stands in the request's context. A request without
// a token that is known did not run.
func (n *Node) asOperator(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		o, err := n.operators().Identify(r.Header.Get("Authorization"))
		if err != nil {
			w.Header().Set("WWW-Authenticate", "Bearer")
			failed(http.StatusUnauthorized, targetapi.NotRun, err).write(w)
			return
		}
		h(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, o)))
	}
}

// mayJobs reports whether the operator of a request holds a right on the jobs of a workspace.
func mayJobs(ctx context.Context, right operator.Right, workspace string) bool {
	o, ok := ctx.Value(operatorKey{}).(operator.Operator)
	return ok && o.May(right, workspace)
}

// notYours is the answer to an operator who lacks a right on the jobs of a workspace.
func notYours(right operator.Right, workspace string) jobAnswer {
	return failed(http.StatusForbidden, targetapi.NotRun, fmt.Errorf("the operator may not %s jobs of workspace %s", right, workspace))
}

// visibleJob returns an answer about a job when the operator of the request holds a right on it. To
// others the job is unknown, so that ids can't be probed.
func visibleJob(ctx context.Context, a jobAnswer, right operator.Right, id string) jobAnswer {
	if a.status != http.StatusOK {
		return a
	}
	var of struct {
		Workspace string `json:"workspace"`
		Task      struct {
			Workspace string `json:"workspace"`
		} `json:"task"`
	}
	if json.Unmarshal(a.body, &of) != nil || !mayJobs(ctx, right, of.Workspace+of.Task.Workspace) {
		return unknownJob(id)
	}
	return a
}
