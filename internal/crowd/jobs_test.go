package crowd

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/platform/standin"
)

// TestManyLargeJobs checks that accepted jobs don't outgrow the owner, however many with long names there are.
func TestManyLargeJobs(t *testing.T) {
	const jobs, nameBytes = 300, 900
	name := strings.Repeat("x", nameBytes)
	steps := make([]map[string]any, job.MaxSteps)
	for i := range steps {
		steps[i] = map[string]any{"count": 1, "cpu": 100, "requires": name, "data_rack": name, "image": name}
	}
	body, err := json.Marshal(map[string]any{"spec": strings.Repeat("x", job.MaxPayload), "steps": steps})
	if err != nil {
		t.Fatal(err)
	}
	d := deploy(t, true)
	outcomes := map[int]int{}
	for range jobs {
		status, _, err := post(t, d.entry.front, standin.QueuePrefix+newJobID(), body)
		if err != nil {
			t.Errorf("no answer: %v", err)
		}
		outcomes[status]++
	}
	t.Logf("%d jobs of %d bytes by status: %v", jobs, len(body), outcomes)
	if outcomes[http.StatusOK] == 0 {
		t.Error("no job is accepted")
	}
	d.checkAnswered(t)
	time.Sleep(time.Second)
	d.check(t)
}
