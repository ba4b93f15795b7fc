package node

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/api/peer/v1/peerv1connect"
	"github.com/crocusspring/crocusspring/internal/cell"
	"github.com/crocusspring/crocusspring/internal/lease"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// cellService answers the promise requests of other candidates for this node's cells.
type cellService struct{ n *Node }

// Promise implements the peer service.
func (s cellService) Promise(_ context.Context, r *connect.Request[peerv1.PromiseRequest]) (*connect.Response[peerv1.PromiseResponse], error) {
	out := &peerv1.PromiseResponse{}
	if d := s.n.cells[r.Msg.Cell]; d != nil && !s.n.lifecycle.Leaving() {
		request := lease.PromiseRequest{Holder: r.Msg.Holder, Epoch: logsvc.Offset(r.Msg.Epoch), Last: logsvc.Offset(r.Msg.Last)}
		d.View(func(c *cell.Core) { out.Candidate, out.Given = c.Promise(time.Now(), request) })
	}
	return connect.NewResponse(out), nil
}

// RequestPromises implements cellrun.Peers. It queries all known processes in parallel and returns the candidates
// that answered and those among them that gave their promise.
func (n *Node) RequestPromises(ctx context.Context, cellName string, a lease.PromiseRequest) (answered, granted []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range n.members.Processes() {
		if p.Id == n.opt.ID || p.Address == "" {
			continue
		}
		wg.Go(func() {
			r, err := requestPromise(ctx, n.jobClient, "http://"+p.Address, cellName, a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || r.Candidate == "" {
				return
			}
			answered = append(answered, r.Candidate)
			if r.Given {
				granted = append(granted, r.Candidate)
			}
		})
	}
	wg.Wait()
	return answered, granted
}

// requestPromise requests the promise of one process.
func requestPromise(ctx context.Context, client *http.Client, url, cellName string, a lease.PromiseRequest) (*peerv1.PromiseResponse, error) {
	req := &peerv1.PromiseRequest{Cell: cellName, Holder: a.Holder, Epoch: int64(a.Epoch), Last: int64(a.Last)}
	resp, err := peerv1connect.NewCellServiceClient(client, url).Promise(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
