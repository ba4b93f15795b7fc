package history

// Counts holds the progress of a run.
type Counts struct{ Sent, Answered, Started, Finished, Applied int }

// Counts returns the progress of the run.
func (r *Recorder) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := Counts{Sent: len(r.h.Requests), Started: len(r.h.Attempts)}
	for _, q := range r.h.Requests {
		if q.Outcome == Answered {
			c.Answered++
		}
	}
	for _, a := range r.h.Attempts {
		if a.State == StateFinished {
			c.Finished++
		}
	}
	for _, p := range r.h.Proposals {
		if p.Outcome == Accepted {
			c.Applied++
		}
	}
	return c
}

// FailedAttempts returns the number of attempts that failed on their worker.
func (r *Recorder) FailedAttempts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.h.Attempts {
		if a.State == StateFailed {
			n++
		}
	}
	return n
}

// StartedAttempts returns the number of attempts that each worker has started.
func (r *Recorder) StartedAttempts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for _, a := range r.h.Attempts {
		out[a.Worker]++
	}
	return out
}
