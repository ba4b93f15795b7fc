package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/google/uuid"
)

const (
	// changeInterval is the time between two changes of an operator.
	changeInterval = 700 * time.Millisecond
	// proposeTimeout bounds one call, proposeAttempts the number of calls with the same id.
	proposeTimeout  = 6 * time.Second
	proposeAttempts = 4
)

// proposal is the body of POST /v1/records.
type proposal struct {
	ID       string `json:"id"`
	By       string `json:"by"`
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Schema   int    `json:"schema"`
	Expected int64  `json:"expected"`
	Spec     any    `json:"spec"`
}

// serviceSpec is the spec of a service record.
type serviceSpec struct {
	BudgetMS int64 `json:"budget_ms"`
}

// operator publishes changes of some records, as a user of crocusctl does.
type operator struct {
	c      *Cluster
	name   string
	client *http.Client
	// versions is the version the operator believes to be in effect, by record name.
	versions map[string]int64
	calls    int
}

// newOperator returns an operator that knows of no record yet.
func (c *Cluster) newOperator(name string, client *http.Client) *operator {
	return &operator{c: c, name: name, client: client, versions: map[string]int64{}}
}

// run publishes changes until ctx ends.
func (o *operator) run(ctx context.Context) {
	t := time.NewTicker(changeInterval)
	defer t.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		o.step(ctx, i)
	}
}

// step publishes the i-th change, alternating between two records; run starts with change 1.
func (o *operator) step(ctx context.Context, i int) {
	records := []string{o.c.Shape.Service, o.c.Shape.Service + "-archive"}
	o.change(ctx, records[i%len(records)], int64(900+i%100))
}

// change publishes one change of a service record and reports whether it was accepted. A call whose
// outcome is unknown is retried with the same id at another entry.
func (o *operator) change(ctx context.Context, service string, budget int64) bool {
	name := "service/" + service
	body := proposal{
		ID: uuid.Must(uuid.NewV7()).String(), By: o.name, Kind: "service", Name: service, Schema: 1,
		Expected: o.versions[name], Spec: serviceSpec{budget},
	}
	p := history.Proposal{ID: body.ID, Name: name, Expected: body.Expected, Outcome: history.Unknown, Start: time.Now()}
	for range proposeAttempts {
		if p.Outcome != history.Unknown || ctx.Err() != nil {
			break
		}
		p.Outcome, p.Version = o.propose(ctx, body)
	}
	p.End = time.Now()
	if p.Outcome != history.Unknown {
		o.versions[name] = p.Version
	}
	o.c.Recorder.Proposal(p)
	return p.Outcome == history.Accepted
}

// propose sends one call and returns its outcome and the version to expect next, 0 if unknown.
func (o *operator) propose(ctx context.Context, body proposal) (history.Outcome, int64) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return history.NotRun, 0
	}
	o.calls++
	entry := o.c.Entries[o.calls%len(o.c.Entries)]
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.Addr+"/v1/records", bytes.NewReader(data))
	if err != nil {
		return history.NotRun, 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := o.client.Do(req)
	if err != nil {
		return history.Unknown, 0
	}
	defer resp.Body.Close()
	var v struct {
		Current int64 `json:"current"`
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusConflict:
	case http.StatusBadRequest, http.StatusUnprocessableEntity, http.StatusUnauthorized, http.StatusForbidden:
		o.c.lg.Error("Record was refused.", "id", body.ID, "status", resp.StatusCode)
		return history.NotRun, body.Expected
	default:
		return history.Unknown, 0
	}
	if err := json.NewDecoder(resp.Body).Decode(&v); err != nil {
		return history.Unknown, 0
	}
	if resp.StatusCode == http.StatusOK {
		return history.Accepted, v.Current
	}
	return history.Conflict, v.Current
}
