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
	// idleConns is the maximum number of idle connections that the callers keep to one entry.
	idleConns = 256
	// maxResends is the maximum number of times that a caller resends a keyed request after an unknown, lost or late outcome.
	maxResends = 2
)

// loadFlags holds the flags of a load on running entries.
type loadFlags struct {
	mix      string
	length   time.Duration
	settle   time.Duration
	requests string
	jobs     string
}

// add declares the flags.
func (d *loadFlags) add(s *settings.Set) {
	s.String(&d.mix, "mix", "klang", true, "mix of load: klang, hanoi or a YAML file")
	s.Duration(&d.length, "length", 30*time.Second, time.Second, 24*time.Hour, "length of the arrival schedule")
	s.Duration(&d.settle, "settle", 45*time.Second, 0, time.Hour, "maximum time to wait for jobs to end after the schedule is sent")
	s.String(&d.requests, "requests-per-second", "", false, "request rate that overrides the rate of the mix")
	s.String(&d.jobs, "jobs-per-second", "", false, "job rate that overrides the rate of the mix")
}

// loadMix returns the selected mix, with its rates overridden by the flags that are set.
func (d *loadFlags) loadMix() (workload.Mix, error) {
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

// errNoRequestAnswered reports that a run measured nothing.
var errNoRequestAnswered = errors.New("no request was answered")

// run sends one schedule to the entries, waits for the jobs to end and adds the measured metrics to a set.
func (d *loadFlags) run(ctx context.Context, entries []string, variant string, seed uint64, into *experiment.Set) error {
	m, err := d.loadMix()
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
		Mix: m, Seed: seed, Length: d.length, Client: client, Recorder: history.NewRecorder(), MaxResends: maxResends,
		Balancer: workload.NewBalancer(client, es),
	}
	watch, stop := context.WithCancel(ctx)
	defer stop()
	go o.Balancer.Run(watch)
	if err := workload.Run(ctx, o); err != nil {
		return err
	}
	settle, cancel := context.WithTimeout(ctx, d.settle)
	workload.AwaitJobs(settle, o)
	cancel()
	h := o.Recorder.History(time.Now())
	if m.RequestsPerSecond > 0 && !answered(h) {
		return fmt.Errorf("%w by %s", errNoRequestAnswered, strings.Join(entries, ", "))
	}
	addRunMetrics(into, variant, seed, d.length, h)
	return nil
}

// runCommand returns the subcommand that sends load to running entries.
func (t *tool) runCommand() *ff.Command {
	d := &loadFlags{}
	var entries []string
	var out, variant string
	var seed int64
	set := settings.New("run")
	d.add(set)
	set.Addrs(&entries, "entries", "127.0.0.1:8400", true, "entries to send to, comma-separated IP addresses with port")
	set.Int(&seed, "seed", 1, 0, 1<<62, "seed of the schedule")
	set.String(&variant, "variant", "run", true, "name of this run's variant in the CSV file")
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

// writeSet writes a set to a CSV file; it does nothing when path is empty.
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
