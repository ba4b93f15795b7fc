package members

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
)

// Services are what a process does for its peers besides the exchange; each may be nil.
type Services struct {
	// Borrow lends slots.
	Borrow func(*peerv1.BorrowRequest) *peerv1.BorrowResponse
	// Outcome tells the outcome of a request by key.
	Outcome func(context.Context, *peerv1.OutcomeRequest) *peerv1.OutcomeResponse
}

// errNoService says that this process does not do what was asked.
var errNoService = errors.New("not served by this process")

// Provide sets the services. It is called before Run and before the first request is served.
func (m *Members) Provide(s Services) { m.services = s }

// Borrow implements the peer service.
func (m *Members) Borrow(_ context.Context, r *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	if m.services.Borrow == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoService)
	}
	return connect.NewResponse(m.services.Borrow(r.Msg)), nil
}

// Outcome implements the peer service.
func (m *Members) Outcome(ctx context.Context, r *connect.Request[peerv1.OutcomeRequest]) (*connect.Response[peerv1.OutcomeResponse], error) {
	if m.services.Outcome == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNoService)
	}
	return connect.NewResponse(m.services.Outcome(ctx, r.Msg)), nil
}

// CallBorrow asks the process at an address for slots.
func (m *Members) CallBorrow(ctx context.Context, addr string, r *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := m.at(addr).client.Borrow(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// CallOutcome asks the process at an address for an outcome.
func (m *Members) CallOutcome(ctx context.Context, addr string, r *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
	resp, err := m.at(addr).client.Outcome(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// at returns the peer at an address.
func (m *Members) at(addr string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peer(addr)
}
