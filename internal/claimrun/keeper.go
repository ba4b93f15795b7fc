// Package claimrun runs requests with an idempotency key at most once: it claims the key on the log,
// runs the request when the claim won, and publishes the outcome back.
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
	// notReadRetry is when a caller may come back before the claims on the log have been read.
	notReadRetry = 500 * time.Millisecond
	// logRetry is when a caller may come back after the log refused a claim.
	logRetry = time.Second
	// publishTimeout bounds one try to publish an outcome or a release.
	publishTimeout = 5 * time.Second
	// publishPause is the time between two tries.
	publishPause = 500 * time.Millisecond
	// publishEvery is how long outcomes wait for others to share an append.
	publishEvery = 50 * time.Millisecond
	// publishFor bounds how long an outcome is tried to be published.
	publishFor = time.Hour
	// maxPublished bounds the body of an answer that is published; a larger one stays with its owner.
	maxPublished = 64 << 10
	// snapshotEvery is how many records lie between two snapshots.
	snapshotEvery = 5000
	// firstRead is how many entries are read before new ones are waited for.
	firstRead = 500
	// expireEvery is the time between two looks for keys that are too old.
	expireEvery = time.Minute
	// leastSnapshotAge bounds how often snapshots are written.
	leastSnapshotAge = 500 * time.Millisecond
)

// Peers asks the owner of a claim for its outcome.
type Peers interface {
	CallOutcome(ctx context.Context, addr string, r *peerv1.OutcomeRequest) (*peerv1.OutcomeResponse, error)
}

// Request is a request with a key.
type Request struct {
	Workspace, Service, Key string
	Body                    []byte
	Deadline                time.Time
}

// Keeper is the shell around the fold of claims. Use New to make one.
type Keeper struct {
	log   logsvc.Client
	peers Peers
	self  string
	// others are the addresses of all other processes that claim keys.
	others []string
	lg     *log.Logger

	mu    sync.Mutex
	fold  *claim.Fold
	next  logsvc.Offset
	first logsvc.Offset
	tail  bool
	since int
	// snapshots is how old the newest snapshot may become while keys are kept, seen when that was read.
	snapshots time.Duration
	seen      time.Time
	parts     []claim.Snapshot
	grown     chan struct{}
	// rewind makes the reader start again at next.
	rewind context.CancelFunc
	local  map[claim.Key]*local
	// given holds the claims of this process whose release is not folded yet. The fold itself changes
	// by the log alone, so that every process judges the next claim of the key alike.
	given map[string]bool
	// life ends when Run does; then nothing is published any more.
	life   context.Context
	finish context.CancelFunc
	// outbox holds records that wait to be published together.
	outbox []json.RawMessage
	// publishing counts outcomes and releases that are not on the log yet.
	publishing sync.WaitGroup
}

// local is a request with a key that this process runs or waits for.
type local struct {
	fingerprint string
	done        chan struct{}
	reply       dispatch.Reply
}

// Options are the settings of a keeper.
type Options struct {
	// Self is the address of this process, Others those of all others that claim keys.
	Self   string
	Others []string
	// SnapshotAge is how old the newest snapshot on the log may become; it lies well inside the time the
	// log keeps records.
	SnapshotAge time.Duration
}

// New returns a keeper.
func New(lc logsvc.Client, p Peers, o Options, lg *log.Logger) *Keeper {
	life, finish := context.WithCancel(context.Background())
	return &Keeper{
		life: life, finish: finish, log: lc, peers: p, self: o.Self, others: o.Others, snapshots: o.SnapshotAge, lg: lg, fold: claim.NewFold(), next: 1, first: 1,
		grown: make(chan struct{}), local: map[claim.Key]*local{}, given: map[string]bool{},
	}
}

// refused returns the reply to a request that surely did not run.
func refused(reason string, after time.Duration) dispatch.Reply {
	return dispatch.Reply{Outcome: targetapi.NotRun, Reason: reason, RetryAfter: after}
}

// unknown returns the reply to a request that may have run.
func unknown(reason string) dispatch.Reply {
	return dispatch.Reply{Outcome: targetapi.Unknown, Reason: reason}
}

// ErrOtherRequest says that a key was used for a request with another body.
var ErrOtherRequest = errors.New("the key was used for another request")

// errTooOld says that a key is older than keys are remembered.
const errTooOld = "the key is older than keys are remembered"

// Do runs a request at most once over all processes and times, or attaches to the run of another
// caller with the same key.
func (k *Keeper) Do(ctx context.Context, q Request, run func() dispatch.Reply) (dispatch.Reply, error) {
	key, print := claim.NewKey(q.Workspace, q.Service, q.Key), claim.Fingerprint(q.Body)
	if at, ok := claim.TimeOf(q.Key); ok && time.Since(at) > claim.TTL-claim.Skew {
		return unknown(errTooOld), nil
	}
	k.mu.Lock()
	l, s, found := k.local[key], claim.State{}, false
	if l == nil {
		s, found = k.fold.Get(key)
	}
	if l != nil && l.fingerprint != print || found && s.Fingerprint != print {
		k.mu.Unlock()
		return refused(ErrOtherRequest.Error(), 0), ErrOtherRequest
	}
	if l != nil || found {
		k.mu.Unlock()
		return k.attach(ctx, q, l, s), nil
	}
	if !k.tail || !k.fold.Covers(q.Key) {
		k.mu.Unlock()
		r := unknown("the claims on the log have not been read yet")
		r.RetryAfter = notReadRetry
		return r, nil
	}
	l = &local{fingerprint: print, done: make(chan struct{})}
	k.local[key] = l
	k.mu.Unlock()
	l.reply = k.claim(ctx, q, key, print, run)
	close(l.done)
	k.mu.Lock()
	delete(k.local, key)
	k.mu.Unlock()
	return l.reply, nil
}

// claim appends a claim and runs the request when it won.
func (k *Keeper) claim(ctx context.Context, q Request, key claim.Key, print string, run func() dispatch.Reply) dispatch.Reply {
	c := claim.Claim{Key: key, ID: record.NewID(), Owner: k.self, Fingerprint: print, At: time.Now().UnixMilli()}
	wait, cancel := context.WithDeadline(context.WithoutCancel(ctx), q.Deadline)
	defer cancel()
	k.mu.Lock()
	k.fold.Await(c.ID)
	k.mu.Unlock()
	defer k.forget(c.ID)
	err := k.append(wait, c.ID, record.KindClaim, c)
	if errors.Is(err, logsvc.ErrRefused) {
		return k.refuse(key, "the log takes no claims now")
	}
	switch k.verdict(wait, c.ID) {
	case claim.Open, claim.Void:
		k.giveUp(c)
		return k.refuse(key, "the claim was not settled in time")
	case claim.Lost:
		return k.attachLost(ctx, q, key, print)
	}
	r := run()
	k.settle(c, r)
	return r
}

// forget ends the wait for a claim.
func (k *Keeper) forget(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.fold.Forget(id)
}

// attachLost attaches to the claim that won against ours.
func (k *Keeper) attachLost(ctx context.Context, q Request, key claim.Key, print string) dispatch.Reply {
	k.mu.Lock()
	s, ok := k.fold.Get(key)
	k.mu.Unlock()
	switch {
	case !ok:
		return k.refuse(key, "the claim of this request lost")
	case s.Fingerprint != print:
		return refused(ErrOtherRequest.Error(), 0)
	}
	return k.attach(ctx, q, nil, s)
}

// verdict waits for the verdict on a claim.
func (k *Keeper) verdict(ctx context.Context, id string) claim.Verdict {
	for {
		k.mu.Lock()
		v, grown := k.fold.Verdict(id), k.grown
		k.mu.Unlock()
		if v != claim.Open {
			return v
		}
		select {
		case <-grown:
		case <-ctx.Done():
			return claim.Open
		}
	}
}

// giveUp releases a claim whose request did not run and won't.
func (k *Keeper) giveUp(c claim.Claim) {
	k.mu.Lock()
	k.given[c.ID] = true
	k.mu.Unlock()
	k.publish(c.ID+"-release", record.KindRelease, claim.Release{Key: c.Key, ID: c.ID})
}

// settle keeps the outcome of a claim of this process and publishes it. A key that was refused stays
// refused: another send of it may be on its way, and must not run once this one was told as not run.
func (k *Keeper) settle(c claim.Claim, r dispatch.Reply) {
	o := claim.Outcome{Key: c.Key, ID: c.ID, Outcome: r.Outcome}
	if r.Outcome == targetapi.Answered {
		o.Answer = &r.Answer
	}
	k.mu.Lock()
	k.fold.Settled(o)
	k.mu.Unlock()
	if o.Answer != nil && len(o.Answer.Body) > maxPublished {
		o.Answer = nil
	}
	k.publish(c.ID+"-outcome", record.KindOutcome, o)
}
