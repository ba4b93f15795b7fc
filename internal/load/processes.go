package load

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/soak"
)

// processFlags holds the flags of a soak that runs the programs as separate processes.
type processFlags struct {
	enabled                          bool
	programs, logDir                 string
	seconds, entries, guards, faults int64
	seeds                            int64
}

// flags declares the flags.
func (p *processFlags) flags(set *settings.Set) {
	set.Bool(&p.enabled, "processes", false, "run the programs as separate processes against stand-ins of the platform")
	set.String(&p.programs, "programs", "", false, "directory of crocus-entry and crocus-guard; the directory of crocus-load when empty")
	set.String(&p.logDir, "logs", "", false, "directory for the logs of seeds that failed; none are kept when empty")
	set.Int(&p.seconds, "seconds", 15, 1, 3600, "how long to send load for each seed, in seconds")
	set.Int(&p.entries, "entries", 3, 1, 50, "number of entries in each deployment")
	set.Int(&p.guards, "guards", 6, 1, 200, "number of workers with a guard in each deployment")
	set.Int(&p.faults, "faults", 10, 0, 1000, "number of faults to schedule for each seed")
	set.Int(&p.seeds, "seeds", 0, 0, 100000, "number of seeds to run instead of running for --minutes; 0 to run for --minutes")
}

// soakProcesses runs consecutive seeds until the number of seeds is reached, or until length has passed
// when no number is set.
func (t *tool) soakProcesses(ctx context.Context, seed uint64, length time.Duration, p processFlags) error {
	end := time.Now().Add(length)
	var failed []uint64
	n := int64(0)
	for ctx.Err() == nil && (n < p.seeds || p.seeds == 0 && time.Now().Before(end)) {
		ok, err := t.soakSeed(ctx, seed+uint64(n), p)
		if err != nil {
			return err
		}
		if !ok {
			failed = append(failed, seed+uint64(n))
		}
		n++
	}
	fmt.Fprintf(t.stdout, "%d seeds from %d, %d failed %v\n", n, seed, len(failed), failed)
	if len(failed) > 0 {
		return errSoakFailed
	}
	return ctx.Err()
}

// soakSeed runs one seed and reports whether every invariant held. The logs of a failed seed are kept when
// a directory for them is set.
func (t *tool) soakSeed(ctx context.Context, seed uint64, p processFlags) (ok bool, err error) {
	programs := p.programs
	if programs == "" {
		self, err := os.Executable()
		if err != nil {
			return false, fmt.Errorf("locate the directory of the programs: %w", err)
		}
		programs = filepath.Dir(self)
	}
	dir, err := os.MkdirTemp(p.logDir, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, fmt.Errorf("soak: %w", err)
	}
	defer func() {
		if ok || p.logDir == "" {
			err = errors.Join(err, os.RemoveAll(dir))
		}
	}()
	rep, err := soak.Run(ctx, soak.Options{
		Seed: seed, Length: time.Duration(p.seconds) * time.Second, Dir: dir,
		Entries: int(p.entries), Guards: int(p.guards), Faults: int(p.faults),
		Program: func(role string) *exec.Cmd { return exec.Command(filepath.Join(programs, role)) },
	})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Fprintf(t.stdout, "seed %d: %d jobs, %d starts, %d faults, %d promises broken\n",
		seed, rep.Jobs, rep.Starts, len(rep.Faults), len(rep.Violations))
	if len(rep.Violations) == 0 {
		return true, nil
	}
	for _, f := range rep.Faults {
		fmt.Fprintf(t.stdout, "  fault: %s\n", f)
	}
	for _, v := range rep.Violations {
		fmt.Fprintf(t.stdout, "  broken: %s\n", v)
	}
	return false, nil
}
