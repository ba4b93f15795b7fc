package dev

import (
	"context"
	"time"
)

const (
	downHold = 1500 * time.Millisecond
	// takeoverHold is longer than an owner's lease plus the margin a process waits before it takes over.
	takeoverHold = 5 * time.Second
)

// entryKill kills entries. One event is one kill.
func entryKill() Fault {
	return Fault{
		Name: "entry-kill", About: "an entry ends abruptly and starts again with nothing; counts kills",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, downHold, func() (func() error, error) {
				return in.kill(pick(in, in.Entries))
			})
		},
	}
}

// guardKill kills guards. One event is one kill.
func guardKill() Fault {
	return Fault{
		Name: "guard-kill", About: "with --guards, a guard ends abruptly and starts again with nothing; counts kills",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, downHold, func() (func() error, error) {
				if len(in.Guards) == 0 {
					return nil, nil
				}
				return in.kill(pick(in, in.Guards))
			})
		},
	}
}

// kill kills a process and returns the function that restarts it; nil when there is no process or it is down already.
func (in *Injector) kill(p *Process) (func() error, error) {
	if p == nil || !in.Kill(p) {
		return nil, nil
	}
	in.addEvents(1)
	return func() error { return in.Restart(p) }, nil
}

// entryStop stops entries gracefully. One event is one stop.
func entryStop() Fault {
	return Fault{
		Name: "entry-stop", About: "an entry is stopped as planned and started again; counts stops",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, downHold, func() (func() error, error) {
				p := pick(in, in.Entries)
				if !in.isUp(p) {
					return nil, nil
				}
				in.addEvents(1)
				// The check of the history covers a stop that fails.
				_ = in.Shutdown(p)
				return func() error { return in.Restart(p) }, nil
			})
		},
	}
}

// ownerKill kills the owner of a cell. One event is one kill.
func ownerKill() Fault {
	return Fault{
		Name: "owner-kill", About: "the process that owns a cell ends abruptly, longer than its lease; counts kills",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, takeoverHold, func() (func() error, error) {
				return in.kill(in.owner(ctx, in.rng.IntN(len(in.Shape.DataCentres))))
			})
		},
	}
}

// ownerPause pauses the owner of a cell past its lease. One event is one pause.
func ownerPause() Fault {
	return Fault{
		Name: "owner-pause", About: "the process that owns a cell is paused past its lease, then everything it held back arrives; counts pauses",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, takeoverHold, func() (func() error, error) {
				p := in.owner(ctx, in.rng.IntN(len(in.Shape.DataCentres)))
				if p == nil {
					return nil, nil
				}
				in.addEvents(1)
				resume := in.Pause(p)
				return func() error { resume(); return nil }, nil
			})
		},
	}
}
