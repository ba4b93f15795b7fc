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
	// logOutcomeWait is how long to wait for the outcome of a claim on the log if its owner can't be reached.
	logOutcomeWait = 100 * time.Millisecond
	// releaseRetryAfter is when a caller may retry while the release of its key is being appended to the log.
	releaseRetryAfter = 100 * time.Millisecond
	// maxOutcomeWait bounds how long this process waits for an outcome that a peer requested.
	maxOutcomeWait = 10 * time.Second
)

// attach returns the outcome of a request that another caller with the same key sent first.
func (k *KeyRunner) attach(ctx context.Context, q Request, l *localRequest, s claim.State) dispatch.Reply {
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
		if r, ok := k.queryOwner(ctx, s); ok {
			return r
		}
		return k.replyFromLog(ctx, s)
	}
	return k.replyFor(s)
}

// replyFor returns the reply to a caller for the folded state of its key.
func (k *KeyRunner) replyFor(s claim.State) dispatch.Reply {
	k.mu.Lock()
	releasing := k.releasing[s.ID]
	k.mu.Unlock()
	switch {
	case releasing:
		return refused(reasonReleased, releaseRetryAfter)
	case s.Outcome == targetapi.Answered && s.Answer != nil:
		return dispatch.Reply{Outcome: targetapi.Answered, Answer: *s.Answer}
	case s.Outcome == targetapi.Answered:
		return unknown("the request was answered, but the answer is no longer kept")
	case s.Outcome == targetapi.NotRun:
		return refused(reasonRefused, 0)
	case s.Outcome == targetapi.Unknown:
		return unknown("the outcome of the request with this key is unknown")
	}
	return unknown("the process that ran the request with this key can't tell its outcome")
}

// queryOwner requests the outcome of a claim from its owner. It returns false if the owner did not report one.
func (k *KeyRunner) queryOwner(ctx context.Context, s claim.State) (dispatch.Reply, bool) {
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

// replyFromLog waits up to logOutcomeWait until the outcome or the release of a claim is read from the log.
func (k *KeyRunner) replyFromLog(ctx context.Context, s claim.State) dispatch.Reply {
	ctx, cancel := context.WithTimeout(ctx, logOutcomeWait)
	defer cancel()
	for {
		k.mu.Lock()
		cur, _ := k.fold.Get(s.Key)
		released, changed := k.fold.IsReleased(s.ID), k.changed
		k.mu.Unlock()
		if released && cur.ID == "" {
			return refused(reasonReleased, releaseRetryAfter)
		}
		if released {
			// Another claim holds the key by now; its outcome is the one to report.
			s = cur
		}
		if cur.ID == s.ID && cur.Outcome != "" {
			return k.replyFor(cur)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return k.replyFor(s)
		}
	}
}

const (
	// reasonReleased means that a claim was released before the request was sent to a target.
	reasonReleased = "the request with this key did not run"
	// reasonRefused means that the request of a key was refused, which is final for the key.
	reasonRefused = "the request with this key was refused and did not run; come again with a new key"
)

// Outcome answers a peer's query for the outcome of a claim of this process.
func (k *KeyRunner) Outcome(ctx context.Context, r *peerv1.OutcomeRequest) *peerv1.OutcomeResponse {
	wait := min(time.Duration(r.WaitMs)*time.Millisecond, maxOutcomeWait)
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	key := claim.Key(r.Key)
	k.mu.Lock()
	l := k.inProgress[key]
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
	releasing, sure := k.releasing[s.ID], k.caughtUp && k.fold.Complete()
	k.mu.Unlock()
	if !ok {
		return &peerv1.OutcomeResponse{Sure: sure}
	}
	if s.Outcome == "" && !releasing {
		return &peerv1.OutcomeResponse{}
	}
	return response(k.replyFor(s))
}

// response converts a reply to its wire form.
func response(r dispatch.Reply) *peerv1.OutcomeResponse {
	return &peerv1.OutcomeResponse{
		Known: true, Outcome: string(r.Outcome), Reason: r.Reason,
		Status: int32(r.Answer.Status), ContentType: r.Answer.ContentType, Body: r.Answer.Body,
	}
}

// Lookup returns the outcome of a key for a caller that queries it: the reply, whether the key is known,
// and whether its request is still in progress in this process or at the owner of the claim.
func (k *KeyRunner) Lookup(ctx context.Context, workspace, service, name string) (r dispatch.Reply, known, open bool) {
	key := claim.NewKey(workspace, service, name)
	k.mu.Lock()
	l := k.inProgress[key]
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
		return k.replyFromLog(ctx, s), true, false
	}
	return k.replyFor(s), true, false
}
