package routetrial

import (
	"testing"

	"github.com/crocusspring/crocusspring/internal/route"
)

// TestDefaultBeatsBlindPolicies checks on several seeds that the product's policy has a lower p99 latency
// than the policies that ignore the state of the targets while some of them are slow, and that a run with
// the same seed gives the same result.
func TestDefaultBeatsBlindPolicies(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		o := Options{Policy: route.Default, Seed: seed, Requests: 30000, Load: 0.4, Noisy: true}
		got := Run(o)
		if again := Run(o); again != got {
			t.Fatalf("seed %d: %+v, then %+v", seed, got, again)
		}
		for _, p := range []route.Policy{route.Random, route.RoundRobin} {
			o.Policy = p
			if base := Run(o); got.P99 >= base.P99 {
				t.Errorf("seed %d: p99 is %.2f ms, %s has %.2f ms", seed, got.P99, p, base.P99)
			}
		}
	}
}
