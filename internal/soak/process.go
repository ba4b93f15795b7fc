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

// Program starts one of the product's programs with the arguments and environment given.
type Program func(role string) *exec.Cmd

// Roles of a Program.
const (
	RoleEntry = "crocus-entry"
	RoleGuard = "crocus-guard"
)

// stopWithin bounds the end of a process after SIGTERM.
const stopWithin = 6 * time.Second

// proc is one process of the product, over its restarts.
type proc struct {
	role, name, settings, dir string
	program                   Program
	breaks                    func(format string, args ...any)

	mu sync.Mutex
	// cmd is the present process; nil while there is none. ended is closed when it has ended.
	cmd   *exec.Cmd
	ended chan struct{}
	// expected says that the process is to end now.
	expected bool
	starts   int
}

// start starts the process; there must be none.
func (p *proc) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts++
	out, err := os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", p.name, p.starts)))
	if err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	defer out.Close()
	cmd := p.program(p.role)
	cmd.Args = append(cmd.Args, platform.Command)
	cmd.Env = append(cmd.Env, platform.EnvFile+"="+p.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	p.cmd, p.expected, p.ended = cmd, false, make(chan struct{})
	go p.watch(cmd, p.ended)
	return nil
}

// watch waits for a process to end and notes an end that nobody asked for.
func (p *proc) watch(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	defer close(ended)
	p.cmd = nil
	if !p.expected {
		p.breaks("%s ended by itself: %v", p.name, err)
	}
}

// signal sends a signal to the process, if there is one; last says that it is to end by it.
func (p *proc) signal(s syscall.Signal, last bool) <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || last
	if p.cmd != nil {
		if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
			p.breaks("%s can't be sent %s: %v", p.name, s, err)
		}
	}
	return p.ended
}

// kill ends the process at once and waits until it is gone.
func (p *proc) kill() { <-p.signal(syscall.SIGKILL, true) }

// stop asks the process to end and waits; one that doesn't in time is killed and noted.
func (p *proc) stop() {
	ended := p.signal(syscall.SIGTERM, true)
	p.signal(syscall.SIGCONT, true)
	select {
	case <-ended:
	case <-time.After(stopWithin):
		p.breaks("%s still runs %s after SIGTERM", p.name, stopWithin)
		p.kill()
	}
}
