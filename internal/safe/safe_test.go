package safe

import (
	"errors"
	"strings"
	"testing"
)

// TestCall checks that a panic becomes an error with its place, and that errors and success pass unchanged.
func TestCall(t *testing.T) {
	failure := errors.New("failure")
	if err := Call("fail", func() error { return failure }); !errors.Is(err, failure) {
		t.Errorf("error %v, want %v", err, failure)
	}
	if err := Call("succeed", func() error { return nil }); err != nil {
		t.Error(err)
	}
	var empty []int
	err := Call("index", func() error { return errors.New(string(rune(empty[0]))) })
	var p *PanicError
	if !errors.As(err, &p) || p.Task != "index" || !strings.Contains(err.Error(), "safe_test.go") {
		t.Errorf("error %v, want a panic with its place", err)
	}
}
