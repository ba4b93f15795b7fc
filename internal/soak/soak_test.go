package soak

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/platform"
)

// roleVariable makes the test's own binary run as one of the programs.
const roleVariable = "CROCUS_SOAK_ROLE"

// TestMain runs a program where a soak has asked for one.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case RoleEntry:
		os.Exit(platform.Main(node.RoleEntry, os.Args[1:], os.Stdout, os.Stderr))
	case RoleGuard:
		os.Exit(platform.Main(node.RoleGuard, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// program runs this binary as a program.
func program(role string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	return cmd
}

// regressions are seeds that failed once, each with the cause that was found.
var regressions = []struct {
	seed  uint64
	cause string
}{}

// TestSoak runs a short soak of real processes, and the seeds that failed before.
func TestSoak(t *testing.T) {
	seeds := []uint64{1}
	for _, r := range regressions {
		seeds = append(seeds, r.seed)
	}
	for _, seed := range seeds {
		rep, err := Run(t.Context(), Options{
			Seed: seed, Length: 4 * time.Second, Entries: 2, Guards: 3, Faults: 4, Dir: t.TempDir(), Program: program,
		})
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		t.Logf("seed %d: %d jobs, %d starts, faults %v", seed, rep.Jobs, rep.Starts, rep.Faults)
		if rep.Starts == 0 {
			t.Errorf("seed %d: nothing was started", seed)
		}
		for _, b := range rep.Broken {
			t.Errorf("seed %d: %s", seed, b)
		}
	}
}
