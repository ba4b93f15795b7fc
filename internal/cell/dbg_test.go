package cell

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/record"
)

func TestDbg(t *testing.T) {
	var c chaos
	if err := json.Unmarshal([]byte(os.Getenv("CHAOS")), &c); err != nil {
		t.Skip()
	}
	m := newModel(c, 4)
	for range int(12 * time.Second / modelTick) {
		m.tick(true)
	}
	m.settle()
	fmt.Println(m.hist.wrong, m.open())
	for i, raw := range m.log {
		e, _ := record.Decode(raw)
		s := string(e.Body)
		if e.Kind == record.KindLease || strings.Contains(s, os.Getenv("JOB")) {
			fmt.Println(i+1, e.Kind, e.By, s)
		}
	}
}

func TestStat(t *testing.T) {
	ev, res, jobs, runs, snaps := 0, 0, 0, 0, 0
	for seed := range 20 {
		m := newModel(chaos{Seed: uint64(seed), Kill: true, Crash: true, Expire: true}, 4)
		for range int(12 * time.Second / modelTick) {
			m.tick(true)
		}
		m.settle()
		jobs += len(m.jobs)
		runs += len(m.hist.started)
		res += len(m.hist.resumed)
		for _, id := range m.jobs {
			x, _ := m.cores[0].core.Task(id)
			ev += x.Evictions
		}
		for _, raw := range m.log {
			if e, _ := record.Decode(raw); e.Kind == record.KindSnapshot {
				snaps++
			}
		}
	}
	fmt.Println("jobs", jobs, "runs", runs, "evictions", ev, "resumes", res, "snaps", snaps)
}

func TestExplainDbg(t *testing.T) {
	m := newModel(chaos{Cancel: true}, 4)
	for range int(12 * time.Second / modelTick) {
		m.tick(true)
	}
	m.settle()
	for _, mc := range m.cores {
		if mc.core.own == nil {
			continue
		}
		o := mc.core.own
		for _, w := range o.order {
			fmt.Printf("%s live %v fenced %v busy %v poll %v stray %v mirror %d assumed %d held %d view %+v\n", w.name, w.live, w.fenced, w.busy, w.polling, w.stray, len(w.mirror), len(w.assumed), len(mc.core.state.held[w.name]), w.view)
		}
		fmt.Println("flight", o.out.flight != nil, o.out.calls, "queue", o.queue.Len(), "holds", o.holds, "evicts", len(o.evicts))
		for _, id := range m.jobs {
			x, _ := mc.core.Task(id)
			if !x.Done() {
				e, _ := mc.core.Explain(m.now, id)
				fmt.Printf("%s %+v\n", id, e)
			}
		}
	}
}
