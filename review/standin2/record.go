package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, with the milliseconds since the start of the case.
type recorder struct {
	mu    sync.Mutex
	out   *bufio.Writer
	file  *os.File
	began time.Time
}

// newRecorder opens the record; with an empty path it writes nothing.
func newRecorder(path string) (*recorder, error) {
	r := &recorder{began: time.Now()}
	if path == "" {
		return r, nil
	}
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	r.file, r.out = f, bufio.NewWriter(f)
	return r, nil
}

// ms returns the milliseconds since the start of the case.
func (r *recorder) ms() int64 { return time.Since(r.began).Milliseconds() }

// note writes one line.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		fmt.Fprintf(r.out, "%7d ", time.Since(r.began).Milliseconds())
		fmt.Fprintf(r.out, format+"\n", args...)
	}
}

// close ends the record.
func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.out != nil {
		r.out.Flush()
		r.file.Close()
		r.out = nil
	}
}
