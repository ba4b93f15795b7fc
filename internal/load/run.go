package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/experiment"
	"github.com/crocusspring/crocusspring/internal/history"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/workload"
	"github.com/peterbourgon/ff/v4"
)

const (
	// idleConns is how many idle connections the callers keep to one entry.
	idleConns = 256
	// resends is how often a caller comes again with its key after an unknown outcome.
	resends = 2
)

// drive are the settings of a load on running entries.
type drive struct {
	mix      string
	length   time.Duration
	settle   time.Duration
	requests string
	jobs     string
}

// add declares the flags.
func (d *drive) add(s *settings.Set) {
	s.String(&d.mix, "mix", "klang", true, "mix of load: klang, hanoi or a YAML file")
	s.Duration(&d.length, "length", 30*time.Second, time.Second, 24*time.Hour, "how long arrivals are drawn for")
	s.Duration(&d.settle, "settle", 45*time.Second, 0, time.Hour, "how long jobs are waited for after the last arrival")
	s.String(&d.requests, "requests-per-second", "", false, "rate of requests in place of the mix's")
	s.String(&d.jobs, "jobs-per-second", "", false, "rate of jobs in place of the mix's")
}

// load returns the mix with the rates of the flags.
func (d *drive) load() (workload.Mix, error) {
	m, ok := workload.Mixes()[d.mix]
	if !ok {
		data, err := os.ReadFile(d.mix)
		if err != nil {
			return m, &usageError{settings.Place("mix") + ": " + err.Error()}
		}
		if m, err = workload.ParseMix(filepath.Base(d.mix), data); err != nil {
			return m, &usageError{err.Error()}
		}
	}
	for _, r := range []struct {
		flag, text string
		into       *float64
	}{{"requests-per-second", d.requests, &m.RequestsPerSecond}, {"jobs-per-second", d.jobs, &m.JobsPerSecond}} {
		if r.text == "" {
			continue
		}
		if n, err := fmt.Sscan(r.text, r.into); err != nil || n != 1 || *r.into < 0 {
			return m, &usageError{fmt.Sprintf("%s: %q: must be a number of 0 or more", settings.Place(r.flag), r.text)}
		}
	}
	return m, nil
}

// errNothingAnswered says that a run measured nothing.
var errNothingAnswered = errors.New("no request was answered")

// run sends one schedule to the entries and adds what the callers saw to a set.
func (d *drive) run(ctx context.Context, entries []string, variant string, seed uint64, into *experiment.Set) error {
	m, err := d.load()
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: idleConns, DisableCompression: true}}
	defer client.CloseIdleConnections()
	var es []workload.Entry
	for _, a := range entries {
		es = append(es, workload.Entry{Name: a, Addr: a})
	}
	o := workload.Options{
		Mix: m, Seed: seed, Length: d.length, Client: client, Record: history.NewRecorder(), Resends: resends,
		Balancer: workload.NewBalancer(client, es),
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go o.Balancer.Run(watch)
	if err := workload.Run(ctx, o); err != nil {
		return err
	}
	settle, cancel := context.WithTimeout(ctx, d.settle)
	workload.Settle(settle, o)
	cancel()
	h := o.Record.History(time.Now())
	if m.RequestsPerSecond > 0 && !answered(h) {
		return fmt.Errorf("%w by %s", errNothingAnswered, strings.Join(entries, ", "))
	}
	sumUp(into, variant, seed, d.length, h)
	return nil
}

// runCommand sends load to running entries.
func (t *tool) runCommand() *ff.Command {
	d := &drive{}
	var entries []string
	var out, variant string
	var seed int64
	set := settings.New("run")
	d.add(set)
	set.Addrs(&entries, "entries", "127.0.0.1:8400", true, "entries to send to, comma-separated IP addresses with port")
	set.Int(&seed, "seed", 1, 0, 1<<62, "seed of the schedule")
	set.String(&variant, "variant", "run", true, "name of this run in the CSV file")
	set.String(&out, "csv", "", false, "CSV file to write")
	return command("run", "[flags]", "send open-loop load to running entries", set,
		func(ctx context.Context, _ []string) error {
			var s experiment.Set
			if err := d.run(ctx, entries, variant, uint64(seed), &s); err != nil {
				return err
			}
			s.Summary(t.stdout)
			return writeSet(out, s)
		})
}

// writeSet writes a set to a CSV file when one is named.
func writeSet(path string, s experiment.Set) error {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := s.WriteCSV(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
