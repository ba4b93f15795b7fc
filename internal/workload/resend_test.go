package workload

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
)

// TestRefusedConnectionOfResend guards against a false "did not run": the connection of a resend is refused, since its
// entry was killed, while an earlier send of the same key has run. Of the first send it is certain.
func TestRefusedConnectionOfResend(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := Entry{Name: "entry-1", Addr: l.Addr().String()}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	c := &callers{Options: Options{Client: &http.Client{}}}
	a := Arrival{Token: "t", Workspace: "w", Request: &RequestClass{Class: "paid", Budget: time.Minute}}
	for first, want := range map[bool]history.Outcome{true: history.NotRun, false: history.Lost} {
		if q := c.sendOnce(t.Context(), a, "key", closed, time.Now(), first); q.Outcome != want || !q.Unsent {
			t.Errorf("first send %v: outcome %q, unsent %v, want %q, unsent", first, q.Outcome, q.Unsent, want)
		}
	}
}
