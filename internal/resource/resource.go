// Package resource defines amounts of the resources that workers provide to tasks.
package resource

import "fmt"

// Vector is an amount of each resource kind.
type Vector struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu"`
	// MemoryMB is memory in units of 10^6 bytes.
	MemoryMB int64 `json:"memory_mb"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Add returns v plus o.
func (v Vector) Add(o Vector) Vector {
	return Vector{v.MilliCPU + o.MilliCPU, v.MemoryMB + o.MemoryMB, v.Accelerators + o.Accelerators}
}

// Sub returns v minus o.
func (v Vector) Sub(o Vector) Vector {
	return Vector{v.MilliCPU - o.MilliCPU, v.MemoryMB - o.MemoryMB, v.Accelerators - o.Accelerators}
}

// Max returns the larger amount of each kind.
func (v Vector) Max(o Vector) Vector {
	return Vector{max(v.MilliCPU, o.MilliCPU), max(v.MemoryMB, o.MemoryMB), max(v.Accelerators, o.Accelerators)}
}

// Fits reports whether no amount of v exceeds that of free.
func (v Vector) Fits(free Vector) bool {
	return v.Lacking(free) == ""
}

// Lacking returns the name of the first kind whose amount in v exceeds that of free; empty when v fits.
func (v Vector) Lacking(free Vector) string {
	switch {
	case v.MilliCPU > free.MilliCPU:
		return "processors"
	case v.MemoryMB > free.MemoryMB:
		return "memory"
	case v.Accelerators > free.Accelerators:
		return "accelerators"
	}
	return ""
}

// Negative reports whether any amount is below zero.
func (v Vector) Negative() bool {
	return v.MilliCPU < 0 || v.MemoryMB < 0 || v.Accelerators < 0
}

// String formats the vector for display.
func (v Vector) String() string {
	return fmt.Sprintf("%.3g cores, %d MB, %d accelerators", float64(v.MilliCPU)/1000, v.MemoryMB, v.Accelerators)
}
