// Package history records what callers, targets, workers, the log and operators observed during a run,
// and checks from these observations alone whether the system kept its invariants.
//
// The package imports no package of the system, so that a fault in the system can't affect its own check.
// All times come from one clock, so two operations are ordered whenever their intervals don't overlap.
package history
