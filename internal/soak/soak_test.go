package soak

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/platform"
)

// roleVariable is the environment variable that makes the test binary run as one of the programs.
const roleVariable = "CROCUS_SOAK_ROLE"

// TestMain runs a program instead of the tests if roleVariable names its role.
func TestMain(m *testing.M) {
	switch os.Getenv(roleVariable) {
	case RoleEntry:
		os.Exit(platform.Main(node.RoleEntry, os.Args[1:], os.Stdout, os.Stderr))
	case RoleGuard:
		os.Exit(platform.Main(node.RoleGuard, os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// program returns the command that runs this test binary as the program of a role.
func program(role string) *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), roleVariable+"="+role)
	return cmd
}

// cases are a short run and the seeds of past failures, each with its cause.
var cases = []struct {
	name string
	Options
}{
	{"short", Options{Seed: 1, Length: 4 * time.Second, Entries: 2, Guards: 3, Faults: 4}},
	// A guard executed a start command for an ended incarnation of its worker in the next one, where the task
	// already had another run.
	{"orders for an old life", Options{Seed: 207, Length: 12 * time.Second, Entries: 3, Guards: 6, Faults: 14}},
}

// TestSoak runs real processes through faults and checks that no guarantee is violated.
func TestSoak(t *testing.T) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.Dir, c.Program = t.TempDir(), program
			rep, err := Run(t.Context(), c.Options)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d jobs, %d starts, faults %v", rep.Jobs, rep.Starts, rep.Faults)
			if rep.Starts == 0 {
				t.Error("nothing was started")
			}
			for _, b := range rep.Violations {
				t.Error(b)
			}
		})
	}
}
