package dev

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/crocusspring/crocusspring/internal/standin"
	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
)

// leaveTimeout bounds one announcement that a target leaves.
const leaveTimeout = 2 * time.Second

// errNobodyTold says that no process took an announcement.
var errNobodyTold = errors.New("no process took the announcement")

// Target is one target of the cluster.
type Target struct {
	*targetstand.Target
	Name string
	Addr string

	body      announce.Announcement
	announcer *standin.Announcer
	silence   context.CancelFunc
}

// Worker is one worker of the cluster.
type Worker struct {
	*workerstand.Worker
	Name string

	body    announce.Announcement
	silence context.CancelFunc
}

// startTarget runs one target.
func (c *Cluster) startTarget(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a := announce.Announcement{
		Role: announce.RoleTarget, Name: fmt.Sprintf("target-%02d", i+1), DataCentre: c.dataCentre(i), Address: l.Addr().String(),
		Service: c.Shape.Service, Slots: c.Shape.Slots, Connections: c.Shape.Conns, Incarnation: time.Now().UnixNano(),
	}
	if c.opt.Guards {
		a.Guard = c.Guards[i].Addr
	}
	c.locate(a.Address, a.DataCentre)
	c.Recorder.Target(a.Name, a.Slots, a.Connections)
	seen := targetObserver{c.Recorder}
	t := &Target{Target: targetstand.New(a, c.work, seen), Name: a.Name, Addr: a.Address, body: a}
	c.serveOn(t.Listen(l), seen.arrivals(a.Name, t.Handler()))
	c.announceTarget(t)
	c.Targets = append(c.Targets, t)
	return nil
}

// announceTarget announces a target until it is silenced or the cluster stops.
func (c *Cluster) announceTarget(t *Target) {
	t.body.Incarnation = time.Now().UnixNano()
	t.announcer = standin.NewAnnouncer(t.body, c.announceTo(t.body.Guard))
	t.silence = c.run(t.announcer.Run)
}

// run runs f until the returned function is called or the cluster stops.
func (c *Cluster) run(f func(context.Context)) context.CancelFunc {
	ctx, cancel := context.WithCancel(c.ctx)
	c.group.Go(func() error { f(ctx); return nil })
	return cancel
}

// work draws the time one request takes at a target.
func (c *Cluster) work() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 2*time.Millisecond + time.Duration(c.rng.ExpFloat64()*float64(3*time.Millisecond))
}

// Leave makes a target announce that it leaves, and returns the function that brings it back.
func (c *Cluster) Leave(t *Target) (func(), error) {
	ctx, cancel := context.WithTimeout(c.ctx, leaveTimeout)
	defer cancel()
	if err := t.announcer.Leave(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", errNobodyTold, err)
	}
	ended := c.Recorder.Incident(history.TargetLeave, t.Name, time.Now())
	return func() {
		t.silence()
		ended(time.Now(), nil)
		c.announceTarget(t)
	}, nil
}

// Crash ends a target abruptly and returns the function that starts it again.
func (c *Cluster) Crash(t *Target) func() {
	t.silence()
	ended := c.Recorder.Incident(history.TargetCrash, t.Name, time.Now())
	t.Target.Crash()
	return func() {
		t.Restart()
		ended(time.Now(), nil)
		c.announceTarget(t)
	}
}

// startWorker runs one worker.
func (c *Cluster) startWorker(i int) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	a := announce.Announcement{
		Role: announce.RoleWorker, Name: fmt.Sprintf("worker-%02d", i+1), DataCentre: c.dataCentre(i), Address: l.Addr().String(),
		Rack: fmt.Sprintf("rack-%d", i/c.Shape.PerRack+1), Capacity: c.Shape.Worker, Incarnation: time.Now().UnixNano(),
	}
	c.locate(a.Address, a.DataCentre)
	c.Recorder.Worker(a.Name, amount(a.Capacity))
	w := &Worker{Worker: workerstand.New(a, workerObserver{c.Recorder}), Name: a.Name, body: a}
	var h http.Handler = w.Handler()
	c.serveOn(l, h)
	c.group.Go(func() error { w.Run(c.ctx.Done()); return nil })
	c.announceWorker(w)
	c.Workers = append(c.Workers, w)
	return nil
}

// announceWorker announces a worker until it is silenced or the cluster stops.
func (c *Cluster) announceWorker(w *Worker) {
	w.body.Incarnation = w.Incarnation()
	w.silence = c.run(standin.NewAnnouncer(w.body, c.announceTo("")).Run)
}

// CrashWorker ends a worker abruptly and returns the function that starts it again.
func (c *Cluster) CrashWorker(w *Worker) func() {
	w.silence()
	now := time.Now()
	ended := c.Recorder.Incident(history.WorkerCrash, w.Name, now)
	c.Recorder.WorkerCrashed(w.Name, now)
	w.Worker.Crash(now)
	return func() {
		now := time.Now()
		w.Worker.Restart(now)
		ended(now, nil)
		c.announceWorker(w)
	}
}
