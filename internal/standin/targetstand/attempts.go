package targetstand

import (
	"net/http"

	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// maxAttempts bounds how many attempts a target keeps the state of.
const maxAttempts = 4096

// attemptState is the stored state of one attempt.
type attemptState struct {
	state  targetapi.AttemptState
	answer *targetapi.Answer
}

// attemptKey returns the key under which an attempt is stored.
func attemptKey(request, attempt string) string { return request + "/" + attempt }

// store stores the state of an attempt and drops the oldest over maxAttempts. The caller holds the lock.
func (t *Target) store(key string, s attemptState) {
	if _, ok := t.attempts[key]; !ok {
		t.attemptOrder = append(t.attemptOrder, key)
	}
	t.attempts[key] = s
	for len(t.attemptOrder) > maxAttempts {
		delete(t.attempts, t.attemptOrder[0])
		t.attemptOrder = t.attemptOrder[1:]
	}
}

// fence serves a probe of an attempt. One that was never seen is refused from now on, so the answer
// stays valid when the attempt itself arrives late.
func (t *Target) fence(w http.ResponseWriter, r *http.Request) {
	key := attemptKey(r.PathValue("request"), r.PathValue("attempt"))
	t.mu.Lock()
	state, ok := t.attempts[key]
	if !ok {
		state = attemptState{state: targetapi.AttemptFenced}
		t.store(key, state)
	}
	t.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, targetapi.Probe{State: state.state, Answer: state.answer})
}
