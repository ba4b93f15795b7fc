package main

import (
	"fmt"
	"time"
)

func init() { cases["long-tasks"] = longTasks }

// longTasks hands in a burst of jobs whose tasks take four minutes. Nothing else happens: all programs and executors are well.
// Without the burst there are two such jobs.
func longTasks(root string, rec *recorder, trouble bool) (int, error) {
	cfg := smallDeployment()
	cfg.root, cfg.sides, cfg.racks = root, 11, 4
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
	n := 2
	if trouble {
		n = 60
	}
	var all []*clientJob
	for range n {
		j := w.newJob(1, &taskDef{Count: 1, CPU: 500, MemMB: 500, EstimateMS: 240_000})
		all = append(all, j)
		go w.submit(j)
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(70 * time.Second)
	accepted := 0
	for i, j := range all {
		s, code := w.state(i%len(w.fronts), j)
		rec.note("GET %s: status=%d state=%q", j.ID, code, s)
		if j.accepted >= 0 {
			accepted++
		}
	}
	w.mu.Lock()
	stopped := 0
	for _, r := range w.runs {
		if r.how == "stopped" {
			stopped++
		}
	}
	w.mu.Unlock()
	fmt.Printf("%d jobs accepted, %d runs stopped by order\n", accepted, stopped)
	return w.verdict("LOST", "TWICE", "LIMIT"), nil
}
