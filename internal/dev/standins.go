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

// errNotAnnounced says that no process accepted an announcement.
var errNotAnnounced = errors.New("no process accepted the announcement")

// Target is one target of the cluster.
type Target struct {
	*targetstand.Target
	Name string
	Addr string

	announcement   announce.Announcement
	announcer      *standin.Announcer
	stopAnnouncing context.CancelFunc
}

// Worker is one worker of the cluster.
type Worker struct {
	*workerstand.Worker
	Name string

	announcement   announce.Announcement
	stopAnnouncing context.CancelFunc
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
	c.setDataCentre(a.Address, a.DataCentre)
	c.Recorder.Target(a.Name, a.Slots, a.Connections)
	observer := targetObserver{c.Recorder}
	t := &Target{Target: targetstand.New(a, c.serviceTime, observer), Name: a.Name, Addr: a.Address, announcement: a}
	c.serveOn(t.Listen(l), observer.recordArrivals(a.Name, t.Handler()))
	c.announceTarget(t)
	c.Targets = append(c.Targets, t)
	return nil
}

// announceTarget announces a target until its stopAnnouncing is called or the cluster stops.
func (c *Cluster) announceTarget(t *Target) {
	t.announcement.Incarnation = time.Now().UnixNano()
	t.announcer = standin.NewAnnouncer(t.announcement, c.announceTo(t.announcement.Guard))
	t.stopAnnouncing = c.spawn(t.announcer.Run)
}

// spawn runs f in the background until the returned function is called or the cluster stops.
func (c *Cluster) spawn(f func(context.Context)) context.CancelFunc {
	ctx, cancel := context.WithCancel(c.ctx)
	c.group.Go(func() error { f(ctx); return nil })
	return cancel
}

// serviceTime returns a random time that one request takes at a target.
func (c *Cluster) serviceTime() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 2*time.Millisecond + time.Duration(c.rng.ExpFloat64()*float64(3*time.Millisecond))
}

// Leave makes a target announce that it leaves, and returns the function that brings it back.
func (c *Cluster) Leave(t *Target) (func(), error) {
	ctx, cancel := context.WithTimeout(c.ctx, leaveTimeout)
	defer cancel()
	if err := t.announcer.Leave(ctx); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotAnnounced, err)
	}
	endIncident := c.Recorder.Incident(history.TargetLeave, t.Name, time.Now())
	return func() {
		t.stopAnnouncing()
		endIncident(time.Now(), nil)
		c.announceTarget(t)
	}, nil
}

// Crash crashes a target and returns the function that restarts it.
func (c *Cluster) Crash(t *Target) func() {
	t.stopAnnouncing()
	endIncident := c.Recorder.Incident(history.TargetCrash, t.Name, time.Now())
	t.Target.Crash()
	return func() {
		t.Restart()
		endIncident(time.Now(), nil)
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
	c.setDataCentre(a.Address, a.DataCentre)
	c.Recorder.Worker(a.Name, toAmount(a.Capacity))
	w := &Worker{Worker: workerstand.New(a, workerObserver{c.Recorder}), Name: a.Name, announcement: a}
	var h http.Handler = w.Handler()
	c.serveOn(l, h)
	c.group.Go(func() error { w.Run(c.ctx.Done()); return nil })
	c.announceWorker(w)
	c.Workers = append(c.Workers, w)
	return nil
}

// announceWorker announces a worker until its stopAnnouncing is called or the cluster stops.
func (c *Cluster) announceWorker(w *Worker) {
	w.announcement.Incarnation = w.Incarnation()
	w.stopAnnouncing = c.spawn(standin.NewAnnouncer(w.announcement, c.announceTo("")).Run)
}

// CrashWorker crashes a worker and returns the function that restarts it.
func (c *Cluster) CrashWorker(w *Worker) func() {
	w.stopAnnouncing()
	now := time.Now()
	endIncident := c.Recorder.Incident(history.WorkerCrash, w.Name, now)
	c.Recorder.WorkerCrashed(w.Name, now)
	w.Worker.Crash(now)
	return func() {
		now := time.Now()
		w.Worker.Restart(now)
		endIncident(now, nil)
		c.announceWorker(w)
	}
}
