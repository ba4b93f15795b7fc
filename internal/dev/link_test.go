package dev

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestLinkCarriesBytesInOrder checks for random writes that the far end reads exactly these bytes in
// order, after the latency and after the end of a pause.
func TestLinkCarriesBytesInOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		writes := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 1, 100), 1, 20).Draw(rt, "writes")
		delay := time.Duration(rapid.IntRange(0, 50).Draw(rt, "delay")) * time.Millisecond
		pause := time.Duration(rapid.IntRange(0, 500).Draw(rt, "pause")) * time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			near, far := net.Pipe()
			h := newHost(func(string) time.Duration { return delay })
			l := newLink(near, h, "far", delay)
			began := time.Now()
			h.pause()
			go func() {
				time.Sleep(pause)
				h.resume()
			}()
			for _, w := range writes {
				_, _ = l.Write(w)
			}
			_ = l.Close()
			got, err := io.ReadAll(far)
			if err != nil || !bytes.Equal(got, bytes.Join(writes, nil)) {
				t.Errorf("read %d bytes, error %v", len(got), err)
			}
			if took := time.Since(began); took != max(delay, pause) {
				t.Errorf("took %v with delay %v and pause %v", took, delay, pause)
			}
			_ = far.Close()
		})
	})
}

// TestBlackholedLink checks that a blackholed link accepts writes, returns no data and can still be closed.
func TestBlackholedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		l := newLink(near, newHost(func(string) time.Duration { return 0 }), "far", 0)
		if !l.blackhole() || l.blackhole() {
			t.Error("a link becomes blackholed once")
		}
		go func() { _, _ = far.Write([]byte("answer")) }()
		if _, err := l.Write([]byte("ask")); err != nil {
			t.Error(err)
		}
		read := make(chan error, 1)
		go func() {
			_, err := l.Read(make([]byte, 10))
			read <- err
		}()
		synctest.Wait()
		select {
		case err := <-read:
			t.Errorf("a blackholed link answered: %v", err)
		default:
		}
		_ = l.Close()
		if err := <-read; err == nil {
			t.Error("read went on after a close")
		}
		_ = far.Close()
	})
}

// TestKilledHost checks that a killed host neither sends nor receives, and that its address can be
// listened on again.
func TestKilledHost(t *testing.T) {
	p, err := reservePort()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = p.release() }()
	none := func(string) time.Duration { return 0 }
	h := newHost(none)
	l, err := h.listen(p.addr)
	if err != nil {
		t.Fatal(err)
	}
	other := newHost(none)
	defer other.kill()
	out, err := other.dial(context.Background(), "tcp", p.addr)
	if err != nil {
		t.Fatal(err)
	}
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	h.kill()
	_ = l.Close()
	if _, err := in.Write([]byte("late")); err == nil {
		t.Error("a killed host wrote")
	}
	if _, err := out.Read(make([]byte, 1)); err == nil {
		t.Error("a killed host answered")
	}
	if _, err := h.dial(context.Background(), "tcp", p.addr); err == nil {
		t.Error("a killed host dialled")
	}
	if _, err := other.dial(context.Background(), "tcp", p.addr); err == nil {
		t.Error("a killed host accepted")
	}
	again, err := newHost(none).listen(p.addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
}
