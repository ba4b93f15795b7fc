package main

import (
	"math/rand"
	"os"
	"strconv"
	"time"
)

// envInt returns the number in an environment variable, or a default.
func envInt(name string, def int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return def
}

func init() { cases["copies-at-handover"] = copiesAtHandover }

// copiesAtHandover stops the process that owns the cell, as at a rolling restart, while speculative jobs run on full workers.
func copiesAtHandover(root string, rec *recorder, trouble bool) (int, error) {
	cfg := smallDeployment()
	cfg.root, cfg.stopMS = root, 400
	w, err := newWorld(cfg, rec)
	if err != nil {
		return 0, err
	}
	defer w.end()
	if err := w.begin(); err != nil {
		return 0, err
	}
	if err := w.awaitReady(); err != nil {
		return 0, err
	}
	// Lasting tasks take most of the room.
	for range 4 {
		w.submit(w.newJob(2, &taskDef{Count: 5, AntiAffinity: 1, CPU: 3200, MemMB: 4000, EstimateMS: 500, LongRunning: true, actualMS: 1e12, Image: "watch", TargetMS: 100}))
	}
	time.Sleep(3 * time.Second)
	// A tenth of the runs take five times as long as declared.
	w.mu.Lock()
	w.outcomeOf = func(r *workRun) (string, float64) {
		if r.def.Speculative && rand.Float64() < 0.2 {
			return "done", 5 * r.def.actualMS
		}
		return "", 0
	}
	w.mu.Unlock()
	surplus := make(chan struct{}, 1)
	w.mu.Lock()
	w.onStop = func(r *workRun) {
		if r.def == nil || !r.def.Speculative {
			return
		}
		select {
		case surplus <- struct{}{}:
		default:
		}
	}
	w.mu.Unlock()
	end := time.Now().Add(time.Duration(envInt("SECS", 75)) * time.Second)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		for trouble && time.Now().Before(end.Add(-5*time.Second)) {
			time.Sleep(3 * time.Second)
			select {
			case <-surplus:
			default:
			}
			select {
			case <-surplus:
			case <-time.After(4 * time.Second):
			}
			if p := w.side(w.owner()); p != nil {
				w.term(p)
				time.Sleep(500 * time.Millisecond)
				w.run(p)
			}
		}
	}()
	rate := float64(envInt("RATE", 25)) / 10
	for time.Now().Before(end) {
		j := w.newJob(0, &taskDef{Count: 3 + rand.Intn(6), CPU: int64(600 + rand.Intn(300)), MemMB: 480, EstimateMS: 640, Speculative: true})
		go w.submit(j)
		time.Sleep(time.Duration(rand.ExpFloat64() / rate * float64(time.Second)))
	}
	<-stopped
	time.Sleep(3 * time.Second)
	return w.verdict("LIMIT"), nil
}
