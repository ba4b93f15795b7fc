package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/crocusspring/crocusspring/internal/dev"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/workload"
	"github.com/peterbourgon/ff/v4"
)

const (
	// roundLength is how long one round of a soak sends load.
	roundLength = 10 * time.Second
	// roundTimeout is the deadline of the context of one round, from its start through its wait for jobs to its stop.
	roundTimeout = 2 * time.Minute
	// maxFaults is the maximum number of faults in one round.
	maxFaults = 3
)

// errSoakFailed reports that a soak found a violation or failed; the details are already printed.
var errSoakFailed = errors.New("the soak found a violated invariant or failed")

// round is one randomly generated run: a new deployment with one or more concurrent faults.
type round struct {
	number     int
	deployment string
	guards     bool
	seed       uint64
	faults     []dev.Fault
}

// newRound generates a round of a soak; the same seed and number give the same round.
func newRound(seed uint64, number int) round {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	r := round{
		number: number, deployment: []string{"klang", "hanoi"}[rng.IntN(2)], guards: rng.IntN(2) == 1,
		// Limits the seed to 32 bits, which the --seed flag of crocus-dev accepts.
		seed: rng.Uint64() >> 32,
	}
	all := dev.Faults()
	for _, i := range rng.Perm(len(all))[:1+rng.IntN(maxFaults)] {
		r.faults = append(r.faults, all[i])
	}
	slices.SortFunc(r.faults, func(a, b dev.Fault) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// command returns the crocus-dev command that repeats the round.
func (r round) command() string {
	args := []string{
		"crocus-dev", "--deployment", r.deployment, "--seed", fmt.Sprint(r.seed),
		"--seconds", fmt.Sprint(int(roundLength.Seconds())),
	}
	if r.guards {
		args = append(args, "--guards")
	}
	for _, f := range r.faults {
		args = append(args, "--fault", f.Name)
	}
	return strings.Join(args, " ")
}

// run runs the round and returns the checker's report.
func (r round) run(ctx context.Context, lg logs.Options, t *tool) (dev.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, roundTimeout)
	defer cancel()
	opt := dev.Options{Seed: r.seed, Guards: r.guards}
	for _, f := range r.faults {
		if f.Prepare != nil {
			f.Prepare(&opt)
		}
	}
	c, err := dev.Start(ctx, dev.Deployments()[r.deployment], opt, logs.New(t.stderr, lg))
	if err != nil {
		return dev.Report{}, err
	}
	rep, err := c.Run(ctx, dev.Plan{
		Mix: workload.Mixes()[r.deployment], Seed: r.seed, Length: roundLength, Faults: r.faults,
	})
	return rep, errors.Join(err, c.Stop())
}

// soakCommand returns the subcommand that injects random faults into whole deployments, in this process or,
// with --processes, in separate ones.
func (t *tool) soakCommand() *ff.Command {
	var seed, minutes, only int64
	var lg logs.Options
	var p processFlags
	set := settings.New("soak")
	set.Int(&seed, "seed", 1, 0, 1<<62, "seed of the schedule")
	set.Int(&minutes, "minutes", 2, 1, 7*24*60, "how long to start new rounds, in minutes")
	set.Int(&only, "round", 0, 0, 1<<40, "run only the round of this number; 0 for all rounds")
	set.Choice(&lg.Level, "log-level", "error", []string{"debug", "info", "warn", "error"}, "minimum level of log lines")
	p.flags(set)
	return command("soak", "[flags]", "inject random faults and check the recorded history", set,
		func(ctx context.Context, _ []string) error {
			if p.enabled {
				return t.soakProcesses(ctx, uint64(seed), time.Duration(minutes)*time.Minute, p)
			}
			if only > 0 {
				return t.soakRound(ctx, newRound(uint64(seed), int(only)), lg)
			}
			return t.soak(ctx, uint64(seed), time.Duration(minutes)*time.Minute, lg)
		})
}

// soak starts rounds until length has passed. Every round is checked; a failed round does not end the soak.
func (t *tool) soak(ctx context.Context, seed uint64, length time.Duration, lg logs.Options) error {
	fmt.Fprintf(t.stdout, "soak seed %d: crocus-load soak --seed %d --round N repeats a round\n", seed, seed)
	end := time.Now().Add(length)
	var failed []string
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		n++
		if t.soakRound(ctx, newRound(seed, n), lg) != nil {
			failed = append(failed, fmt.Sprint(n))
		}
	}
	fmt.Fprintf(t.stdout, "soak seed %d: %d rounds, %d failed", seed, n, len(failed))
	if len(failed) == 0 {
		fmt.Fprintln(t.stdout)
		return ctx.Err()
	}
	fmt.Fprintf(t.stdout, ": %s\n", strings.Join(failed, ", "))
	return errSoakFailed
}

// soakRound runs one round and prints its report; it returns errSoakFailed when the round failed or its
// history has violations.
func (t *tool) soakRound(ctx context.Context, r round, lg logs.Options) error {
	fmt.Fprintf(t.stdout, "round %d: %s\n", r.number, r.command())
	rep, err := r.run(ctx, lg, t)
	rep.Summary(t.stdout)
	if err != nil {
		fmt.Fprintf(t.stdout, "round %d failed: %v\n", r.number, err)
	}
	if err != nil || len(rep.Violations) > 0 {
		return errSoakFailed
	}
	return nil
}
