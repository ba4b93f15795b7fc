package workerstand

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// Truth is how tasks really behave, drawn from a seed; the scheduler sees it only in late usage.
// The zero value is a world where declarations hold and neighbours don't matter.
type Truth struct {
	Seed uint64
	// Strength is the largest share a whole neighbour at full load adds to a task's run time.
	Strength float64
	// Off makes real sizes and run times of a class differ from the declared ones, up to this factor
	// either way; 0 or 1 means that declarations hold.
	Off float64
	// FailClass names a class whose tasks fail everywhere.
	FailClass string
}

// Pair returns the share by which a neighbour of one class that fills the worker slows a class at a
// load from 0 to 1.
func (t Truth) Pair(class, neighbour string, load float64) float64 {
	u := t.draw("pair", class, neighbour)
	return t.Strength * u * u * min(load, 1)
}

// draw returns a number from 0 to 1 that depends on the seed and the keys alone.
func (t Truth) draw(keys ...string) float64 {
	text := strconv.FormatUint(t.Seed, 10)
	for _, k := range keys {
		text += "\x00" + k
	}
	return float64(xxhash.Sum64String(text)>>11) / (1 << 53)
}

// factor returns how far the truth of some quantity of a class is from what is declared.
func (t Truth) factor(keys ...string) float64 {
	if t.Off <= 1 {
		return 1
	}
	u := t.draw(keys...)
	return 1/t.Off + u*(t.Off-1/t.Off)
}

// run returns the work an attempt has in truth.
func (t Truth) run(c workerapi.Command) time.Duration {
	return time.Duration(float64(c.RunMS) * t.factor("run", c.Task) * float64(time.Millisecond))
}

// use returns what a command's task would use if nothing held it back.
func (t Truth) use(c workerapi.Command) resource.Vector {
	u := c.Declare
	u.MilliCPU = int64(float64(u.MilliCPU) * t.factor("cpu", c.Class))
	u.MemoryMB = int64(float64(u.MemoryMB) * t.factor("memory", c.Class))
	return u
}

// fails reports whether the task fails wherever it runs.
func (t Truth) fails(c workerapi.Command) bool { return t.FailClass != "" && c.Class == t.FailClass }
