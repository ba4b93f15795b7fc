package members

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
)

// Services are the calls that a process serves to its peers besides the exchange; each may be nil.
type Services struct {
	// Borrow lends slots to a peer.
	Borrow func(*peerv1.BorrowRequest) *peerv1.BorrowResponse
	// Outcome returns the outcome of the request with an idempotency key.
	Outcome func(context.Context, *peerv1.OutcomeRequest) *peerv1.OutcomeResponse
}

// errNotServed means that this process does not serve the call.
var errNotServed = errors.New("not served by this process")

// SetServices sets the services. It is called before Run and before the first request is served.
func (m *Members) SetServices(s Services) { m.services = s }

// Borrow implements the peer service.
func (m *Members) Borrow(_ context.Context, r *connect.Request[peerv1.BorrowRequest]) (*connect.Response[peerv1.BorrowResponse], error) {
	if m.services.Borrow == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNotServed)
	}
	return connect.NewResponse(m.services.Borrow(r.Msg)), nil
}

// Outcome implements the peer service.
func (m *Members) Outcome(ctx context.Context, r *connect.Request[peerv1.OutcomeRequest]) (*connect.Response[peerv1.OutcomeResponse], error) {
	if m.services.Outcome == nil {
		return nil, connect.NewError(connect.CodeUnimplemented, errNotServed)
	}
	return connect.NewResponse(m.services.Outcome(ctx, r.Msg)), nil
}

// CallBorrow requests slots from the process at an address.
func (m *Members) CallBorrow(ctx context.Context, addr string, r *peerv1.BorrowRequest) (*peerv1.BorrowResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	resp, err := m.lookUpPeer(addr).client.Borrow(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// CallOutcome requests an outcome from the process at an address.
func (m *Members) CallOutcome(ctx context.Context, addr string, r *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error) {
	resp, err := m.lookUpPeer(addr).client.Outcome(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// lookUpPeer returns the peer at an address. It holds the lock during the lookup; callers that hold it
// already use peerAt.
func (m *Members) lookUpPeer(addr string) *peer {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.peerAt(addr)
}
