package link

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/crocusspring/crocusspring/internal/job"
)

// TestExchange checks that messages pass both ways over an upgraded connection, and that receiving from a closed
// link fails.
func TestExchange(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, err := Accept(w, r)
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		var up GuardMessage
		if err := c.Receive(&up); err != nil {
			t.Error(err)
		}
		if err := c.Send(OwnerMessage{Epoch: 3, EchoMS: up.ClockMS}); err != nil {
			t.Error(err)
		}
	}))
	defer server.Close()
	c, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The message is far longer than the read buffer of a connection.
	up := GuardMessage{Node: "n", ClockMS: 42}
	for i := range 2000 {
		up.Running = append(up.Running, RunStatus{RunRef: RunRef{Task: job.TaskID{Job: "job", Index: i}, Run: 1}, Percent: 50})
	}
	if err := c.Send(up); err != nil {
		t.Fatal(err)
	}
	var d OwnerMessage
	if err := c.Receive(&d); err != nil || d.Epoch != 3 || d.EchoMS != 42 {
		t.Errorf("received %+v, %v", d, err)
	}
	if err := c.Receive(&d); err == nil {
		t.Error("received a message from a closed link")
	}
}

// TestRejected checks that Dial fails when the peer isn't the owner, and when nothing listens at the address.
func TestRejected(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		http.Error(w, "not the owner", http.StatusServiceUnavailable)
	}))
	defer server.Close()
	if _, err := Dial(t.Context(), strings.TrimPrefix(server.URL, "http://")); err == nil {
		t.Error("opened a link to a process that doesn't own the cell")
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := l.Addr().String()
	l.Close()
	if _, err := Dial(t.Context(), addr); err == nil {
		t.Error("opened a link to an address without a listener")
	}
}
