package workerstand

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// Model is how tasks actually behave, drawn from a seed; the scheduler sees it only in delayed usage
// readings. In the zero value, declarations are exact and neighbours don't interfere.
type Model struct {
	Seed uint64
	// Interference is the largest share by which a neighbour that fills the worker extends a task's run time.
	Interference float64
	// Deviation makes actual sizes and run times differ from the declared ones, up to this factor either
	// way; 1 or less means that declarations are exact.
	Deviation float64
	// FailClass names a class whose tasks fail everywhere.
	FailClass string
}

// PairInterference returns the share by which a neighbour of one class that fills the worker slows down a
// task of another class; load is the load of the worker, capped at 1.
func (t Model) PairInterference(class, neighbour string, load float64) float64 {
	u := t.draw("pair", class, neighbour)
	return t.Interference * u * u * min(load, 1)
}

// draw returns a number from 0 to 1 that depends on the seed and the keys alone.
func (t Model) draw(keys ...string) float64 {
	text := strconv.FormatUint(t.Seed, 10)
	for _, k := range keys {
		text += "\x00" + k
	}
	return float64(xxhash.Sum64String(text)>>11) / (1 << 53)
}

// factor returns the ratio of the actual to the declared value of the quantity that the keys name.
func (t Model) factor(keys ...string) float64 {
	if t.Deviation <= 1 {
		return 1
	}
	u := t.draw(keys...)
	return 1/t.Deviation + u*(t.Deviation-1/t.Deviation)
}

// runTime returns the actual time an attempt needs without slowdown.
func (t Model) runTime(c workerapi.Command) time.Duration {
	return time.Duration(float64(c.RunMS) * t.factor("run", c.Task) * float64(time.Millisecond))
}

// demand returns what a command's task would use without any limit.
func (t Model) demand(c workerapi.Command) resource.Vector {
	u := c.Declare
	u.MilliCPU = int64(float64(u.MilliCPU) * t.factor("cpu", c.Class))
	u.MemoryMB = int64(float64(u.MemoryMB) * t.factor("memory", c.Class))
	return u
}

// fails reports whether the task fails wherever it runs.
func (t Model) fails(c workerapi.Command) bool { return t.FailClass != "" && c.Class == t.FailClass }
