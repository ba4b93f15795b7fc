package crowd

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/platform/standin"
)

const (
	// crowdSize is the number of clients of a crowd; a machine has fewer sockets.
	crowdSize = 100
	// limit is the largest body of the interface, in bytes.
	limit = standin.MaxBodyBytes
	// unknownPath belongs to no queue.
	unknownPath = "/nowhere/0123456789abcdef"
)

// misuses are the requests of crowds.
var misuses = []struct {
	name string
	misuse
}{
	{"announced, one byte missing", misuse{method: "POST", announced: limit, body: paddedJob(limit)[:limit-1]}},
	{"announced, nothing sent", misuse{method: "POST", announced: limit}},
	{"chunks of 64 KiB, end missing", misuse{method: "POST", chunk: 64 << 10, body: paddedJob(limit)}},
	{"chunks of 16 bytes, end missing", misuse{method: "POST", chunk: 16, body: paddedJob(limit)}},
	{"chunks of 1 byte, end missing", misuse{method: "POST", chunk: 1, body: paddedJob(limit)[:limit/4]}},
	{"announced, whole", misuse{method: "POST", announced: limit, body: paddedJob(limit)}},
	{"chunks of 64 KiB, whole", misuse{method: "POST", chunk: 64 << 10, body: paddedJob(limit), whole: true}},
	{"1 GB announced", misuse{method: "POST", announced: 1 << 30, body: paddedJob(8 * limit)}},
	{"chunks of 64 KiB, far over", misuse{method: "POST", chunk: 64 << 10, body: paddedJob(8 * limit)}},
	{"chunks of 16 bytes, far over", misuse{method: "POST", chunk: 16, body: paddedJob(2 * limit)}},
	{"GET, announced, one byte missing", misuse{method: "GET", announced: limit, body: paddedJob(limit)[:limit-1]}},
	{"GET, chunks of 16 bytes, end missing", misuse{method: "GET", chunk: 16, body: paddedJob(limit)}},
	{"DELETE, announced, one byte missing", misuse{method: "DELETE", announced: limit, body: paddedJob(limit)[:limit-1]}},
	{"unknown path, announced, one byte missing", misuse{method: "POST", path: unknownPath, announced: limit, body: paddedJob(limit)[:limit-1]}},
	{"unknown path, chunks of 64 KiB, end missing", misuse{method: "POST", path: unknownPath, chunk: 64 << 10, body: paddedJob(limit)}},
	{"headers without end", misuse{raw: []byte("POST / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 768<<10))}},
	{"many small headers without end", misuse{raw: []byte("POST / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 4<<10))}},
	{"many different headers without end", misuse{raw: differentHeaders(16 << 10)}},
	{"nothing sent", misuse{raw: []byte{}}},
	{"half a request line", misuse{raw: []byte("POST /jo")}},
	{"many requests, no answer read", misuse{raw: bytes.Repeat([]byte("GET "+unknownPath+" HTTP/1.1\r\nHost: a\r\n\r\n"), 20_000)}},
}

// differentHeaders returns the beginning of a request with headers of size bytes, each with another name.
func differentHeaders(size int) []byte {
	b := []byte("POST / HTTP/1.1\r\nHost: a\r\n")
	for i := 0; len(b) < size; i++ {
		b = fmt.Appendf(b, "%x:\r\n", i)
	}
	return b
}

// TestCrowd checks an entry with crowds of clients.
func TestCrowd(t *testing.T) {
	for _, m := range misuses {
		t.Run(m.name, func(t *testing.T) {
			d := deploy(t, true)
			c := gather(t, d.entry.front, crowdSize, m.misuse)
			d.submitOrdinary(t)
			d.checkReady(t)
			c.checkDismissed(t)
			d.submitOrdinary(t)
			d.check(t)
		})
	}
}

// TestCrowdBeforeConfiguration checks an entry that has no configuration yet and refuses all requests.
func TestCrowdBeforeConfiguration(t *testing.T) {
	d := deploy(t, false)
	c := gather(t, d.entry.front, crowdSize, misuse{method: "POST", announced: limit, body: paddedJob(limit)[:limit-1]})
	status, _, err := post(t, d.entry.front, standin.QueuePrefix+newJobID(), paddedJob(100))
	if err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("an ordinary request is answered with status %d, %v", status, err)
	}
	c.checkDismissed(t)
	d.check(t)
}

// TestMoreConnectionsThanDescriptors checks that connections don't use up the descriptors that the process needs for
// the store and for the balancer's checks.
func TestMoreConnectionsThanDescriptors(t *testing.T) {
	d := deploy(t, true)
	// One descriptor of the test for each connection, and one of the process while it has any.
	c := gather(t, d.entry.front, maxFDs+crowdSize, misuse{method: "POST", announced: limit, body: paddedJob(1000)})
	d.submitOrdinary(t)
	d.checkReady(t)
	c.checkDismissed(t)
	d.check(t)
}

// TestCrowdOnOtherListeners checks the listeners that clients don't use, but a stray process on the network may.
func TestCrowdOnOtherListeners(t *testing.T) {
	const relayLimit = 4 << 20
	for _, c := range []struct {
		name string
		addr func(d *deployment) string
		misuse
	}{
		{"entry/ready", func(d *deployment) string { return d.entry.ready }, misuse{method: "GET", path: "/v1/ready", announced: limit, body: paddedJob(limit)[:limit-1]}},
		{"entry/inner/step-jobs", func(d *deployment) string { return d.entry.inner }, misuse{method: "POST", path: "/v1/step-jobs", announced: 1 << 20, body: paddedJob(1 << 20)[:1<<20-1]}},
		{"entry/inner/unknown path", func(d *deployment) string { return d.entry.inner }, misuse{method: "POST", path: unknownPath, announced: limit, body: paddedJob(limit)[:limit-1]}},
		{"entry/inner/takeover", func(d *deployment) string { return d.entry.inner }, misuse{method: "POST", path: "/v1/cell/owner", chunk: 64 << 10, body: paddedJob(relayLimit)}},
		{"entry/metrics", func(d *deployment) string { return d.entry.metrics }, misuse{method: "GET", path: "/metrics", chunk: 64 << 10, body: paddedJob(limit)}},
		{"guard/control", func(d *deployment) string { return d.guards[0].control }, misuse{method: "POST", path: "/v1/instances/i-1/heartbeat", announced: relayLimit, body: paddedJob(relayLimit)[:relayLimit-1]}},
		{"guard/inner/relay", func(d *deployment) string { return d.guards[0].inner }, misuse{method: "POST", path: "/v1/cell/relay", announced: relayLimit, body: paddedJob(relayLimit)[:relayLimit-1]}},
		{"guard/inner/relay, whole", func(d *deployment) string { return d.guards[0].inner }, misuse{method: "POST", path: "/v1/cell/relay", announced: relayLimit, body: filledArray("[", "{}", "]", relayLimit)}},
		{"guard/inner/link without messages", func(d *deployment) string { return d.guards[0].inner }, misuse{raw: []byte("GET /v1/link HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: crocus-link\r\n\r\n")}},
		{"guard/metrics", func(d *deployment) string { return d.guards[0].metrics }, misuse{method: "POST", path: "/metrics", announced: limit, body: paddedJob(limit)[:limit-1]}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := deploy(t, true)
			crowd := gather(t, c.addr(d), crowdSize, c.misuse)
			d.submitOrdinary(t)
			d.checkReady(t)
			crowd.checkDismissed(t)
			d.submitOrdinary(t)
			d.check(t)
		})
	}
}

// TestSlowRequestInCalm checks that one request of exactly the largest size, which is sent slowly but within its
// deadline, is served.
func TestSlowRequestInCalm(t *testing.T) {
	for _, chunked := range []bool{false, true} {
		t.Run(fmt.Sprintf("chunked=%t", chunked), func(t *testing.T) {
			d := deploy(t, true)
			raw, err := net.Dial("tcp", d.entry.front)
			if err != nil {
				t.Fatal(err)
			}
			defer raw.Close()
			const deadline, parts = 8 * time.Second, 20
			coding := fmt.Sprintf("Content-Length: %d", limit)
			if chunked {
				coding = "Transfer-Encoding: chunked"
			}
			fmt.Fprintf(raw, "POST %s%s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n%s\r\n\r\n",
				standin.QueuePrefix, newJobID(), standin.QueueHost, deadline.Milliseconds(), coding)
			for part := range chunks(paddedJob(limit), limit/parts) {
				time.Sleep(deadline / 2 / parts)
				if chunked {
					part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
				}
				if _, err := raw.Write(part); err != nil {
					t.Fatal(err)
				}
			}
			if chunked {
				fmt.Fprint(raw, "0\r\n\r\n")
			}
			answer := make([]byte, len("HTTP/1.1 200"))
			if _, err := io.ReadFull(raw, answer); err != nil || string(answer) != "HTTP/1.1 200" {
				t.Errorf("answered with %q, %v", answer, err)
			}
			d.check(t)
		})
	}
}
