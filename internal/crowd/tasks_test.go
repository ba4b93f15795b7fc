package crowd

import (
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/platform/standin"
)

// TestManyTasks checks that accepted jobs don't outgrow the owner, however many tasks they have.
func TestManyTasks(t *testing.T) {
	const jobs, tasksPerStep = 10, 78
	steps := make([]standin.Step, job.MaxSteps)
	for i := range steps {
		steps[i] = standin.Step{Count: tasksPerStep, CPU: 4000, MemMB: 10, Estimate: 60_000}
	}
	d := deploy(t, true)
	client := standin.NewClient()
	for range jobs {
		status, err := client.Submit(t.Context(), d.entry.front, newJobID(), steps)
		t.Logf("status %d, %v", status, err)
		time.Sleep(200 * time.Millisecond)
	}
	d.checkAnswered(t)
	time.Sleep(time.Second)
	d.check(t)
}
