package trial

import (
	"testing"
	"time"
)

// TestDefaultBeatsBaselines checks on several seeds that the product's placement policy gives services
// a lower p99 latency than each baseline, with no more evictions.
func TestDefaultBeatsBaselines(t *testing.T) {
	for seed := uint64(1); seed <= 3; seed++ {
		got := map[string]Result{}
		for _, p := range Policies() {
			r, err := Run(Options{Policy: p, Seed: seed, Length: time.Hour, Load: 0.7})
			if err != nil {
				t.Fatal(err)
			}
			got[p] = r
			t.Logf("%+v", r)
		}
		for _, p := range []string{"first-fit", "best-fit", "spread"} {
			if got["default"].P99 >= got[p].P99 {
				t.Errorf("seed %d: p99 is %.2f ms, %s has %.2f", seed, got["default"].P99, p, got[p].P99)
			}
			if got["default"].Evictions > got[p].Evictions {
				t.Errorf("seed %d: %d evictions, %s has %d", seed, got["default"].Evictions, p, got[p].Evictions)
			}
		}
	}
}
