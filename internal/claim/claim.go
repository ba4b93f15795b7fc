// Package claim decides by records on the log which process may run a request with an idempotency key.
//
// The first claim of a key in log order wins, and only the process that wrote it runs the request.
// A claim is never transferred: if its process dies, the outcome is unknown and the request is never run
// again. A process that certainly did not and will not run the request releases its claim, so that the
// next claim of the key can win. Folding is idempotent by the id of the claim, however records are
// duplicated; a claim that is folded after its release loses.
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

// Schema is the schema version of the records.
const Schema = 1

// TTL is how long a key is kept after its claim was folded.
const TTL = 24 * time.Hour

// MaxClockSkew is the largest assumed difference between the clocks of callers that create keys and of
// processes that write records.
const MaxClockSkew = 5 * time.Minute

// Key is the digest of a workspace, a service and the caller's idempotency key.
type Key string

// NewKey returns the digest of a workspace, a service and the caller's idempotency key.
func NewKey(workspace, service, key string) Key {
	sum := sha256.Sum256([]byte(workspace + "\x00" + service + "\x00" + key))
	return Key(hex.EncodeToString(sum[:16]))
}

// Fingerprint returns a digest of a request body, to detect that a key is reused for another request.
func Fingerprint(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// TimeOf returns the timestamp in a key that is a UUIDv7, and false for any other key.
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

// Release is the body of a release record: the claim's request did not run and will not run.
type Release struct {
	Key Key    `json:"key"`
	ID  string `json:"claim"`
}

// Outcome is the body of an outcome record.
type Outcome struct {
	Key     Key               `json:"key"`
	ID      string            `json:"claim"`
	Outcome targetapi.Outcome `json:"outcome"`
	// Answer is nil if there was none or it was too large to publish.
	Answer *targetapi.Answer `json:"answer,omitempty"`
}

// State is the folded state of a key.
type State struct {
	Claim
	// Outcome is empty until the outcome of the request was folded.
	Outcome  targetapi.Outcome
	Answer   *targetapi.Answer
	foldedAt time.Time
}

// Fold is the state derived from the claims stream. Use NewFold to make one.
type Fold struct {
	keys map[Key]*State
	// released holds when each released claim was released, also for claims not folded yet.
	released map[string]time.Time
	// verdicts holds the verdicts on the claims that this process waits for.
	verdicts map[string]Verdict
	// answerBytes is the size of all kept answers, and answerKeys lists their keys, the oldest first; they
	// bound the memory of answers.
	answerBytes int
	answerKeys  []Key
	// complete is set while no claim can be missing. completeSince is the writer's time in the first claim
	// folded since the start or the last gap; no claim after it is missing. hasCompleteSince is set once there
	// is such a claim.
	complete         bool
	completeSince    time.Time
	hasCompleteSince bool
}

// Verdict is the result of folding a claim.
type Verdict int

// Verdicts on a claim.
const (
	// Pending means that the claim was not folded yet.
	Pending Verdict = iota
	// Won means that the claim holds its key.
	Won
	// Lost means that another claim holds the key, or that this one was released.
	Lost
	// Void means that entries were lost before the claim was folded, or that the fold was restored from a
	// snapshot, so that an earlier claim may be missing; the claim must be released.
	Void
)

// MaxAnswerBytes bounds the total size of kept answers; the newest answer is kept even if it is larger.
const MaxAnswerBytes = 8 << 20

// NewFold returns the fold of an empty stream.
func NewFold() *Fold {
	return &Fold{keys: map[Key]*State{}, released: map[string]time.Time{}, verdicts: map[string]Verdict{}, complete: true}
}

// Claimed folds a claim.
func (f *Fold) Claimed(now time.Time, c Claim) {
	if !f.hasCompleteSince {
		f.hasCompleteSince, f.completeSince = true, time.UnixMilli(c.At)
	}
	verdict := Lost
	if f.acquire(now, c) {
		verdict = Won
	}
	if v, ok := f.verdicts[c.ID]; ok && v == Pending {
		f.verdicts[c.ID] = verdict
	}
}

// acquire gives a claim its key if it was not released and no claim holds the key, and reports whether the
// claim holds it now.
func (f *Fold) acquire(now time.Time, c Claim) bool {
	if _, ok := f.released[c.ID]; ok {
		return false
	}
	if cur := f.keys[c.Key]; cur != nil {
		return cur.ID == c.ID
	}
	f.keys[c.Key] = &State{Claim: c, foldedAt: now}
	return true
}

// Released folds a release.
func (f *Fold) Released(now time.Time, r Release) {
	f.released[r.ID] = now
	if cur := f.keys[r.Key]; cur != nil && cur.ID == r.ID {
		f.removeKey(r.Key)
	}
}

// Settled folds an outcome. Only the first outcome of a claim is kept.
func (f *Fold) Settled(o Outcome) {
	cur := f.keys[o.Key]
	if cur == nil || cur.ID != o.ID || cur.Outcome != "" {
		return
	}
	cur.Outcome, cur.Answer = o.Outcome, o.Answer
	if o.Answer == nil {
		return
	}
	f.answerBytes += len(o.Answer.Body)
	f.answerKeys = append(f.answerKeys, o.Key)
	for f.answerBytes > MaxAnswerBytes && len(f.answerKeys) > 1 {
		f.dropAnswer()
	}
}

// dropAnswer drops the oldest kept answer; its outcome is kept.
func (f *Fold) dropAnswer() {
	k := f.answerKeys[0]
	f.answerKeys = f.answerKeys[1:]
	if s := f.keys[k]; s != nil && s.Answer != nil {
		f.answerBytes -= len(s.Answer.Body)
		s.Answer = nil
	}
}

// removeKey removes a key and its answer.
func (f *Fold) removeKey(k Key) {
	if s := f.keys[k]; s != nil && s.Answer != nil {
		f.answerBytes -= len(s.Answer.Body)
	}
	delete(f.keys, k)
}

// Await makes the fold keep the verdict on a claim that is about to be appended.
func (f *Fold) Await(id string) { f.verdicts[id] = Pending }

// Verdict returns the verdict on an awaited claim.
func (f *Fold) Verdict(id string) Verdict { return f.verdicts[id] }

// StopAwaiting drops the verdict on an awaited claim.
func (f *Fold) StopAwaiting(id string) { delete(f.verdicts, id) }

// Get returns the folded state of a key.
func (f *Fold) Get(k Key) (State, bool) {
	if s := f.keys[k]; s != nil {
		return *s, true
	}
	return State{}, false
}

// IsReleased reports whether a claim was released, so that its request did not run and will not run.
func (f *Fold) IsReleased(id string) bool {
	_, ok := f.released[id]
	return ok
}

// Len returns how many keys are kept.
func (f *Fold) Len() int { return len(f.keys) }

// Expire removes keys and releases older than TTL.
func (f *Fold) Expire(now time.Time) {
	for k, s := range f.keys {
		if now.Sub(s.foldedAt) > TTL {
			f.removeKey(k)
		}
	}
	for id, at := range f.released {
		if now.Sub(at) > TTL {
			delete(f.released, id)
		}
	}
}

// RecordGap records that the log's retention removed entries before the next one that is folded.
func (f *Fold) RecordGap() {
	f.complete, f.hasCompleteSince = false, false
	for id, v := range f.verdicts {
		if v == Pending {
			f.verdicts[id] = Void
		}
	}
}

// Covers reports whether no claim of a key can be missing from the fold: either no entries were lost, or
// the key is a UUIDv7 with a time after all lost entries, even if clocks differ by MaxClockSkew.
func (f *Fold) Covers(key string) bool {
	if f.complete {
		return true
	}
	at, ok := TimeOf(key)
	return ok && f.hasCompleteSince && at.After(f.completeSince.Add(MaxClockSkew))
}
