package place

import "github.com/crocusspring/crocusspring/internal/interfere"

// Drain refuses workers that are being drained.
type Drain struct{}

// Name implements Filter.
func (Drain) Name() string { return "drain" }

// Refuse implements Filter.
func (Drain) Refuse(_ *Task, w *Worker) string {
	if w.Draining {
		return "worker is draining"
	}
	return ""
}

// Probation refuses workers that are suspended because of failures.
type Probation struct{}

// Name implements Filter.
func (Probation) Name() string { return "probation" }

// Refuse implements Filter.
func (Probation) Refuse(_ *Task, w *Worker) string { return w.Suspended }

// DataCentre refuses workers outside the data centre that a task is restricted to.
type DataCentre struct{}

// Name implements Filter.
func (DataCentre) Name() string { return "data-centre" }

// Refuse implements Filter.
func (DataCentre) Refuse(t *Task, w *Worker) string {
	if t.DataCentre != "" && t.DataCentre != w.DataCentre {
		return "worker is in another data centre"
	}
	return ""
}

// Capacity refuses workers whose free resources are too small.
type Capacity struct{}

// Name implements Filter.
func (Capacity) Name() string { return "capacity" }

// Refuse implements Filter.
func (Capacity) Refuse(t *Task, w *Worker) string {
	if kind := t.Reserve.Lacking(w.Free()); kind != "" {
		return "too few " + kind
	}
	return ""
}

// maxSlowdown is the expected slowdown factor of a service above which no more tasks are placed beside it.
const maxSlowdown = 1.8

// Tolerance refuses workers on which a service is expected to become too slow. The task waits for a worker
// whose services tolerate it instead of being placed and then evicted.
type Tolerance struct{ Model Model }

// Name implements Filter.
func (Tolerance) Name() string { return "tolerance" }

// Refuse implements Filter.
func (f Tolerance) Refuse(t *Task, w *Worker) string {
	if t.Service != "" {
		return ""
	}
	load := interfere.LoadOf(w.ReservedCPU())
	for _, service := range w.ServiceClasses {
		sum, _ := f.Model.Interference(service, t.Class, load)
		for _, n := range w.Classes {
			if n.Class != service {
				v, _ := f.Model.Interference(service, n.Class, load)
				sum += v * float64(n.Count)
			}
		}
		if 1+sum > maxSlowdown {
			return "service " + service + " would become too slow"
		}
	}
	return ""
}
