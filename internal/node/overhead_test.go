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

// send sends one request and returns the time until the whole response was read; 0 when the request
// failed.
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

// openLoop sends at a fixed rate for a time, without waiting for responses, and returns the sorted
// latencies and the number of failed requests.
func openLoop(every, length time.Duration, send func(i int) time.Duration) (latencies []time.Duration, lost int) {
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
			latencies = append(latencies, d)
		})
	}
	wg.Wait()
	slices.Sort(latencies)
	return latencies, lost
}

// percentile returns the p-th quantile of sorted latencies, in milliseconds.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(p*float64(len(sorted))))].Seconds() * 1000
}

// BenchmarkEntryOverhead sends 500 requests per second through an entry and as many directly to a target
// at the same time, and reports both latencies. Run it with -benchtime 1x.
func BenchmarkEntryOverhead(b *testing.B) {
	const every, length = 2 * time.Millisecond, 10 * time.Second
	t := newBench(b)
	n := t.start(b, RoleEntry, "entry-1", listen(b))
	for _, name := range []string{"target-a", "target-b", "target-c", "target-d"} {
		n.members.Announce(t.serveTarget(b, name, ""))
	}
	waitReady(n)
	// The direct calls have a separate target, since they use slots without credits.
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
		b.ReportMetric(percentile(straight, 0.5), "direct-p50-ms")
		b.ReportMetric(percentile(straight, 0.99), "direct-p99-ms")
		b.ReportMetric(percentile(through, 0.5), "entry-p50-ms")
		b.ReportMetric(percentile(through, 0.99), "entry-p99-ms")
		b.ReportMetric(percentile(through, 0.99)-percentile(straight, 0.99), "overhead-p99-ms")
		b.ReportMetric(float64(lost), "lost")
		b.ReportMetric(float64(lostStraight), "direct-lost")
	}
}

// BenchmarkClaim sends 100 requests per second with an idempotency key and as many without at the same
// time, with a log that delays each answer by 2 ms, and reports both latencies and the appends per second.
// Run it with -benchtime 1x.
func BenchmarkClaim(b *testing.B) {
	const every, length = 10 * time.Millisecond, 10 * time.Second
	t := newBench(b)
	t.log.SetFaults(logstand.Faults{Delay: 2 * time.Millisecond})
	n := t.start(b, RoleEntry, "entry-1", listen(b))
	for _, name := range []string{"target-a", "target-b", "target-c", "target-d"} {
		n.members.Announce(t.serveTarget(b, name, ""))
	}
	waitReady(n)
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
		b.ReportMetric(percentile(plain, 0.5), "plain-p50-ms")
		b.ReportMetric(percentile(plain, 0.99), "plain-p99-ms")
		b.ReportMetric(percentile(keyed, 0.5), "keyed-p50-ms")
		b.ReportMetric(percentile(keyed, 0.99), "keyed-p99-ms")
		b.ReportMetric(float64(len(t.log.Appends())-before)/length.Seconds(), "appends/s")
		b.ReportMetric(float64(lost+lostKeyed), "lost")
	}
}
