package crowd

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/crocusspring/crocusspring/platform/standin"
)

// amplified are whole bodies of legal size whose decoded form is many times larger.
var amplified = []struct {
	name string
	body []byte
}{
	{"steps without fields", filledArray(`{"spec":"x","steps":[`, `{}`, `]}`, limit)},
	{"steps with a wrong count", filledArray(`{"spec":"x","steps":[`, `{"count":-1}`, `]}`, limit)},
	{"dependencies", filledArray(`{"spec":"x","steps":[{"count":1,"depends_on":[`, `0`, `]}]}`, limit)},
	{"members of an unknown name", filledArray(`{"spec":"x","steps":[{"count":1}],"unknown":[`, `{}`, `]}`, limit)},
	{"lists in lists", []byte(`{"spec":"x","steps":` + strings.Repeat(`[`, 9000) + strings.Repeat(`]`, 9000) + `}`)},
	{"a long wrong value", []byte(`{"spec":"x","steps":"` + strings.Repeat("x", limit-30) + `"}`)},
	{"a long field of a step", []byte(`{"spec":"x","steps":[{"count":1,"requires":"` + strings.Repeat("\x80", limit-60) + `"}]}`)},
	{"a long spec", []byte(`{"spec":"` + strings.Repeat("<", limit-60) + `","steps":[{"count":1}]}`)},
}

// TestAmplifiedBody checks that a body of legal size costs no many times its size, alone and together with others, and
// that its refusal is short.
func TestAmplifiedBody(t *testing.T) {
	for _, a := range amplified {
		for _, together := range []int{1, 8} {
			t.Run(fmt.Sprintf("%s/%d", a.name, together), func(t *testing.T) {
				d := deploy(t, true)
				var all sync.WaitGroup
				for range together {
					all.Go(func() {
						status, answer, err := post(t, d.entry.front, standin.QueuePrefix+newJobID(), a.body)
						if err != nil {
							t.Errorf("no answer: %v", err)
						}
						if len(answer) > maxRefusalBytes {
							t.Errorf("the answer with status %d has %d bytes", status, len(answer))
						}
					})
				}
				all.Wait()
				d.submitOrdinary(t)
				d.check(t)
				if size := logSize(t, d.entry); size > maxLogBytes {
					t.Errorf("the log has %d bytes", size)
				}
			})
		}
	}
}

// TestAmplifiedBodyOfOwnInterface checks the same on the product's own interface for jobs of steps.
func TestAmplifiedBodyOfOwnInterface(t *testing.T) {
	const ownLimit = 1 << 20
	for _, a := range []struct {
		name string
		body []byte
	}{
		{"steps without fields", filledArray(`{"id":"x","steps":[`, `{}`, `]}`, ownLimit)},
		{"dependencies", filledArray(`{"id":"x","steps":[{"count":1,"depends_on":[`, `0`, `]}]}`, ownLimit)},
		{"steps with a wrong count", filledArray(`{"id":"x","steps":[`, `{"count":-1}`, `]}`, ownLimit)},
	} {
		t.Run(a.name, func(t *testing.T) {
			d := deploy(t, true)
			status, answer, err := post(t, d.entry.inner, "/v1/step-jobs", a.body)
			if err != nil || len(answer) > maxRefusalBytes {
				t.Errorf("the answer with status %d has %d bytes, %v", status, len(answer), err)
			}
			d.submitOrdinary(t)
			d.check(t)
		})
	}
}
