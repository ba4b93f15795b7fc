package node

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/google/uuid"
)

// send sends one request and returns how long the whole answer took; 0 when it was not answered.
func (t *bench) send(url string, hdr http.Header) time.Duration {
	began := time.Now()
	req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte("seat")))
	if err != nil {
		return 0
	}
	req.Header = hdr
	resp, err := t.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		return 0
	}
	return time.Since(began)
}

// openLoop sends at a fixed rate for a time and returns the sorted latencies.
func openLoop(every, length time.Duration, send func(i int) time.Duration) (took []time.Duration, lost int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	began := time.Now()
	for i := range int(length / every) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * every)))
		wg.Go(func() {
			d := send(i)
			mu.Lock()
			defer mu.Unlock()
			if d == 0 {
				lost++
				return
			}
			took = append(took, d)
		})
	}
	wg.Wait()
	slices.Sort(took)
	return took, lost
}

// at returns a percentile in milliseconds.
func at(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))].Seconds() * 1000
}

// BenchmarkEntryOverhead sends 500 requests a second through an entry and as many straight to a
// target at the same time, and gives both latencies. Run it with -benchtime 1x.
func BenchmarkEntryOverhead(b *testing.B) {
	const every, length = 2 * time.Millisecond, 10 * time.Second
	t := newBench(b)
	n := t.start(b, RoleEntry, "entry-1", listen(b))
	for _, name := range []string{"target-a", "target-b", "target-c", "target-d"} {
		n.members.Announce(t.serveTarget(b, name, ""))
	}
	ready(n)
	// The direct calls have a target of their own, since they take slots without credits.
	t.serveTarget(b, "target-direct", "")
	direct := http.Header{targetapi.HeaderBudgetMS: {"500"}, targetapi.HeaderAttempt: {"1"}}
	for b.Loop() {
		var straight []time.Duration
		var lostStraight int
		var wg sync.WaitGroup
		wg.Go(func() {
			straight, lostStraight = openLoop(every, length, func(i int) time.Duration {
				h := direct.Clone()
				h.Set(targetapi.HeaderRequestID, "direct-"+time.Now().Format(time.StampNano)+string(rune('a'+i%26)))
				return t.send(t.target+"/v1/run", h)
			})
		})
		through, lost := openLoop(every, length, func(int) time.Duration {
			return t.send(t.entry+"/v1/services/holds/call", http.Header{targetapi.HeaderBudgetMS: {"500"}})
		})
		wg.Wait()
		b.ReportMetric(at(straight, 0.5), "direct-p50-ms")
		b.ReportMetric(at(straight, 0.99), "direct-p99-ms")
		b.ReportMetric(at(through, 0.5), "entry-p50-ms")
		b.ReportMetric(at(through, 0.99), "entry-p99-ms")
		b.ReportMetric(at(through, 0.99)-at(straight, 0.99), "overhead-p99-ms")
		b.ReportMetric(float64(lost), "lost")
		b.ReportMetric(float64(lostStraight), "direct-lost")
	}
}

// BenchmarkClaim sends 100 requests a second with a key and as many without at the same time, over a
// log that takes 2 ms for each answer, and gives both latencies and the appends. Run it with
// -benchtime 1x.
func BenchmarkClaim(b *testing.B) {
	const every, length = 10 * time.Millisecond, 10 * time.Second
	t := newBench(b)
	t.log.SetFaults(logstand.Faults{Delay: 2 * time.Millisecond})
	n := t.start(b, RoleEntry, "entry-1", listen(b))
	for _, name := range []string{"target-a", "target-b", "target-c", "target-d"} {
		n.members.Announce(t.serveTarget(b, name, ""))
	}
	ready(n)
	url := t.entry + "/v1/services/holds/call"
	for b.Loop() {
		before := len(t.log.Appends())
		var plain, keyed []time.Duration
		var lost, lostKeyed int
		var wg sync.WaitGroup
		wg.Go(func() {
			plain, lost = openLoop(every, length, func(int) time.Duration {
				return t.send(url, http.Header{targetapi.HeaderBudgetMS: {"1000"}})
			})
		})
		keyed, lostKeyed = openLoop(every, length, func(int) time.Duration {
			return t.send(url, http.Header{targetapi.HeaderBudgetMS: {"1000"}, targetapi.HeaderKey: {uuid.Must(uuid.NewV7()).String()}})
		})
		wg.Wait()
		b.ReportMetric(at(plain, 0.5), "plain-p50-ms")
		b.ReportMetric(at(plain, 0.99), "plain-p99-ms")
		b.ReportMetric(at(keyed, 0.5), "keyed-p50-ms")
		b.ReportMetric(at(keyed, 0.99), "keyed-p99-ms")
		b.ReportMetric(float64(len(t.log.Appends())-before)/length.Seconds(), "appends/s")
		b.ReportMetric(float64(lost+lostKeyed), "lost")
	}
}
