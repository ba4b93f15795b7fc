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
	// roundLength is how long load is sent in one round of a soak.
	roundLength = 10 * time.Second
	// roundLimit bounds one round with its start, its wait for jobs and its stop.
	roundLimit = 2 * time.Minute
	// maxFaults is how many faults a round has at the most.
	maxFaults = 3
)

// errVerdict says that a soak found something; the details are printed already.
var errVerdict = errors.New("the soak broke a promise or failed")

// round is one drawn run: a fresh deployment with some faults at once.
type round struct {
	number     int
	deployment string
	guards     bool
	seed       uint64
	faults     []dev.Fault
}

// draw returns a round of a soak; the same seed and number give the same round.
func draw(seed uint64, number int) round {
	rng := rand.New(rand.NewPCG(seed, uint64(number)))
	r := round{
		number: number, deployment: []string{"klang", "hanoi"}[rng.IntN(2)], guards: rng.IntN(2) == 1,
		// Seeds are whole numbers that the flags of crocus-dev take.
		seed: rng.Uint64() >> 32,
	}
	all := dev.Faults()
	for _, i := range rng.Perm(len(all))[:1+rng.IntN(maxFaults)] {
		r.faults = append(r.faults, all[i])
	}
	slices.SortFunc(r.faults, func(a, b dev.Fault) int { return strings.Compare(a.Name, b.Name) })
	return r
}

// command returns the command that repeats the round alone.
func (r round) command() string {
	words := []string{
		"crocus-dev", "--deployment", r.deployment, "--seed", fmt.Sprint(r.seed),
		"--seconds", fmt.Sprint(int(roundLength.Seconds())),
	}
	if r.guards {
		words = append(words, "--guards")
	}
	for _, f := range r.faults {
		words = append(words, "--fault", f.Name)
	}
	return strings.Join(words, " ")
}

// run runs the round and returns the checker's report.
func (r round) run(ctx context.Context, lg logs.Options, t *tool) (dev.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, roundLimit)
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

// soakCommand draws faults at random against a whole deployment in this process.
func (t *tool) soakCommand() *ff.Command {
	var seed, minutes, only int64
	var lg logs.Options
	var p processes
	set := settings.New("soak")
	set.Int(&seed, "seed", 1, 0, 1<<62, "seed of the schedule")
	set.Int(&minutes, "minutes", 2, 1, 7*24*60, "how long rounds are begun for, in minutes")
	set.Int(&only, "round", 0, 0, 1<<40, "run this round alone; 0 for all")
	set.Choice(&lg.Level, "log-level", "error", []string{"debug", "info", "warn", "error"}, "least level of log lines")
	p.flags(set)
	return command("soak", "[flags]", "draw faults at random and judge what was seen", set,
		func(ctx context.Context, _ []string) error {
			if p.on {
				return t.soakProcesses(ctx, uint64(seed), time.Duration(minutes)*time.Minute, p)
			}
			if only > 0 {
				return t.soakRound(ctx, draw(uint64(seed), int(only)), lg)
			}
			return t.soak(ctx, uint64(seed), time.Duration(minutes)*time.Minute, lg)
		})
}

// soak runs rounds until the time is up; every round is judged, and one that fails doesn't end it.
func (t *tool) soak(ctx context.Context, seed uint64, length time.Duration, lg logs.Options) error {
	fmt.Fprintf(t.stdout, "soak seed %d: crocus-load soak --seed %d --round N repeats a round\n", seed, seed)
	end := time.Now().Add(length)
	var failed []string
	n := 0
	for time.Now().Before(end) && ctx.Err() == nil {
		n++
		if t.soakRound(ctx, draw(seed, n), lg) != nil {
			failed = append(failed, fmt.Sprint(n))
		}
	}
	fmt.Fprintf(t.stdout, "soak seed %d: %d rounds, %d failed", seed, n, len(failed))
	if len(failed) == 0 {
		fmt.Fprintln(t.stdout)
		return ctx.Err()
	}
	fmt.Fprintf(t.stdout, ": %s\n", strings.Join(failed, ", "))
	return errVerdict
}

// soakRound runs one round and prints its report; it returns errVerdict when something was found.
func (t *tool) soakRound(ctx context.Context, r round, lg logs.Options) error {
	fmt.Fprintf(t.stdout, "round %d: %s\n", r.number, r.command())
	rep, err := r.run(ctx, lg, t)
	rep.Summary(t.stdout)
	if err != nil {
		fmt.Fprintf(t.stdout, "round %d failed: %v\n", r.number, err)
	}
	if err != nil || len(rep.Violations) > 0 {
		return errVerdict
	}
	return nil
}
