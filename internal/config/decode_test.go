package config

import (
	"encoding/json"
	"io/fs"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/api/records"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/google/go-cmp/cmp"
)

// FuzzStep folds an arbitrary entry into a state with one record: the fold must not panic, must advance by
// one offset and keep the record unless the entry deletes it, and a restart from a snapshot must give the
// same state.
func FuzzStep(f *testing.F) {
	const service = `{"id":"a","kind":"config","schema":1,"by":"op","body":{"kind":"service","name":"x","schema":1,"spec":{"budget_ms":5}}}`
	for _, seed := range []string{
		service, `"garbled"`, `{`, `null`, `{"id":"b","kind":"config","schema":9,"body":{}}`, `{"id":"c","kind":"strange","schema":1}`,
		strings.Replace(service, `"x"`, `"y"`, 1), strings.Replace(service, `"schema":1,"spec"`, `"schema":2,"expected":1,"spec"`, 1),
		`{"id":"d","kind":"config","schema":1,"body":{"kind":"service","name":"x","schema":2,"expected":1,"spec":{"budget":"9999999999999s"}}}`,
		`{"id":"e","kind":"config","schema":1,"body":{"kind":"workspace","name":"w","schema":2,"spec":{"weight":1e300,"quota":{"cores":1e300,"memory_gb":0}}}}`,
		`{"id":"f","kind":"config","schema":1,"body":{"kind":"service","name":"x","expected":1,"deleted":true}}`,
		`{"id":"g","kind":"config","schema":1,"body":{"kind":"service","name":"x","expected":1099511627776}}`,
		`{"id":"h","kind":"snapshot","schema":1,"body":{"next":1,"schema":1,"state":{}}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s := NewState()
		if _, err := s.Step(logsvc.Entry{Offset: 1, Data: []byte(service)}); err != nil {
			t.Fatal(err)
		}
		c, err := s.Step(logsvc.Entry{Offset: 2, Data: data})
		if s.Next() != 3 || s.View().Offset != 2 {
			t.Fatalf("the next offset is %d, want 3", s.Next())
		}
		key := Key{KindService, "x"}
		deleted := err == nil && c.Accepted && !c.Repeated && c.Key == key && c.Proposal.Deleted
		if _, ok := s.View().Services["x"]; ok == deleted {
			t.Fatalf("the record is in effect: %v; change %+v, error %v", ok, c, err)
		}
		before := snapshotOf(t, s)
		if got := snapshotOf(t, restored(t, s)); string(got) != string(before) {
			t.Fatalf("a restart from a snapshot changed the state from\n%s\nto\n%s", before, got)
		}
	})
}

// FuzzCheckDocument checks an arbitrary document: the check must not panic, and a document without findings
// must be convertible.
func FuzzCheckDocument(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"service","name":"x","schema":1,"spec":{"budget_ms":5}}`, `{"kind":"drain","name":"d","schema":1,"spec":{"scope":"rack","of":"r"}}`,
		`{"kind":"workspace","name":"w","schema":2,"spec":{"weight":0.5,"quota":{"cores":1.5,"memory_gb":1e30}}}`, `[]`, ``, `{"kind":7}`,
		`{"kind":"service","name":"x","schema":2,"spec":{"budget":"0ms"}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		p, l := CheckDocument(data)
		if len(l) > 0 || p.Deleted {
			return
		}
		if err := converters[schemaID{p.Kind, p.Schema}](newView(), p.Name, Version{Proposal: p}); err != nil {
			t.Fatalf("passed the check and can't be converted: %v", err)
		}
	})
}

// TestSchemaVersionsHaveFiles checks that every schema version has a file and every file a converter, and that
// at least two kinds have two versions.
func TestSchemaVersionsHaveFiles(t *testing.T) {
	files, err := fs.Glob(records.Files, "*-v*.json")
	if err != nil || len(files) != len(converters) {
		t.Fatalf("%d files for %d converters: %v", len(files), len(converters), err)
	}
	withTwo := 0
	for s := range converters {
		if schemas()[s.file()] == nil {
			t.Errorf("no schema file %s", s.file())
		}
		if s.version == 2 {
			withTwo++
		}
	}
	if withTwo < 2 {
		t.Errorf("%d kinds have two versions, want at least 2", withTwo)
	}
}

// TestConversion checks the conversion of records, above all that fields missing in an old schema version keep
// that version's defaults after a newer version was added.
func TestConversion(t *testing.T) {
	s := NewState()
	for i, r := range []struct{ kind, name, schema, spec string }{
		{KindService, "old", "1", `{"budget_ms":200}`},
		{KindService, "new", "2", `{"budget":"0.2s","idempotent":true}`},
		{KindService, "once", "2", `{"budget":"200ms","max_attempts":3}`},
		{KindWorkspace, "old", "1", `{"weight":3,"quota":{"milli_cpu":500}}`},
		{KindWorkspace, "new", "2", `{"weight":1.5,"quota":{"cores":0.5,"memory_gb":2}}`},
		{KindBatchClass, "plain", "1", `{}`},
		{KindDrain, "r", "1", `{"scope":"rack","of":"rack-1","data_centre":"petaling"}`},
		{KindDrain, "d", "1", `{"scope":"data-centre","of":"cyberjaya"}`},
	} {
		p := Proposal{Key: Key{r.kind, r.name}, Schema: int(r.schema[0] - '0'), Spec: json.RawMessage(r.spec)}
		if l := Check(p); len(l) > 0 {
			t.Fatal(l.Err())
		}
		if c := put(t, s, string(rune('a'+i)), p); !c.Accepted {
			t.Fatalf("%s refused: %s", p.Key, c.Reason)
		}
	}
	v := s.View()
	want := map[string]Service{
		"old":  {Name: "old", Budget: 200 * time.Millisecond, MaxAttempts: 1},
		"new":  {Name: "new", Budget: 200 * time.Millisecond, MaxAttempts: 2, RetryRatio: 0.1, Idempotent: true},
		"once": {Name: "once", Budget: 200 * time.Millisecond, MaxAttempts: 1},
	}
	if d := cmp.Diff(want, v.Services); d != "" {
		t.Errorf("services (-want +got):\n%s", d)
	}
	workspaces := map[string]Workspace{
		"old": {Name: "old", Weight: 3, Quota: resource.Vector{MilliCPU: 500, MemoryMB: Unlimited, Accelerators: Unlimited}},
		"new": {Name: "new", Weight: 1.5, Quota: resource.Vector{MilliCPU: 500, MemoryMB: 2000}},
	}
	if d := cmp.Diff(workspaces, v.Workspaces); d != "" {
		t.Errorf("workspaces (-want +got):\n%s", d)
	}
	if c := v.Classes["plain"]; !c.Evictable || c.MaxFailures != 3 {
		t.Errorf("class %+v", c)
	}
	for _, w := range []struct {
		worker, rack, dc string
		drained          bool
	}{{"w", "rack-1", "petaling", true}, {"w", "rack-1", "shah-alam", false}, {"w", "rack-9", "cyberjaya", true}} {
		if _, ok := v.Drained(w.worker, w.rack, w.dc); ok != w.drained {
			t.Errorf("%+v: drained %v", w, ok)
		}
	}
}

// TestUnreadableNewest checks that a record version that this build can't read leaves the previous version in
// effect and is reported as a fault with its offset, also after a restart from a snapshot.
func TestUnreadableNewest(t *testing.T) {
	s := NewState()
	k := Key{KindService, "x"}
	put(t, s, "a", Proposal{Key: k, Schema: 1, Spec: json.RawMessage(`{"budget_ms":5}`)})
	put(t, s, "b", Proposal{Key: k, Schema: 9, Expected: 1, Spec: json.RawMessage(`{"budget":"soon"}`)})
	for _, s := range []*State{s, restored(t, s)} {
		if got := s.View().Services["x"].Budget; got != 5*time.Millisecond {
			t.Errorf("budget %v, want that of the previous version", got)
		}
		if f := s.Faults(); len(f) != 1 || f[0].Offset != 2 || f[0].Record != "service/x" {
			t.Errorf("faults %v", f)
		}
		put(t, s, "c", Proposal{Key: k, Schema: 1, Expected: 2, Spec: json.RawMessage(`{"budget_ms":7}`)})
		if got := s.View().Services["x"].Budget; got != 7*time.Millisecond || len(s.Faults()) != 0 {
			t.Errorf("budget %v with faults %v after a valid version", got, s.Faults())
		}
	}
}
