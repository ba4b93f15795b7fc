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

// processes are the settings of a soak with separate processes.
type processes struct {
	on                             bool
	programs, keep                 string
	seconds, entries, guards, many int64
	seeds                          int64
}

// flags declares the settings.
func (p *processes) flags(set *settings.Set) {
	set.Bool(&p.on, "processes", false, "run the programs as separate processes against stand-ins of the platform")
	set.String(&p.programs, "programs", "", false, "directory of crocus-entry and crocus-guard; that of crocus-load when empty")
	set.String(&p.keep, "logs", "", false, "directory for the logs of seeds that failed; none are kept when empty")
	set.Int(&p.seconds, "seconds", 15, 1, 3600, "how long load is sent for each seed, in seconds")
	set.Int(&p.entries, "entries", 3, 1, 50, "entries of each deployment")
	set.Int(&p.guards, "guards", 6, 1, 200, "workers with a guard of each deployment")
	set.Int(&p.many, "faults", 10, 0, 1000, "faults drawn for each seed")
	set.Int(&p.seeds, "seeds", 0, 0, 100000, "how many seeds to run, instead of those that fit into the minutes; 0 for minutes")
}

// soakProcesses runs one seed after another.
func (t *tool) soakProcesses(ctx context.Context, seed uint64, length time.Duration, p processes) error {
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
		return errVerdict
	}
	return ctx.Err()
}

// soakSeed runs one seed and reports whether every promise held.
func (t *tool) soakSeed(ctx context.Context, seed uint64, p processes) (ok bool, err error) {
	programs := p.programs
	if programs == "" {
		self, err := os.Executable()
		if err != nil {
			return false, fmt.Errorf("find the programs: %w", err)
		}
		programs = filepath.Dir(self)
	}
	dir, err := os.MkdirTemp(p.keep, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, fmt.Errorf("soak: %w", err)
	}
	defer func() {
		if ok || p.keep == "" {
			err = errors.Join(err, os.RemoveAll(dir))
		}
	}()
	rep, err := soak.Run(ctx, soak.Options{
		Seed: seed, Length: time.Duration(p.seconds) * time.Second, Dir: dir,
		Entries: int(p.entries), Guards: int(p.guards), Faults: int(p.many),
		Program: func(role string) *exec.Cmd { return exec.Command(filepath.Join(programs, role)) },
	})
	if err != nil {
		return false, fmt.Errorf("seed %d: %w", seed, err)
	}
	fmt.Fprintf(t.stdout, "seed %d: %d jobs, %d starts, %d faults, %d promises broken\n",
		seed, rep.Jobs, rep.Starts, len(rep.Faults), len(rep.Broken))
	if len(rep.Broken) == 0 {
		return true, nil
	}
	for _, f := range rep.Faults {
		fmt.Fprintf(t.stdout, "  fault: %s\n", f)
	}
	for _, b := range rep.Broken {
		fmt.Fprintf(t.stdout, "  broken: %s\n", b)
	}
	return false, nil
}
