package logsvc

import "context"

// Class is the priority of records; a lower class is appended first when the budget is short.
type Class int

// Classes of records, most urgent first. ClassTask is what an append without a class gets.
const (
	ClassLease Class = iota
	ClassClaim
	ClassJob
	ClassTask
	ClassConfig
	ClassAudit
	classes
)

// String returns the name of the class in metrics and messages.
func (c Class) String() string {
	return [...]string{"lease", "claim", "job", "task", "config", "audit"}[c]
}

// classKey is the context key of a class.
type classKey struct{}

// WithClass returns a context that gives appends a class.
func WithClass(ctx context.Context, c Class) context.Context {
	return context.WithValue(ctx, classKey{}, c)
}

// classOf returns the class of a context.
func classOf(ctx context.Context) Class {
	if c, ok := ctx.Value(classKey{}).(Class); ok && c >= 0 && c < classes {
		return c
	}
	return ClassTask
}
