package event

import "strings"

// Decision is one decision of an owner: its subject (a task, job or worker) and what it was based on.
type Decision struct{ Subject, Inputs string }

// FieldDecisions is the field of a line that reports several decisions of one kind, as JoinDecisions writes them.
const FieldDecisions = "decisions"

const (
	// decisionSeparator is between two decisions, subjectSeparator after the subject of one.
	decisionSeparator = " | "
	subjectSeparator  = ": "
)

// JoinDecisions returns decisions as one text, which contains every subject and so is found by it.
func JoinDecisions(ds []Decision) string {
	var b strings.Builder
	for i, d := range ds {
		if i > 0 {
			b.WriteString(decisionSeparator)
		}
		b.WriteString(d.Subject)
		b.WriteString(subjectSeparator)
		b.WriteString(strings.ReplaceAll(d.Inputs, decisionSeparator, " / "))
	}
	return b.String()
}

// SplitDecisions returns the decisions of a text that JoinDecisions wrote.
func SplitDecisions(text string) []Decision {
	var out []Decision
	for part := range strings.SplitSeq(text, decisionSeparator) {
		subject, inputs, _ := strings.Cut(part, subjectSeparator)
		out = append(out, Decision{subject, inputs})
	}
	return out
}
