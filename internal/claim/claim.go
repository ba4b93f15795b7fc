// Package claim decides by records on the log who may run a request with an idempotency key.
//
// The first claim of a key in log order wins, and only the process that wrote it runs the request.
// A claim stays with its process: when that dies the outcome is unknown and the request is never run
// again. A process that surely won't run or did not run the request releases its claim, so that the
// next one for the key can win. Folding is idempotent by the id of the claim, in any doubling; a
// release that overtakes its claim voids it.
package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/google/uuid"
)

// Stream is the log stream that carries claims.
const Stream = "claims"

// Schema is the version of the records' shape.
const Schema = 1

// TTL is how long a key is remembered after its claim was seen.
const TTL = 24 * time.Hour

// Skew is how far the clocks that make keys and those that write records may be apart.
const Skew = 5 * time.Minute

// Key is the digest of a workspace, a service and the caller's key.
type Key string

// NewKey returns the digest.
func NewKey(workspace, service, key string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + service + "\x00" + key))
	return Key(hex.EncodeToString(sum[:16]))
}

// Fingerprint returns a digest of a body, to tell when a key is used for another request.
func Fingerprint(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// TimeOf returns the time a key of the form UUIDv7 carries.
func TimeOf(key string) (time.Time, bool) {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return time.Time{}, false
	}
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec), true
}

// Claim is the body of a claim record.
type Claim struct {
	Key         Key    `json:"key"`
	ID          string `json:"claim"`
	Owner       string `json:"owner"`
	Fingerprint string `json:"fingerprint"`
	// At is the writer's clock, in milliseconds since 1970.
	At int64 `json:"at"`
}

// Release is the body of a release record: the claim's request did not run and won't.
type Release struct {
	Key Key    `json:"key"`
	ID  string `json:"claim"`
}

// Outcome is the body of an outcome record.
type Outcome struct {
	Key     Key               `json:"key"`
	ID      string            `json:"claim"`
	Outcome targetapi.Outcome `json:"outcome"`
	// Answer is nil when it was too large to publish.
	Answer *targetapi.Answer `json:"answer,omitempty"`
}

// State is what is known of a key.
type State struct {
	Claim
	// Outcome is empty while the request may run.
	Outcome targetapi.Outcome
	Answer  *targetapi.Answer
	seen    time.Time
}

// Fold is the fold of the claims stream. Use NewFold to make one.
type Fold struct {
	keys map[Key]*State
	// released holds the claims that were given up, also those that have not been seen yet.
	released map[string]time.Time
	// verdicts holds what became of the claims this process awaits.
	verdicts map[string]Verdict
	// bytes and answers bound the memory of kept answers, the oldest first.
	bytes   int
	answers []Key
	// whole is true when no claim can be missing; since is a time from which on none is.
	whole bool
	since time.Time
	began bool
}

// Verdict is what became of a claim.
type Verdict int

// Verdicts on a claim.
const (
	// Open says that the claim was not folded yet.
	Open Verdict = iota
	// Won says that the claim holds its key.
	Won
	// Lost says that another claim holds the key, or that this one was released.
	Lost
	// Void says that entries were lost before the claim was folded, so that an earlier one may be
	// missing; the claim must be released.
	Void
)

// MaxAnswers bounds the bytes of kept answers.
const MaxAnswers = 8 << 20

// NewFold returns the fold of the empty stream.
func NewFold() *Fold {
	return &Fold{keys: map[Key]*State{}, released: map[string]time.Time{}, verdicts: map[string]Verdict{}, whole: true}
}

// Claimed folds a claim.
func (f *Fold) Claimed(now time.Time, c Claim) {
	if !f.began {
		f.began, f.since = true, time.UnixMilli(c.At)
	}
	verdict := Lost
	if f.judge(now, c) {
		verdict = Won
	}
	if v, ok := f.verdicts[c.ID]; ok && v == Open {
		f.verdicts[c.ID] = verdict
	}
}

// judge reports whether a claim holds its key.
func (f *Fold) judge(now time.Time, c Claim) bool {
	if _, ok := f.released[c.ID]; ok {
		return false
	}
	if cur := f.keys[c.Key]; cur != nil {
		return cur.ID == c.ID
	}
	f.keys[c.Key] = &State{Claim: c, seen: now}
	return true
}

// Released folds a release.
func (f *Fold) Released(now time.Time, r Release) {
	f.released[r.ID] = now
	if cur := f.keys[r.Key]; cur != nil && cur.ID == r.ID {
		f.forget(r.Key)
	}
}

// Settled folds an outcome. The first one of a claim counts.
func (f *Fold) Settled(o Outcome) {
	cur := f.keys[o.Key]
	if cur == nil || cur.ID != o.ID || cur.Outcome != "" {
		return
	}
	cur.Outcome, cur.Answer = o.Outcome, o.Answer
	if o.Answer == nil {
		return
	}
	f.bytes += len(o.Answer.Body)
	f.answers = append(f.answers, o.Key)
	for f.bytes > MaxAnswers && len(f.answers) > 1 {
		f.dropAnswer()
	}
}

// dropAnswer forgets the oldest kept answer; its outcome stays known.
func (f *Fold) dropAnswer() {
	k := f.answers[0]
	f.answers = f.answers[1:]
	if s := f.keys[k]; s != nil && s.Answer != nil {
		f.bytes -= len(s.Answer.Body)
		s.Answer = nil
	}
}

// forget removes a key.
func (f *Fold) forget(k Key) {
	if s := f.keys[k]; s != nil && s.Answer != nil {
		f.bytes -= len(s.Answer.Body)
	}
	delete(f.keys, k)
}

// Await keeps the verdict on a claim that is about to be appended.
func (f *Fold) Await(id string) { f.verdicts[id] = Open }

// Verdict returns the verdict on an awaited claim.
func (f *Fold) Verdict(id string) Verdict { return f.verdicts[id] }

// Forget ends the wait for a claim.
func (f *Fold) Forget(id string) { delete(f.verdicts, id) }

// Get returns what is known of a key.
func (f *Fold) Get(k Key) (State, bool) {
	if s := f.keys[k]; s != nil {
		return *s, true
	}
	return State{}, false
}

// GivenUp reports whether a claim was released, so that its request did not run and won't.
func (f *Fold) GivenUp(id string) bool {
	_, ok := f.released[id]
	return ok
}

// Len returns how many keys are kept.
func (f *Fold) Len() int { return len(f.keys) }

// Expire forgets what is older than TTL.
func (f *Fold) Expire(now time.Time) {
	for k, s := range f.keys {
		if now.Sub(s.seen) > TTL {
			f.forget(k)
		}
	}
	for id, at := range f.released {
		if now.Sub(at) > TTL {
			delete(f.released, id)
		}
	}
}

// Gap says that entries were lost to retention before the next one that is folded.
func (f *Fold) Gap() {
	f.whole, f.began = false, false
	for id, v := range f.verdicts {
		if v == Open {
			f.verdicts[id] = Void
		}
	}
}

// Covers reports whether no claim of a key can be missing from the fold: either nothing was lost, or
// the key carries a time after everything that was.
func (f *Fold) Covers(key string) bool {
	if f.whole {
		return true
	}
	at, ok := TimeOf(key)
	return ok && f.began && at.After(f.since.Add(Skew))
}
