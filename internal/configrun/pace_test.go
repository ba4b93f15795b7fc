package configrun

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
)

// countedLog counts the reads of one process and can be unavailable to it.
type countedLog struct {
	*sharedLog
	mu    sync.Mutex
	reads int
	down  bool
}

// sharedLog is a memLog that is safe for concurrent use.
type sharedLog struct {
	mu  sync.Mutex
	log memLog
}

// Append implements logsvc.Appender.
func (s *sharedLog) Append(ctx context.Context, stream string, records []json.RawMessage) (logsvc.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log.Append(ctx, stream, records)
}

// Read implements logsvc.Reader.
func (c *countedLog) Read(ctx context.Context, stream string, from logsvc.Offset, limit int, wait time.Duration) (logsvc.Batch, error) {
	c.mu.Lock()
	c.reads++
	down := c.down
	c.mu.Unlock()
	if down {
		return logsvc.Batch{}, errors.New("log is down")
	}
	end := time.Now().Add(wait)
	for {
		c.sharedLog.mu.Lock()
		b, err := c.log.Read(ctx, stream, from, limit, 0)
		c.sharedLog.mu.Unlock()
		if err != nil || len(b.Entries) > 0 || !time.Now().Before(end) || ctx.Err() != nil {
			return b, err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// setDown makes the log unavailable or available to one process and resets the count of reads.
func (c *countedLog) setDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down, c.reads = down, 0
}

// exchange sends the entries of all other processes to one process twice a second.
func exchange(ctx context.Context, ds []*Driver, to int) {
	for ctx.Err() == nil {
		for i, d := range ds {
			if i != to {
				ds[to].Offer(d.Since(ds[to].Offset()), d.Offset(), d.Ready())
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// TestFewFollow runs twelve processes, of which the three with the lowest numbers and a working log follow
// it: the others must rarely read the log, and a record must be in effect in all processes within 5 s, also
// while the log is unavailable to the first three.
func TestFewFollow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const processes, followers, maxDelay = 12, 3, 5 * time.Second
		ctx, cancel := context.WithCancel(t.Context())
		shared := &sharedLog{log: memLog{first: 1}}
		var ds []*Driver
		var cs []*countedLog
		var wg sync.WaitGroup
		follows := func(i int) bool {
			before, any := 0, false
			for j, d := range ds {
				if d.LogOK() {
					any = true
					if j < i {
						before++
					}
				}
			}
			return before < followers && (ds[i].LogOK() || !any && i < followers)
		}
		for i := range processes {
			c := &countedLog{sharedLog: shared}
			cs = append(cs, c)
			opt := Options{Self: fmt.Sprint(i), PollInterval: 30 * time.Second, Follows: func() bool { return follows(i) }, Rank: func() int { return i }}
			ds = append(ds, New(c, opt, logs.Discard()))
		}
		for i, d := range ds {
			wg.Go(func() { d.Run(ctx) })
			wg.Go(func() { exchange(ctx, ds, i) })
		}
		publish := func(expected int64) {
			at := time.Now()
			body := `{"id":"%d","kind":"config","schema":1,"by":"op","body":{"kind":"limits","name":"all","schema":1,"expected":%d,"spec":{}}}`
			first, _ := shared.Append(ctx, config.Stream, []json.RawMessage{json.RawMessage(fmt.Sprintf(body, expected, expected))})
			for i, d := range ds {
				d.Await(ctx, first)
				if took := time.Since(at); took > maxDelay {
					t.Errorf("record %d was in effect in process %d after %v", expected, i, took)
				}
			}
		}
		time.Sleep(10 * time.Second)
		publish(0)
		for _, c := range cs {
			c.setDown(false)
		}
		time.Sleep(time.Minute)
		for i, c := range cs {
			c.mu.Lock()
			if i >= followers && c.reads > 4 {
				t.Errorf("process %d read the log %d times in a minute", i, c.reads)
			}
			c.mu.Unlock()
		}
		publish(1)
		for _, c := range cs[:followers] {
			c.setDown(true)
		}
		time.Sleep(10 * time.Second)
		publish(2)
		cancel()
		wg.Wait()
	})
}
