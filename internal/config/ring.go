package config

// ring holds the newest verdicts by record id, up to a fixed number.
type ring struct {
	size  int
	order []string
	byID  map[string]Verdict
}

// newRing returns a ring of at most size verdicts.
func newRing(size int) ring { return ring{size: size, byID: map[string]Verdict{}} }

// add adds a verdict and removes the oldest ones beyond the size.
func (r *ring) add(v Verdict) {
	r.order = append(r.order, v.RecordID)
	r.byID[v.RecordID] = v
	for len(r.order) > r.size {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}

// find returns the verdict on a record id, if it is still held.
func (r *ring) find(id string) (Verdict, bool) {
	v, ok := r.byID[id]
	return v, ok
}

// all returns the verdicts, oldest first.
func (r *ring) all() []Verdict {
	out := make([]Verdict, 0, len(r.order))
	for _, id := range r.order {
		out = append(out, r.byID[id])
	}
	return out
}
