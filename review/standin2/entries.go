package main

import (
	"errors"
	"strings"
	"sync/atomic"
	"time"
)

func init() {
	cases["start-in-next-birth"] = startInNextBirth
	cases["most-machines-lost"] = mostMachinesLost
}

// startInNextBirth leaves one start without an answer and carries it out 5.5 s later. Meanwhile the machine loses power for 3.5 s; its
// executor is back a little before its guard.
func startInNextBirth(root string, rec *recorder, trouble bool) (int, error) {
	cfg := smallDeployment()
	cfg.root = root
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
	time.Sleep(4 * time.Second)
	owner := w.owner()
	var first atomic.Pointer[executor]
	var chosen, late1 atomic.Bool
	w.mu.Lock()
	for _, e := range w.execs {
		if e.name == owner {
			continue
		}
		e.fateOf = func(path string) (fate, time.Duration) {
			if trouble && strings.HasSuffix(path, "run-start") && chosen.Load() && late1.CompareAndSwap(false, true) {
				first.Store(e)
				rec.note("executor %s: no answer to a start, it will be carried out in 5.5 s", e.name)
				return late, 5500 * time.Millisecond
			}
			return answered, 0
		}
	}
	w.mu.Unlock()
	chosen.Store(true)
	// Eight tasks of 6.8 s, the longest of the sheets.
	j := w.newJob(1, &taskDef{Count: 8, CPU: 1800, MemMB: 3200, EstimateMS: 6800, AntiAffinity: 2})
	if !w.submit(j) {
		return 0, errors.New("the job was not accepted")
	}
	time.Sleep(time.Second)
	if trouble {
		e := first.Load()
		if e == nil {
			return 0, errors.New("no start went to an executor beside the owner's")
		}
		g := w.side(e.name)
		rec.note("power off: %s", e.name)
		w.kill(g)
		e.crash()
		time.Sleep(3500 * time.Millisecond)
		rec.note("power on: %s", e.name)
		if err := e.start(false); err != nil {
			return 0, err
		}
		time.Sleep(1500 * time.Millisecond)
		if err := w.run(g); err != nil {
			return 0, err
		}
	}
	time.Sleep(14 * time.Second)
	return w.verdict("TWICE", "LIMIT"), nil
}

// mostMachinesLost removes four of five machines for good, with the one that owns the cell.
func mostMachinesLost(root string, rec *recorder, trouble bool) (int, error) {
	cfg := smallDeployment()
	cfg.root = root
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
	var all []*clientJob
	for range 3 {
		j := w.newJob(2, &taskDef{Count: 4, CPU: 500, MemMB: 500, EstimateMS: 500, LongRunning: true, actualMS: 1e12, Image: "watch", TargetMS: 100})
		if !w.submit(j) {
			return 0, errors.New("a job was not accepted")
		}
		all = append(all, j)
	}
	time.Sleep(12 * time.Second)
	lostAt := rec.ms()
	if trouble {
		// The one that stays doesn't own the cell and has the fewest lasting tasks.
		owner, stays, fewest := w.owner(), -1, 0
		w.mu.Lock()
		for i, e := range w.execs {
			if e.name != owner && (stays < 0 || len(e.running) < fewest) {
				stays, fewest = i, len(e.running)
			}
		}
		w.mu.Unlock()
		for i, e := range w.execs {
			if i != stays {
				rec.note("removed for good: %s", e.name)
				w.kill(w.sides[i])
				e.crash()
			}
		}
	}
	time.Sleep(16 * time.Second)
	w.mu.Lock()
	for _, j := range all {
		w.checkLasting(j, lostAt)
	}
	w.mu.Unlock()
	return w.verdict("LOST", "TWICE", "LIMIT"), nil
}

// checkLasting looks for tasks that last and of which nothing runs for 3 s, from 6 s after their last run and 4 s after the last
// disruption on. One executor has the room for all of them twice over. The caller holds the lock.
func (w *world) checkLasting(j *clientJob, calmFrom int64) {
	const sinceRun, calm, still = 6000, 4000, 3000
	now := w.rec.ms()
	byTask := map[string][]*workRun{}
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, j.ID+".") {
			byTask[r.task] = append(byTask[r.task], r)
		}
	}
	for task, runs := range byTask {
		for i, r := range runs {
			if r.ended < 0 {
				continue
			}
			next := now
			if i+1 < len(runs) {
				next = runs[i+1].began
			}
			if from := max(r.ended+sinceRun, calmFrom+calm); next-from > still {
				w.breakRule("LOST", "%s doesn't run for %d ms after run=%d on %s has ended", task, next-r.ended, r.run, r.ex.name)
			}
		}
	}
}
