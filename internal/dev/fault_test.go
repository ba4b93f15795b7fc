package dev

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestCycleFindsShortChance guards against faults that never take place: what a fault strikes may be there only
// for a short time, such as an owner between two takeovers on a busy machine.
func TestCycleFindsShortChance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		in := &Injector{Cluster: &Cluster{ctx: t.Context()}, plan: Plan{Length: 4 * time.Second}}
		ctx, cancel := context.WithTimeout(t.Context(), in.plan.Length)
		defer cancel()
		struck, restored := 0, 0
		err := in.cycle(ctx, time.Second, func() (func() error, error) {
			since := time.Since(began)
			if since < 1000*time.Millisecond || since > 1200*time.Millisecond {
				return nil, nil
			}
			struck++
			return func() error { restored++; return nil }, nil
		})
		if err != nil || struck != 1 || restored != 1 {
			t.Errorf("struck %d times and restored %d times, want once each; error %v", struck, restored, err)
		}
	})
}
