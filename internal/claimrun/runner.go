// Package claimrun runs requests with an idempotency key at most once: it claims the key on the log,
// runs the request if the claim won, and publishes the outcome to the log.
package claimrun

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	peerv1 "github.com/crocusspring/crocusspring/api/peer/v1"
	"github.com/crocusspring/crocusspring/internal/claim"
	"github.com/crocusspring/crocusspring/internal/dispatch"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

const (
	// notReadRetryAfter is when a caller may retry if the claims on the log have not been read yet.
	notReadRetryAfter = 500 * time.Millisecond
	// logRetryAfter is when a caller may retry after the log refused a claim or did not settle it in time.
	logRetryAfter = time.Second
	// publishTimeout bounds one attempt to publish records, and the initial read of the log.
	publishTimeout = 5 * time.Second
	// publishRetryInterval is the time between two attempts to publish records.
	publishRetryInterval = 500 * time.Millisecond
	// publishDelay is how long outcomes and releases are collected for one append.
	publishDelay = 50 * time.Millisecond
	// maxPublishTime is how long publishing outcomes and releases is retried.
	maxPublishTime = time.Hour
	// maxPublishedBytes is the largest answer body that is published; only the owner keeps a larger one.
	maxPublishedBytes = 64 << 10
	// snapshotEvery is the number of log entries after which a snapshot is written.
	snapshotEvery = 5000
	// initialReadEntries is the largest number of entries that are read before waiting for new ones.
	initialReadEntries = 500
	// expireInterval is the time between two removals of expired keys.
	expireInterval = time.Minute
	// minSnapshotAge is the lower bound of Options.SnapshotAge; it limits how often snapshots are written.
	minSnapshotAge = 500 * time.Millisecond
)

// Peers queries other processes for the outcome of a claim.
type Peers interface {
	CallOutcome(ctx context.Context, addr string, r *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error)
}

// Request is a request with an idempotency key.
type Request struct {
	Workspace, Service, Key string
	Body                    []byte
	Deadline                time.Time
}

// KeyRunner runs requests with idempotency keys and keeps the fold of claims up to date from the log. Use
// New to make one.
type KeyRunner struct {
	log   logsvc.Client
	peers Peers
	self  string
	// others are the addresses of all other processes that claim keys.
	others []string
	lg     *log.Logger

	mu                   sync.Mutex
	fold                 *claim.Fold
	next                 logsvc.Offset // offset of the next entry to fold
	first                logsvc.Offset // offset of the first entry read, since the last gap
	caughtUp             bool          // the tail of the stream was reached once
	entriesSinceSnapshot int           // entries folded since the newest snapshot was written or read
	// maxSnapshotAge is how old the newest snapshot may become while keys are kept; snapshotSeenAt is when one
	// was last read, or written by this process.
	maxSnapshotAge time.Duration
	snapshotSeenAt time.Time
	snapshotParts  []claim.Snapshot // parts of the snapshot that is being read
	changed        chan struct{}    // closed and replaced after entries were folded
	// rewind cancels the current read, so that the reader restarts at next.
	rewind     context.CancelFunc
	inProgress map[claim.Key]*localRequest // requests in progress in this process
	// releasing holds the claims of this process whose release is not folded yet. The fold itself is not
	// changed before that, so that every process decides the next claim of the key alike.
	releasing map[string]bool
	// runCtx is cancelled when Run returns; nothing is published after that.
	runCtx    context.Context
	cancelRun context.CancelFunc
	// outbox holds records to be published in the next append.
	outbox []json.RawMessage
	// unpublished counts the batches of outcomes and releases that are not on the log yet.
	unpublished sync.WaitGroup
}

// localRequest is a request with a key that is in progress in this process; done is closed once reply is set.
type localRequest struct {
	fingerprint string
	done        chan struct{}
	reply       dispatch.Reply
}

// Options are the settings of a KeyRunner.
type Options struct {
	// Self is the address of this process, Others those of all other processes that claim keys.
	Self   string
	Others []string
	// SnapshotAge is how old the newest snapshot on the log may become; it must be well below the log's
	// retention time.
	SnapshotAge time.Duration
}

// New returns a KeyRunner; call Run to start it.
func New(lc logsvc.Client, p Peers, o Options, lg *log.Logger) *KeyRunner {
	runCtx, cancelRun := context.WithCancel(context.Background())
	return &KeyRunner{
		runCtx: runCtx, cancelRun: cancelRun, log: lc, peers: p, self: o.Self, others: o.Others, maxSnapshotAge: o.SnapshotAge, lg: lg, fold: claim.NewFold(), next: 1, first: 1,
		changed: make(chan struct{}), inProgress: map[claim.Key]*localRequest{}, releasing: map[string]bool{},
	}
}

// refused returns the reply to a request that certainly did not run.
func refused(reason string, after time.Duration) dispatch.Reply {
	return dispatch.Reply{Outcome: targetapi.NotRun, Reason: reason, RetryAfter: after}
}

// unknown returns the reply to a request that may have run.
func unknown(reason string) dispatch.Reply {
	return dispatch.Reply{Outcome: targetapi.Unknown, Reason: reason}
}

// ErrOtherRequest is returned if a key was used for a request with another body.
var ErrOtherRequest = errors.New("the key was used for another request")

// reasonTooOld means that a key is older than keys are kept, so that it may have been run before.
const reasonTooOld = "the key is older than keys are remembered"

// Do runs a request at most once across all processes and restarts, or attaches to the run of another
// caller with the same key.
func (k *KeyRunner) Do(ctx context.Context, q Request, run func() dispatch.Reply) (dispatch.Reply, error) {
	key, fingerprint := claim.NewKey(q.Workspace, q.Service, q.Key), claim.Fingerprint(q.Body)
	if at, ok := claim.TimeOf(q.Key); ok && time.Since(at) > claim.TTL-claim.MaxClockSkew {
		return unknown(reasonTooOld), nil
	}
	k.mu.Lock()
	l, s, found := k.inProgress[key], claim.State{}, false
	if l == nil {
		s, found = k.fold.Get(key)
	}
	if l != nil && l.fingerprint != fingerprint || found && s.Fingerprint != fingerprint {
		k.mu.Unlock()
		return refused(ErrOtherRequest.Error(), 0), ErrOtherRequest
	}
	if l != nil || found {
		k.mu.Unlock()
		return k.attach(ctx, q, l, s), nil
	}
	if !k.caughtUp || !k.fold.Covers(q.Key) {
		k.mu.Unlock()
		r := unknown("the claims on the log have not been read yet")
		r.RetryAfter = notReadRetryAfter
		return r, nil
	}
	l = &localRequest{fingerprint: fingerprint, done: make(chan struct{})}
	k.inProgress[key] = l
	k.mu.Unlock()
	l.reply = k.claim(ctx, q, key, fingerprint, run)
	close(l.done)
	k.mu.Lock()
	delete(k.inProgress, key)
	k.mu.Unlock()
	return l.reply, nil
}

// claim appends a claim and runs the request if the claim won.
func (k *KeyRunner) claim(ctx context.Context, q Request, key claim.Key, fingerprint string, run func() dispatch.Reply) dispatch.Reply {
	c := claim.Claim{Key: key, ID: record.NewID(), Owner: k.self, Fingerprint: fingerprint, At: time.Now().UnixMilli()}
	wait, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.Deadline)
	defer cancel()
	k.mu.Lock()
	k.fold.Await(c.ID)
	k.mu.Unlock()
	defer k.stopAwaiting(c.ID)
	err := k.append(wait, c.ID, record.KindClaim, c)
	if errors.Is(err, logsvc.ErrRefused) {
		return k.refuse(key, "the log takes no claims now")
	}
	switch k.verdict(wait, c.ID) {
	case claim.Pending, claim.Void:
		k.release(c)
		return k.refuse(key, "the claim was not settled in time")
	case claim.Lost:
		return k.attachLost(ctx, q, key, fingerprint)
	}
	r := run()
	k.settle(c, r)
	return r
}

// stopAwaiting drops the verdict on a claim.
func (k *KeyRunner) stopAwaiting(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fold.StopAwaiting(id)
}

// attachLost attaches to the claim that won against this process's claim.
func (k *KeyRunner) attachLost(ctx context.Context, q Request, key claim.Key, fingerprint string) dispatch.Reply {
	k.mu.Lock()
	s, ok := k.fold.Get(key)
	k.mu.Unlock()
	switch {
	case !ok:
		return k.refuse(key, "the claim of this request lost")
	case s.Fingerprint != fingerprint:
		return refused(ErrOtherRequest.Error(), 0)
	}
	return k.attach(ctx, q, nil, s)
}

// verdict waits for the verdict on a claim; it returns claim.Pending if ctx ends first.
func (k *KeyRunner) verdict(ctx context.Context, id string) claim.Verdict {
	for {
		k.mu.Lock()
		v, changed := k.fold.Verdict(id), k.changed
		k.mu.Unlock()
		if v != claim.Pending {
			return v
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return claim.Pending
		}
	}
}

// release releases a claim whose request did not run and will not run.
func (k *KeyRunner) release(c claim.Claim) {
	k.mu.Lock()
	k.releasing[c.ID] = true
	k.mu.Unlock()
	k.publish(c.ID+"-release", record.KindRelease, claim.Release{Key: c.Key, ID: c.ID})
}

// settle folds the outcome of a claim of this process and publishes it. A key that was refused stays
// refused: another copy of the request may be in transit, and must not run after this one was reported as
// not run.
func (k *KeyRunner) settle(c claim.Claim, r dispatch.Reply) {
	o := claim.Outcome{Key: c.Key, ID: c.ID, Outcome: r.Outcome}
	if r.Outcome == targetapi.Answered {
		o.Answer = &r.Answer
	}
	k.mu.Lock()
	k.fold.Settled(o)
	k.mu.Unlock()
	if o.Answer != nil && len(o.Answer.Body) > maxPublishedBytes {
		o.Answer = nil
	}
	k.publish(c.ID+"-outcome", record.KindOutcome, o)
}
