package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"pgregory.net/rapid"
)

// entry is one record of the modelled log; exactly one field is set.
type entry struct {
	claim    *Claim
	release  *Release
	outcome  *Outcome
	snapshot []Snapshot
}

// process is one reader and writer of the log.
type process struct {
	name    string
	fold    *Fold
	next    int
	first   logsvc.Offset
	awaited []Claim
}

// model is a log with retention, its processes, and the number of runs of each key.
type model struct {
	t         *rapid.T
	now       time.Time
	log       []entry
	first     int
	inFlight  []entry
	processes []*process
	runs      map[Key]int
	claims    int
	lost      int
	gaps      int
	// restored counts folds restored from a snapshot.
	restored int
}

// restart gives a process an empty fold, as after a crash.
func (p *process) restart() {
	p.fold, p.next, p.first, p.awaited = NewFold(), 0, 1, nil
}

// read lets a process fold a few entries.
func (m *model) read(p *process) {
	for range rapid.IntRange(1, 6).Draw(m.t, "entries") {
		if p.next < m.first {
			p.fold.RecordGap()
			p.next, p.first = m.first, logsvc.Offset(m.first+1)
			m.gaps++
		}
		if p.next >= len(m.log) {
			return
		}
		e := m.log[p.next]
		p.next++
		switch {
		case e.claim != nil:
			p.fold.Claimed(m.now, *e.claim)
		case e.release != nil:
			p.fold.Released(m.now, *e.release)
		case e.outcome != nil:
			p.fold.Settled(*e.outcome)
		case len(e.snapshot) > 0 && !p.fold.Complete() && e.snapshot[0].Next >= p.first:
			p.fold, p.next = p.fold.Restore(m.now, e.snapshot), int(e.snapshot[0].Next-1)
			m.restored++
			return
		}
	}
}

// send starts the append of a record; it may reach the log late and more than once.
func (m *model) send(e entry) { m.inFlight = append(m.inFlight, e) }

// appendInFlight appends a record in flight to the log.
func (m *model) appendInFlight() {
	if len(m.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.inFlight)-1).Draw(m.t, "record")
	m.log = append(m.log, m.inFlight[i])
	if rapid.IntRange(0, 3).Draw(m.t, "again") > 0 {
		m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	}
}

// claim lets a process claim a key that is not in its fold, as claimrun does.
func (m *model) claim(p *process) {
	k := Key(rapid.SampledFrom([]string{"k1", "k2"}).Draw(m.t, "key"))
	if _, ok := p.fold.Get(k); ok || !p.fold.Covers(string(k)) || p.next < m.first {
		return
	}
	m.claims++
	c := Claim{Key: k, ID: fmt.Sprint("c", m.claims), Owner: p.name, At: m.now.UnixMilli()}
	p.fold.Await(c.ID)
	p.awaited = append(p.awaited, c)
	m.send(entry{claim: &c})
}

// act lets a process act on its oldest awaited claim: run the request, drop a lost claim or release it.
func (m *model) act(p *process) {
	if len(p.awaited) == 0 {
		return
	}
	c := p.awaited[0]
	v := p.fold.Verdict(c.ID)
	late := rapid.IntRange(0, 4).Draw(m.t, "late") == 0
	if v == Pending && !late {
		return
	}
	p.awaited = p.awaited[1:]
	p.fold.StopAwaiting(c.ID)
	switch {
	case v == Lost:
		m.lost++
	case v == Pending, v == Void, late:
		m.send(entry{release: &Release{c.Key, c.ID}})
	default:
		m.runs[c.Key]++
		if m.runs[c.Key] > 1 {
			m.t.Fatalf("%s ran again at %s under claim %s", c.Key, p.name, c.ID)
		}
		m.send(entry{outcome: &Outcome{Key: c.Key, ID: c.ID, Outcome: targetapi.Answered}})
	}
}

// step performs one random operation.
func (m *model) step() {
	m.now = m.now.Add(time.Second)
	p := rapid.SampledFrom(m.processes).Draw(m.t, "process")
	switch rapid.SampledFrom([]string{"claim", "claim", "read", "read", "read", "land", "land", "land", "act", "act", "act", "crash", "trim", "snapshot"}).Draw(m.t, "what") {
	case "claim":
		m.claim(p)
	case "read":
		m.read(p)
	case "land":
		m.appendInFlight()
	case "act":
		m.act(p)
	case "crash":
		if rapid.IntRange(0, 3).Draw(m.t, "really") == 0 {
			p.restart()
		}
	case "trim":
		m.first = min(len(m.log), m.first+rapid.IntRange(0, 3).Draw(m.t, "lost"))
	case "snapshot":
		if p.next >= m.first {
			m.send(entry{snapshot: p.fold.Snapshot(m.now, logsvc.Offset(p.next+1))})
		}
	}
}

// TestAtMostOnce checks that no key is run twice, however records are delayed, duplicated, removed by
// retention or lost from memory in a crash.
func TestAtMostOnce(t *testing.T) {
	ran, lost, gaps, restored := 0, 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: time.Unix(1000, 0), runs: map[Key]int{}}
		for _, name := range []string{"a", "b", "c"} {
			p := &process{name: name}
			p.restart()
			m.processes = append(m.processes, p)
		}
		for range rapid.IntRange(20, 300).Draw(t, "steps") {
			m.step()
		}
		for _, n := range m.runs {
			ran += n
		}
		lost, gaps, restored = lost+m.lost, gaps+m.gaps, restored+m.restored
	})
	if ran == 0 || lost == 0 || gaps == 0 || restored == 0 {
		t.Fatalf("test exercised too little: %d runs, %d lost claims, %d gaps, %d restored", ran, lost, gaps, restored)
	}
}
