package ownership

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/crocusspring/crocusspring/internal/store"
)

// length is the length of the lease in the tests.
const length = time.Second

// process is a candidate with its own view of the topic, and its appends that are still to be carried out.
type process struct {
	core        *Core
	name        string
	incarnation int
	next        store.Offset
	delayed     []delayedAppend
}

// delayedAppend is an append that is carried out later and whose answer is lost.
type delayedAppend struct {
	record store.Record
	at     store.Offset
}

// boot starts a new incarnation of a process.
func (p *process) boot() {
	p.incarnation++
	p.next, p.delayed = 0, nil
	p.core = New(Options{
		Node: p.name, Incarnation: fmt.Sprintf("%s-%d", p.name, p.incarnation), Addr: p.name, Candidate: true,
		Length: length, RenewEvery: length / 3, Margin: length / 10,
	})
}

// oddLeases are values that another writer may leave under the key of the lease.
var oddLeases = []string{
	"", "{}", "null", "[]", "7", `"text"`, "\xff\x00", `{"node":`, strings.Repeat("[", 20_000), strings.Repeat(`{"node":`, 20_000),
	`{"node":"x","epoch":1e30,"seq":1}`, `{"node":"x","epoch":9223372036854775807,"seq":1}`, `{"node":"x","epoch":-1,"seq":1}`,
	`{"node":"x","epoch":"1","seq":1}`, `{"node":{"node":"x"},"epoch":1,"seq":1}`, `{"node":"","epoch":1,"seq":1}`,
}

// TestOneOwner runs three candidates with lost answers, delayed appends, restarts and slow reads, and another writer that leaves
// odd records. It checks that two never own the cell at once, and that epochs rise and belong to one incarnation each.
func TestOneOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_800_000_000, 0)
		var log []store.Record
		owners := map[int64]string{}
		var all []*process
		for i := range 3 {
			p := &process{name: fmt.Sprintf("p%d", i)}
			p.boot()
			all = append(all, p)
		}
		add := func(r store.Record, at store.Offset) bool {
			if at != store.Offset(len(log)) {
				return false
			}
			r.Offset = at
			log = append(log, r)
			return true
		}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			p := rapid.SampledFrom(all).Draw(t, "process")
			switch rapid.IntRange(0, 10).Draw(t, "event") {
			case 0:
				p.boot()
				if len(log) > 0 && rapid.Bool().Draw(t, "newest only") {
					_ = p.core.Observe(now, log[len(log)-1:], store.Offset(len(log)))
					p.next = store.Offset(len(log))
				}
			case 10:
				add(store.Record{Key: Key, Value: []byte(rapid.SampledFrom(oddLeases).Draw(t, "odd"))}, store.Offset(len(log)))
			case 1:
				for _, l := range p.delayed {
					add(l.record, l.at)
				}
				p.delayed = nil
			case 2, 3, 4, 5:
				if err := p.core.Observe(now, log[p.next:], store.Offset(len(log))); err != nil && !odd(log[p.next:]) {
					t.Fatal(err)
				}
				p.next = store.Offset(len(log))
			default:
				r, at, ok := p.core.Next(now)
				if !ok {
					break
				}
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0:
					add(r, at)
				case 1:
					p.delayed = append(p.delayed, delayedAppend{r, at})
				default:
					if add(r, at) {
						if err := p.core.Appended(now, r, at); err != nil {
							t.Fatal(err)
						}
					}
				}
			}
			checkOwners(t, now, all, owners)
		}
	})
}

// odd reports whether any record is an odd one.
func odd(records []store.Record) bool {
	return slices.ContainsFunc(records, func(r store.Record) bool { return slices.Contains(oddLeases, string(r.Value)) })
}

// checkOwners checks that at most one process owns the cell, and that no epoch has two owners.
func checkOwners(t *rapid.T, now time.Time, all []*process, owners map[int64]string) {
	holder := ""
	for _, p := range all {
		epoch, ok := p.core.Owner(now)
		if !ok {
			continue
		}
		if holder != "" {
			t.Fatalf("%s and %s own the cell at once", holder, p.name)
		}
		holder = p.name
		incarnation := fmt.Sprintf("%s-%d", p.name, p.incarnation)
		if first := owners[epoch]; first != "" && first != incarnation {
			t.Fatalf("epoch %d belongs to %s and %s", epoch, first, incarnation)
		}
		for earlier := range owners {
			if owners[epoch] == "" && earlier > epoch {
				t.Fatalf("%s owns the cell under epoch %d after epoch %d", p.name, epoch, earlier)
			}
		}
		owners[epoch] = incarnation
	}
}

// TestTakeAfterExpiry checks that another candidate takes a lease that isn't renewed, but not before it has
// expired with its margin.
func TestTakeAfterExpiry(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := &process{name: "a"}, &process{name: "b"}
	a.boot()
	b.boot()
	for _, p := range []*process{a, b} {
		if err := p.core.Observe(now, nil, 0); err != nil {
			t.Fatal(err)
		}
	}
	r, at, ok := a.core.Next(now)
	if !ok || at != 0 {
		t.Fatalf("first take: %v at %d", ok, at)
	}
	for _, p := range []*process{a, b} {
		if err := p.core.Appended(now, r, at); err != nil {
			t.Fatal(err)
		}
	}
	if epoch, ok := a.core.Owner(now); !ok || epoch != 1 {
		t.Fatalf("owner after the take: %v, epoch %d", ok, epoch)
	}
	if _, _, ok := b.core.Next(now.Add(length)); ok {
		t.Error("taken before the lease and its margin have expired")
	}
	if _, _, ok := b.core.Next(now.Add(length + length/5)); !ok {
		t.Error("not taken after the lease has expired")
	}
	if _, ok := a.core.Owner(now.Add(length)); ok {
		t.Error("owner after the end of its lease")
	}
}

// TestRelease checks that a cell that was released can be taken at once.
func TestRelease(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := &process{name: "a"}, &process{name: "b"}
	a.boot()
	b.boot()
	if err := a.core.Observe(now, nil, 0); err != nil {
		t.Fatal(err)
	}
	r, at, _ := a.core.Next(now)
	if err := a.core.Appended(now, r, at); err != nil {
		t.Fatal(err)
	}
	released, at2, ok := a.core.Release(now)
	if !ok || at2 != 1 {
		t.Fatalf("release: %v at %d", ok, at2)
	}
	if _, ok := a.core.Owner(now); ok {
		t.Error("owner after releasing the cell")
	}
	released.Offset = at2
	if err := b.core.Observe(now, []store.Record{r, released}, 2); err != nil {
		t.Fatal(err)
	}
	if _, _, ok := b.core.Next(now); !ok {
		t.Error("a cell that was released is not taken")
	}
}

// TestEpochRisesAfterOddLease guards against accepted jobs that never run: another writer leaves an odd record of the lease,
// all processes restart, and epochs begin at 1 again, below those that the workers have seen. Nobody may take the cell either
// while the owner behind the odd record may still hold it, and the record must not hide the leases that follow it.
func TestEpochRisesAfterOddLease(t *testing.T) {
	for _, value := range oddLeases {
		now := time.Unix(1_800_000_000, 0)
		odd := store.Record{Key: Key, Value: []byte(value), Offset: 40}
		a := &process{name: "a"}
		a.boot()
		records := []store.Record{odd}
		if value == "" {
			// The newest records of a topic don't list a key that was deleted.
			records = nil
		}
		if err := a.core.Observe(now, records, 41); (err == nil) != (value == "") {
			t.Errorf("%.40q is read with %v", value, err)
		}
		if _, _, ok := a.core.Next(now.Add(length)); ok {
			t.Errorf("%.40q: taken while its owner may hold the cell", value)
		}
		now = now.Add(2 * length)
		r, at, ok := a.core.Next(now)
		if !ok {
			t.Errorf("%.40q: never taken", value)
			continue
		}
		if err := a.core.Appended(now, r, at); err != nil {
			t.Fatal(err)
		}
		if epoch, ok := a.core.Owner(now); !ok || epoch <= 40 {
			t.Errorf("%.40q: epoch %d, owner %v", value, epoch, ok)
		}
		b := &process{name: "b"}
		b.boot()
		odd.Offset = at
		r.Offset = at + 1
		_ = b.core.Observe(now, []store.Record{odd, r, odd}, at+3)
		if l, ok := b.core.Holder(); !ok || l.Node != "a" {
			t.Errorf("%.40q: holder %+v, want a", value, l)
		}
	}
}
