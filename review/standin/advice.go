package main

import (
	"encoding/json"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Figures of the queue with advice.
const (
	advisedPrefix = "/advised/"
	decideMS      = 40
	eachMS        = 2
	validMS       = 3000
)

// Adviser is the policy service: it knows which executors may run a step.
type Adviser struct {
	mu      sync.Mutex // one call at a time
	seen    sync.Mutex
	tickets map[string]time.Time // until when a ticket is valid
	calls   map[string]int       // by step
}

// NewAdviser returns a service that nobody has called.
func NewAdviser() *Adviser { return &Adviser{tickets: map[string]time.Time{}, calls: map[string]int{}} }

// allows reports whether an executor may run a step: five of six may, and that doesn't change.
func allows(step, id string) bool {
	h := fnv.New32a()
	h.Write([]byte(step + " " + id))
	return h.Sum32()%6 != 0
}

// ServeHTTP answers a call for advice.
func (a *Adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{})
		return
	}
	a.mu.Lock()
	time.Sleep(time.Duration(decideMS+eachMS*len(b.Workers)) * time.Millisecond)
	a.mu.Unlock()
	good := [][2]string{}
	a.seen.Lock()
	a.calls[b.Step]++
	for _, id := range b.Workers {
		if allows(b.Step, id) {
			good = append(good, [2]string{id, b.Step + "/" + id})
			a.tickets[b.Step+"/"+id] = time.Now().Add(validMS * time.Millisecond)
		}
	}
	a.seen.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": validMS})
}

// valid reports whether a task may start on an executor with a ticket.
func (a *Adviser) valid(task, id, ticket string) bool {
	a.seen.Lock()
	defer a.seen.Unlock()
	return ticket == task[:strings.LastIndex(task, ".")]+"/"+id && time.Now().Before(a.tickets[ticket])
}

// asked returns how often advice was asked for the steps of a job.
func (a *Adviser) asked(job string) int {
	a.seen.Lock()
	defer a.seen.Unlock()
	n := 0
	for step, calls := range a.calls {
		if jobOf(step) == job {
			n += calls
		}
	}
	return n
}
