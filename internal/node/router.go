package node

import (
	"context"
	"sync"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/members"
	"github.com/crocusspring/crocusspring/internal/route"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// router sends requests to targets as the route table decides.
type router struct {
	mu         sync.Mutex
	table      *route.Table
	members    *members.Members
	caller     targetapi.Caller
	dataCentre string
}

// send runs one request. Its error is a *targetapi.NotRunError or *targetapi.UnknownError.
func (r *router) send(ctx context.Context, c targetapi.Call) (targetapi.Answer, error) {
	r.mu.Lock()
	m, ok := r.table.Pick(time.Now(), c.Service, r.dataCentre, r.members.Live(announce.RoleTarget))
	r.mu.Unlock()
	if !ok {
		return targetapi.Answer{}, &targetapi.NotRunError{Reason: "no free slot at any target of the service"}
	}
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.table.Done(m.Name)
	}()
	return r.caller.Call(ctx, m.Address, c)
}

// inProgress returns how many requests are at targets now.
func (r *router) inProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Active()
}
