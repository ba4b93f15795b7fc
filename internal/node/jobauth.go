package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// operatorKey is the context key for the operator who sent a request.
type operatorKey struct{}

// withOperator wraps a job handler and puts the operator into the request's context. A request without a
// known token is answered 401 with the outcome not-run.
func (n *Node) withOperator(h http.HandlerFunc) http.HandlerFunc {
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

// mayAccessJobs reports whether the operator of a request holds a right on the jobs of a workspace.
func mayAccessJobs(ctx context.Context, right operator.Right, workspace string) bool {
	o, ok := ctx.Value(operatorKey{}).(operator.Operator)
	return ok && o.May(right, workspace)
}

// forbidden returns the answer to an operator who lacks a right on the jobs of a workspace.
func forbidden(right operator.Right, workspace string) jobAnswer {
	return failed(http.StatusForbidden, targetapi.NotRun, fmt.Errorf("the operator may not %s jobs of workspace %s", right, workspace))
}

// visibleJob returns an answer about a job if the operator of the request holds a right on it. Otherwise
// it answers that the job is unknown, so that job ids can't be probed.
func visibleJob(ctx context.Context, a jobAnswer, right operator.Right, id string) jobAnswer {
	if a.status != http.StatusOK {
		return a
	}
	var decoded struct {
		Workspace string `json:"workspace"`
		Task      struct {
			Workspace string `json:"workspace"`
		} `json:"task"`
	}
	if json.Unmarshal(a.body, &decoded) != nil || !mayAccessJobs(ctx, right, decoded.Workspace+decoded.Task.Workspace) {
		return unknownJob(id)
	}
	return a
}
