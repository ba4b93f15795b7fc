package workload

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// TestScheduleIsDeterministic checks that any seed always generates the same schedule, in order of time, with
// unique tokens, within the run and with run times of the mix.
func TestScheduleIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mix := Mixes()[rapid.SampledFrom([]string{"klang", "hanoi"}).Draw(t, "deployment")]
		seed := rapid.Uint64().Draw(t, "seed")
		length := time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second
		got := Schedule(mix, seed, length)
		if d := cmp.Diff(got, Schedule(mix, seed, length)); d != "" {
			t.Fatalf("two schedules differ: %s", d)
		}
		seen := map[string]bool{}
		last := time.Duration(0)
		for _, a := range got {
			if a.At < last || a.At >= length {
				t.Fatalf("arrival at %v after one at %v in a run of %v", a.At, last, length)
			}
			if seen[a.Token] || (a.Request == nil) == (a.Job == nil) {
				t.Fatalf("arrival %+v", a)
			}
			if a.Job != nil && (a.RunTime < a.Job.MinRun || a.RunTime > a.Job.MaxRun) {
				t.Fatalf("job runs for %v", a.RunTime)
			}
			last, seen[a.Token] = a.At, true
		}
	})
}

// TestOutcomesAreRecorded sends to an entry that answers requests without a key, aborts the first send of a
// keyed request and answers not-run to its resend, and checks the recorded outcomes and times.
func TestOutcomesAreRecorded(t *testing.T) {
	var mu sync.Mutex
	keys := map[string]int{}
	h := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		key := r.Header.Get(headerKey)
		if first := r.Header.Get(headerFirstSend) == "true"; first != (key != "" && keys[key] == 0) {
			t.Errorf("send %d of key %q has first-send header %v", keys[key]+1, key, first)
		}
		switch {
		case r.Method == http.MethodGet:
		case key == "":
			w.Header().Set(headerOutcome, "answered")
			_, _ = w.Write(body)
		case keys[key] == 0:
			keys[key]++
			panic(http.ErrAbortHandler)
		default:
			keys[key]++
			w.Header().Set(headerOutcome, "not-run")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	srv := httptest.NewServer(http.HandlerFunc(h))
	defer srv.Close()
	mix := Mixes()["klang"]
	mix.JobsPerSecond = 0
	rec := history.NewRecorder()
	b := NewBalancer(srv.Client(), []Entry{{Name: "entry", Addr: strings.TrimPrefix(srv.URL, "http://")}})
	o := Options{Mix: mix, Seed: 1, Length: 300 * time.Millisecond, Balancer: b, Client: srv.Client(), Recorder: rec, MaxResends: 1}
	if err := Run(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	count := map[history.Outcome]int{}
	for _, q := range rec.History(time.Now()).Requests {
		count[q.Outcome]++
		if q.Start.Before(q.Due) || q.End.Before(q.Start) {
			t.Errorf("%v: due %v, sent %v, ended %v", q, q.Due, q.Start, q.End)
		}
		if q.Outcome == history.Answered && q.Answer != q.Sent {
			t.Errorf("%v: answer %q", q, q.Answer)
		}
	}
	want := map[history.Outcome]int{history.Answered: 0, history.Lost: len(keys), history.NotRun: len(keys)}
	for _, a := range Schedule(mix, 1, o.Length) {
		if a.Request.Idempotent {
			want[history.Answered]++
		}
	}
	if d := cmp.Diff(want, count); d != "" || len(keys) == 0 {
		t.Errorf("outcomes (-want +got): %s", d)
	}
}
