package config

// ring keeps the newest verdicts by record id.
type ring struct {
	size  int
	order []string
	byID  map[string]Verdict
}

// newRing returns a ring for size verdicts.
func newRing(size int) ring { return ring{size: size, byID: map[string]Verdict{}} }

// add keeps a verdict and forgets the oldest one over the size.
func (r *ring) add(v Verdict) {
	r.order = append(r.order, v.RecordID)
	r.byID[v.RecordID] = v
	for len(r.order) > r.size {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}

// find returns a verdict that is still kept.
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
