package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/crocusspring/crocusspring/platform"
)

// Program returns the command that runs the program of a role. The caller adds arguments and environment
// variables to it.
type Program func(role string) *exec.Cmd

// Roles of a Program.
const (
	RoleEntry = "crocus-entry"
	RoleGuard = "crocus-guard"
)

// stopTimeout bounds the time a process takes to exit after SIGTERM.
const stopTimeout = 6 * time.Second

// process is one process of the product, across its restarts.
type process struct {
	role, name, settings, dir string
	program                   Program
	violation                 func(format string, args ...any)

	mu sync.Mutex
	// cmd is the running process; nil while there is none. exited is closed when it has exited.
	cmd    *exec.Cmd
	exited chan struct{}
	// exitExpected says that a signal has been sent after which the process should exit.
	exitExpected bool
	starts       int
}

// start starts the process, which must not be running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	logFile, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	defer logFile.Close()
	cmd := p.program(p.role)
	cmd.Args = append(cmd.Args, platform.Command)
	cmd.Env = append(cmd.Env, platform.EnvFile+"="+p.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.exitExpected, p.exited = cmd, false, make(chan struct{})
	go p.wait(cmd, p.exited)
	return nil
}

// wait waits for a process to exit and records an unexpected exit as a violation.
func (p *process) wait(cmd *exec.Cmd, exited chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(exited)
	p.cmd = nil
	if !p.exitExpected {
		p.violation("%s exited unexpectedly: %v", p.name, err)
	}
}

// signal sends a signal to the process, if there is one; terminates says that the process should exit because
// of it. It returns a channel that is closed when the process has exited.
func (p *process) signal(s syscall.Signal, terminates bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || terminates
	if p.cmd != nil {
		if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			p.violation("%s can't be sent %s: %v", p.name, s, err)
		}
	}
	return p.exited
}

// kill sends SIGKILL to the process and waits until it has exited.
func (p *process) kill() { <-p.signal(syscall.SIGKILL, true) }

// stop sends SIGTERM to the process and waits until it has exited. One that hasn't exited within stopTimeout
// is killed, which is a violation.
func (p *process) stop() {
	exited := p.signal(syscall.SIGTERM, true)
	p.signal(syscall.SIGCONT, true)
	select {
	case <-exited:
	case <-time.After(stopTimeout):
		p.violation("%s still runs %s after SIGTERM", p.name, stopTimeout)
		p.kill()
	}
}
