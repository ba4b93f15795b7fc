// Package history keeps what callers, targets, workers, the log and operators saw during a run, and
// judges from that alone whether the system kept its promises.
//
// The package imports nothing of the system: a fault in a decision can't hide in its own check.
// All times come from one clock, so two operations are ordered whenever their spans don't overlap.
package history
