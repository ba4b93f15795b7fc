package targetapi

import "errors"

// ErrNoProbe says that a target does not answer probes.
var ErrNoProbe = errors.New("target answers no probes")

// AttemptState is the state of one attempt as its target reports it.
type AttemptState string

// States of an attempt at a target.
const (
	// AttemptRunning says that the attempt runs now.
	AttemptRunning AttemptState = "running"
	// AttemptEnded says that the attempt ran and has ended.
	AttemptEnded AttemptState = "ended"
	// AttemptFenced says that the attempt was not seen and will be refused should it still arrive.
	AttemptFenced AttemptState = "fenced"
)

// Probe is a target's answer to POST /v1/attempts/{request}/{attempt}/fence.
type Probe struct {
	State AttemptState `json:"state"`
	// Answer is the stored answer of an attempt that ended; nil when none is stored.
	Answer *Answer `json:"answer,omitempty"`
}
