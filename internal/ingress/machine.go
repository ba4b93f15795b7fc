package ingress

import (
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"
)

// Machine is what the machine leaves to the process. Zero values stand for defaults.
type Machine struct {
	// Memory is in bytes; beyond it the process is ended. The default is DefaultMemory.
	Memory int64
	// Sockets is the number of sockets. The default is what the process's limit of descriptors leaves beside files.
	Sockets int
}

const (
	// DefaultMemory is the memory that a process counts on, in bytes, if the settings don't say.
	DefaultMemory = 256 << 20
	// fileDescriptors is how many descriptors are kept for files.
	fileDescriptors = 200
	// minSockets is the least number of sockets that a process needs for its own calls and a few clients, maxSockets the
	// largest that it counts on.
	minSockets = 64
	maxSockets = 1 << 20
)

// NewMachine returns a machine with a memory in bytes and a number of file descriptors, or defaults for 0.
func NewMachine(memory int64, descriptors int) Machine {
	m := Machine{Memory: memory}
	if descriptors > 0 {
		m.Sockets = max(1, descriptors-fileDescriptors)
	}
	return m
}

// WithDefaults returns the machine with defaults for zero values.
func (m Machine) WithDefaults() Machine {
	if m.Memory <= 0 {
		m.Memory = DefaultMemory
	}
	if m.Sockets <= 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
			m.Sockets = int(min(limit.Cur, maxSockets)) - fileDescriptors
		}
	}
	m.Sockets = max(m.Sockets, minSockets)
	return m
}

// codeMemory is what a process takes beside the memory of the runtime, mostly for its code, in bytes.
const codeMemory = 16 << 20

// BoundGarbage has the runtime collect garbage before the process reaches the memory of its machine. It frees nothing that
// is in use: gates bound that.
func (m Machine) BoundGarbage() {
	memory := m.WithDefaults().Memory
	const numerator, denominator = 9, 10
	debug.SetMemoryLimit(max(memory-codeMemory, memory/2) / denominator * numerator)
}

// ShareUnit is the unit of a share: a 32nd of the machine's memory or sockets.
const ShareUnit = 32

// Share is the part of the machine that the clients of one listener may take. What the shares of a process leave is for its
// own connections, and for what it keeps in memory.
type Share struct {
	// Name is that of the listener in metrics and log lines.
	Name string
	// Sockets and Memory are in ShareUnit.
	Sockets, Memory int64
	// LargestBody is the largest body of a request in bytes, for one of which there is always room.
	LargestBody int64
}

// Gate returns the gate of a listener that has a share of the machine.
func (m Machine) Gate(s Share, scope tally.Scope, l *log.Logger) *Gate {
	m = m.WithDefaults()
	return New(s.Name, Limits{
		Connections: int(int64(m.Sockets) * s.Sockets / ShareUnit),
		Memory:      max(m.Memory*s.Memory/ShareUnit, requestMemory(s.LargestBody)),
		Body:        bodyTimeout, Answer: answerTimeout,
	}, scope, l)
}
