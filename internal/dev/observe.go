package dev

import (
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/crocusspring/crocusspring/internal/resource"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// targetObserver writes what targets see to a history. It is a targetstand.Watcher.
type targetObserver struct{ rec *history.Recorder }

// Began implements targetstand.Observer.
func (o targetObserver) Began(target, request, attempt string, at time.Time) {
	o.rec.RunStarted(target, request, attempt, at)
}

// Ended implements targetstand.Observer.
func (o targetObserver) Ended(target, request, attempt string, at time.Time) {
	o.rec.RunEnded(target, request, attempt, at)
}

// Refused implements targetstand.Watcher; the arrival was noted and stays without a run.
func (o targetObserver) Refused(string, string, string, string, time.Time) {}

// Crashed implements targetstand.Watcher.
func (o targetObserver) Crashed(target string, at time.Time) { o.rec.TargetCrashed(target, at) }

// Connected implements targetstand.Watcher.
func (o targetObserver) Connected(target string, open int, at time.Time) {
	o.rec.ConnectionOpened(target, open, at)
}

// runPath is where targets take requests.
const runPath = "/v1/run"

// arrivals notes every request that reaches a target before the target decides about it.
func (o targetObserver) arrivals(target string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != runPath {
			next.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		token, _, _ := strings.Cut(string(body), " ")
		o.rec.RunArrived(history.Run{
			Target: target, RequestID: r.Header.Get(targetapi.HeaderRequestID), Attempt: r.Header.Get(targetapi.HeaderAttempt),
			Token: token, Key: r.Header.Get(targetapi.HeaderKey), Arrived: time.Now(),
		})
		r.Body = io.NopCloser(bytes.NewReader(body))
		next.ServeHTTP(w, r)
	})
}

// workerObserver writes what workers see to a history. It is a workerstand.Observer.
type workerObserver struct{ rec *history.Recorder }

// Started implements workerstand.Observer.
func (o workerObserver) Started(worker string, c workerapi.Command, at time.Time) {
	a := history.Attempt{
		Worker: worker, Task: c.Task, Attempt: c.Attempt, Class: c.Class, Reserve: amount(c.Reserve), Start: at,
	}
	if c.Resume != nil {
		a.Resume, a.ResumedMS = c.Resume.Attempt, c.Resume.DoneMS
	}
	o.rec.TaskStarted(a)
}

// Ended implements workerstand.Observer.
func (o workerObserver) Ended(worker, task string, attempt int, s workerapi.State, at time.Time) {
	o.rec.TaskEnded(worker, task, attempt, string(s), at)
}

// amount returns a vector as a history has it.
func amount(v resource.Vector) history.Amount {
	return history.Amount{MilliCPU: v.MilliCPU, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
}

// appends notes every append that took effect at the log.
func appends(rec *history.Recorder, l *logstand.Server) {
	for _, at := range l.Appends() {
		rec.Append(history.Append{Records: 1, At: at, Outcome: history.Accepted})
	}
}
