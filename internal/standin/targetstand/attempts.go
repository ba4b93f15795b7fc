package targetstand

import (
	"net/http"

	"github.com/crocusspring/crocusspring/internal/jsonhttp"
	"github.com/crocusspring/crocusspring/internal/targetapi"
)

// keepAttempts bounds how many attempts a target remembers.
const keepAttempts = 4096

// attemptState is what a target remembers of one attempt.
type attemptState struct {
	state  targetapi.AttemptState
	answer *targetapi.Answer
}

// attemptKey names an attempt.
func attemptKey(request, attempt string) string { return request + "/" + attempt }

// remember stores the state of an attempt. The caller holds the lock.
func (t *Target) remember(key string, s attemptState) {
	if _, ok := t.attempts[key]; !ok {
		t.order = append(t.order, key)
	}
	t.attempts[key] = s
	for len(t.order) > keepAttempts {
		delete(t.attempts, t.order[0])
		t.order = t.order[1:]
	}
}

// fence serves a probe of an attempt. One that was never seen is refused from now on, so the answer
// stays true when the attempt itself arrives late.
func (t *Target) fence(w http.ResponseWriter, r *http.Request) {
	key := attemptKey(r.PathValue("request"), r.PathValue("attempt"))
	t.mu.Lock()
	s, ok := t.attempts[key]
	if !ok {
		s = attemptState{state: targetapi.AttemptFenced}
		t.remember(key, s)
	}
	t.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, targetapi.Probe{State: s.state, Answer: s.answer})
}
