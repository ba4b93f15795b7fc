package claimrun

import (
	"context"
	"time"

	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/claim"
	"github.com/crocusspring/crocusspring/internal/dispatch"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

const (
	// onTheWay is how long the outcome of a claim whose owner can't be reached may still come by the log.
	onTheWay = 100 * time.Millisecond
	// releaseRetry is when a caller may come back while the release of its key is on its way to the log.
	releaseRetry = 100 * time.Millisecond
	// maxOutcomeWait bounds how long a peer waits for an outcome on behalf of another.
	maxOutcomeWait = 10 * time.Second
)

// attach returns the outcome of a request that another caller with the same key brought first.
func (k *Keeper) attach(ctx context.Context, q Request, l *local, s claim.State) dispatch.Reply {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	if l != nil {
		select {
		case <-l.done:
			return l.reply
		case <-ctx.Done():
			return unknown("the request with this key is still in progress")
		}
	}
	if s.Outcome == "" && s.Owner != k.self {
		if r, ok := k.ask(ctx, s); ok {
			return r
		}
		return k.replyByLog(ctx, s)
	}
	return k.replyOf(s)
}

// replyOf returns the reply to a caller whose key has this state.
func (k *Keeper) replyOf(s claim.State) dispatch.Reply {
	k.mu.Lock()
	given := k.given[s.ID]
	k.mu.Unlock()
	switch {
	case given:
		return refused(errReleased, releaseRetry)
	case s.Outcome == targetapi.Answered && s.Answer != nil:
		return dispatch.Reply{Outcome: targetapi.Answered, Answer: *s.Answer}
	case s.Outcome == targetapi.Answered:
		return unknown("the request was answered, but the answer is no longer kept")
	case s.Outcome == targetapi.NotRun:
		return refused(errRefused, 0)
	case s.Outcome == targetapi.Unknown:
		return unknown("the outcome of the request with this key is unknown")
	}
	return unknown("the process that ran the request with this key can't tell its outcome")
}

// ask asks the owner of a claim. It reports false when the owner did not tell.
func (k *Keeper) ask(ctx context.Context, s claim.State) (dispatch.Reply, bool) {
	left := time.Second
	if d, ok := ctx.Deadline(); ok {
		left = time.Until(d)
	}
	resp, err := k.peers.CallOutcome(ctx, s.Owner, &peerv1.OutcomeRequest{Key: string(s.Key), WaitMs: left.Milliseconds() * 9 / 10})
	if err != nil || !resp.Known || resp.Outcome == "" {
		return dispatch.Reply{}, false
	}
	return dispatch.Reply{
		Outcome: targetapi.Outcome(resp.Outcome), Reason: resp.Reason,
		Answer: targetapi.Answer{Status: int(resp.Status), ContentType: resp.ContentType, Body: resp.Body},
	}, true
}

// replyByLog waits a little for what became of a claim to come by the log.
func (k *Keeper) replyByLog(ctx context.Context, s claim.State) dispatch.Reply {
	ctx, cancel := context.WithTimeout(ctx, onTheWay)
	defer cancel()
	for {
		k.mu.Lock()
		cur, _ := k.fold.Get(s.Key)
		released, grown := k.fold.GivenUp(s.ID), k.grown
		k.mu.Unlock()
		if released && cur.ID == "" {
			return refused(errReleased, releaseRetry)
		}
		if released {
			// Another claim has taken the key since; its outcome is the one to tell.
			s = cur
		}
		if cur.ID == s.ID && cur.Outcome != "" {
			return k.replyOf(cur)
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return k.replyOf(s)
		}
	}
}

const (
	// errReleased says that a claim was given up before anything was sent.
	errReleased = "the request with this key did not run"
	// errRefused says that the request of a key was refused, which is final for the key.
	errRefused = "the request with this key was refused and did not run; come again with a new key"
)

// Outcome answers a peer that asks for the outcome of a claim of this process.
func (k *Keeper) Outcome(ctx context.Context, r *peerv1.OutcomeRequest) *peerv1.OutcomeResponse {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxOutcomeWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	key := claim.Key(r.Key)
	k.mu.Lock()
	l := k.local[key]
	k.mu.Unlock()
	if l != nil {
		select {
		case <-l.done:
			return response(l.reply)
		case <-ctx.Done():
			return &peerv1.OutcomeResponse{Known: true}
		}
	}
	k.mu.Lock()
	s, ok := k.fold.Get(key)
	given, sure := k.given[s.ID], k.tail && k.fold.Whole()
	k.mu.Unlock()
	if !ok {
		return &peerv1.OutcomeResponse{Sure: sure}
	}
	if s.Outcome == "" && !given {
		return &peerv1.OutcomeResponse{}
	}
	return response(k.replyOf(s))
}

// response returns the wire form of a reply.
func response(r dispatch.Reply) *peerv1.OutcomeResponse {
	return &peerv1.OutcomeResponse{
		Known: true, Outcome: string(r.Outcome), Reason: r.Reason,
		Status: int32(r.Answer.Status), ContentType: r.Answer.ContentType, Body: r.Answer.Body,
	}
}

// Lookup returns the outcome of a key for a caller that asks for it: the reply, whether the key is
// known, and whether its request is still in progress here.
func (k *Keeper) Lookup(ctx context.Context, workspace, service, name string) (r dispatch.Reply, known, open bool) {
	key := claim.NewKey(workspace, service, name)
	k.mu.Lock()
	l := k.local[key]
	s, ok := k.fold.Get(key)
	k.mu.Unlock()
	if l != nil {
		return dispatch.Reply{}, true, true
	}
	if !ok {
		return dispatch.Reply{}, false, false
	}
	if s.Outcome == "" && s.Owner != k.self {
		resp, err := k.peers.CallOutcome(ctx, s.Owner, &peerv1.OutcomeRequest{Key: string(key)})
		switch {
		case err == nil && resp.Known && resp.Outcome == "":
			return dispatch.Reply{}, true, true
		case err == nil && resp.Known:
			return dispatch.Reply{
				Outcome: targetapi.Outcome(resp.Outcome), Reason: resp.Reason,
				Answer: targetapi.Answer{Status: int(resp.Status), ContentType: resp.ContentType, Body: resp.Body},
			}, true, false
		}
		return k.replyByLog(ctx, s), true, false
	}
	return k.replyOf(s), true, false
}
