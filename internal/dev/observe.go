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

// targetObserver records the events of targets in a history. It is a targetstand.FaultObserver.
type targetObserver struct{ rec *history.Recorder }

// Began implements targetstand.Observer.
func (o targetObserver) Began(target, request, attempt string, at time.Time) {
	o.rec.RunStarted(target, request, attempt, at)
}

// Ended implements targetstand.Observer.
func (o targetObserver) Ended(target, request, attempt string, at time.Time) {
	o.rec.RunEnded(target, request, attempt, at)
}

// Refused implements targetstand.FaultObserver; the arrival is recorded already and remains without a run.
func (o targetObserver) Refused(string, string, string, string, time.Time) {}

// Crashed implements targetstand.FaultObserver.
func (o targetObserver) Crashed(target string, at time.Time) { o.rec.TargetCrashed(target, at) }

// Connected implements targetstand.FaultObserver.
func (o targetObserver) Connected(target string, open int, at time.Time) {
	o.rec.ConnectionOpened(target, open, at)
}

// runPath is the URL path at which targets serve requests.
const runPath = "/v1/run"

// recordArrivals records every request that reaches a target before the target handles it.
func (o targetObserver) recordArrivals(target string, next http.Handler) http.Handler {
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

// workerObserver records the events of workers in a history. It is a workerstand.Observer.
type workerObserver struct{ rec *history.Recorder }

// Started implements workerstand.Observer.
func (o workerObserver) Started(worker string, c workerapi.Command, at time.Time) {
	a := history.Attempt{
		Worker: worker, Task: c.Task, Attempt: c.Attempt, Class: c.Class, Reserve: toAmount(c.Reserve), Start: at,
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

// toAmount converts a vector to the form used in a history.
func toAmount(v resource.Vector) history.Amount {
	return history.Amount{MilliCPU: v.MilliCPU, MemoryMB: v.MemoryMB, Accelerators: v.Accelerators}
}

// recordAppends records every append that took effect at the log.
func recordAppends(rec *history.Recorder, l *logstand.Server) {
	for _, at := range l.Appends() {
		rec.Append(history.Append{Records: 1, At: at, Outcome: history.Accepted})
	}
}
