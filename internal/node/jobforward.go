package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/netdial"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// forwardTimeout is the timeout of a call to the owner of a cell.
const forwardTimeout = 6 * time.Second

// jobService serves job operations that other processes forward.
type jobService struct{ n *Node }

// Do implements the job service. It never forwards an operation, so that none can loop between processes.
func (s jobService) Do(ctx context.Context, r *connect.Request[peerv1.DoRequest]) (*connect.Response[peerv1.DoResponse], error) {
	var op jobOp
	if err := json.Unmarshal(r.Msg.Operation, &op); err != nil || op.Verb == verbSubmit && op.Submit == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("decode operation: %w", err))
	}
	a := s.n.doJobHere(ctx, op)
	return connect.NewResponse(&peerv1.DoResponse{Status: int32(a.status), Outcome: string(a.outcome), Body: a.body}), nil
}

// jobClients returns the HTTP client for calls to the owners of cells.
func jobClients(dial netdial.Func) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: netdial.FirstNonNil(time.Second, dial), MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute,
	}}
}

// forwardJob runs an operation at the owner of its cell.
func (n *Node) forwardJob(ctx context.Context, op jobOp) jobAnswer {
	if a, ok := n.tryForward(ctx, op); ok {
		return a
	}
	return failed(http.StatusServiceUnavailable, targetapi.NotRun, fmt.Errorf("no owner of cell %s is known", op.Cell))
}

// tryForward runs an operation at the owner of its cell. It reports false when no owner is known, or when
// the call of an operation that changes nothing failed.
func (n *Node) tryForward(ctx context.Context, op jobOp) (jobAnswer, bool) {
	addr := n.ownerOf(op.Cell)
	if addr == "" {
		return jobAnswer{}, false
	}
	data, err := json.Marshal(op)
	if err != nil {
		return failed(http.StatusInternalServerError, targetapi.NotRun, err), true
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	c := peerv1connect.NewJobServiceClient(n.jobClient, "http://"+addr)
	resp, err := c.Do(ctx, connect.NewRequest(&peerv1.DoRequest{Operation: data}))
	if err != nil {
		changes := op.Verb == verbSubmit || op.Verb == verbCancel
		return failed(http.StatusBadGateway, targetapi.Unknown, fmt.Errorf("owner of cell %s: %w", op.Cell, err)), changes
	}
	return jobAnswer{int(resp.Msg.Status), targetapi.Outcome(resp.Msg.Outcome), resp.Msg.Body}, true
}

// ownerOf returns the address of another process that reports it owns a cell; empty for none.
func (n *Node) ownerOf(cellName string) string {
	for _, p := range n.members.Processes() {
		if p.Id != n.opt.ID && slices.Contains(p.Cells, cellName) {
			return p.Address
		}
	}
	return ""
}
