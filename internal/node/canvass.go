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

// cellService answers other candidates for the cells of this node.
type cellService struct{ n *Node }

// Promise implements the peer service.
func (s cellService) Promise(_ context.Context, r *connect.Request[peerv1.PromiseRequest]) (*connect.Response[peerv1.PromiseResponse], error) {
	out := &peerv1.PromiseResponse{}
	if d := s.n.cells[r.Msg.Cell]; d != nil && !s.n.life.Leaving() {
		ask := lease.PromiseRequest{Holder: r.Msg.Holder, Epoch: logsvc.Offset(r.Msg.Epoch), Last: logsvc.Offset(r.Msg.Last)}
		d.View(func(c *cell.Core) { out.Candidate, out.Given = c.Promise(time.Now(), ask) })
	}
	return connect.NewResponse(out), nil
}

// RequestPromises implements cellrun.Peers: it asks every process that is known.
func (n *Node) RequestPromises(ctx context.Context, cellName string, a lease.PromiseRequest) (heard, given []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range n.members.Processes() {
		if p.Id == n.opt.ID || p.Address == "" {
			continue
		}
		wg.Go(func() {
			r, err := askWord(ctx, n.jobClient, "http://"+p.Address, cellName, a)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || r.Candidate == "" {
				return
			}
			heard = append(heard, r.Candidate)
			if r.Given {
				given = append(given, r.Candidate)
			}
		})
	}
	wg.Wait()
	return heard, given
}

// askWord asks one process.
func askWord(ctx context.Context, client *http.Client, url, cellName string, a lease.PromiseRequest) (*peerv1.PromiseResponse, error) {
	req := &peerv1.PromiseRequest{Cell: cellName, Holder: a.Holder, Epoch: int64(a.Epoch), Last: int64(a.Last)}
	resp, err := peerv1connect.NewCellServiceClient(client, url).Promise(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}
