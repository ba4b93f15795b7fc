package netcount

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestCountsByPath checks that every byte of alternating requests on one connection is counted for the path
// of its request.
func TestCountsByPath(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var c Counter
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})}
	go func() { _ = srv.Serve(c.Listen(raw)) }()
	t.Cleanup(func() { _ = srv.Close() })
	const rounds = 100
	sizes := map[string]int{"/small": 10, "/large": 10000}
	for range rounds {
		for path, size := range sizes {
			resp, err := http.Post("http://"+raw.Addr().String()+path+"?q=1", "text/plain", strings.NewReader(strings.Repeat("x", size)))
			if err != nil {
				t.Fatal(err)
			}
			if n, _ := io.Copy(io.Discard, resp.Body); n != int64(size) {
				t.Fatalf("%s answered %d bytes", path, n)
			}
			_ = resp.Body.Close()
		}
	}
	for path, size := range sizes {
		got := c.Match("POST " + path)
		body := int64(rounds * size)
		if got.Messages != rounds {
			t.Errorf("%s: %d messages, want %d", path, got.Messages, rounds)
		}
		if head := got.In - body; head <= 0 || head > rounds*300 {
			t.Errorf("%s: %d bytes in for bodies of %d", path, got.In, body)
		}
		if head := got.Out - body; head <= 0 || head > rounds*300 {
			t.Errorf("%s: %d bytes out for bodies of %d", path, got.Out, body)
		}
	}
}
