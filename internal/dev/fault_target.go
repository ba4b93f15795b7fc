package dev

import (
	"context"
	"time"

	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
)

const (
	leaveHold     = 3 * time.Second
	crashHold     = 1500 * time.Millisecond
	slowHold      = 2 * time.Second
	slowDelay     = 150 * time.Millisecond
	blackholeHold = time.Second
)

// targetLeave makes targets announce that they leave. One event is one departure.
func targetLeave() Fault {
	return Fault{
		Name: "target-leave", About: "a target announces that it leaves and comes back later; counts departures",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, leaveHold, func() (func() error, error) {
				back, err := in.Leave(pick(in, in.Targets))
				if err != nil {
					return nil, nil // no process accepted the announcement; the next cycle tries again
				}
				in.addEvents(1)
				return func() error { back(); return nil }, nil
			})
		},
	}
}

// targetCrash crashes targets. One event is one crash.
func targetCrash() Fault {
	return Fault{
		Name: "target-crash", About: "a target ends abruptly and comes back later; counts crashes",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, crashHold, func() (func() error, error) {
				back := in.Crash(pick(in, in.Targets))
				in.addEvents(1)
				return func() error { back(); return nil }, nil
			})
		},
	}
}

// slowTarget makes a target slow. One event is one slow period.
func slowTarget() Fault {
	return Fault{
		Name: "slow-target", About: "one target takes 150 ms longer for a while; counts such times",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, slowHold, func() (func() error, error) {
				t := pick(in, in.Targets)
				t.SetFaults(targetstand.Faults{Delay: slowDelay})
				in.addEvents(1)
				return func() error { t.SetFaults(targetstand.Faults{}); return nil }, nil
			})
		},
	}
}

// silentConnection makes open connections permanently unresponsive. One event is one connection.
func silentConnection() Fault {
	return Fault{
		Name: "silent-connection", About: "open connections of a process to a target and to a peer take bytes and answer nothing; counts connections",
		Run: func(ctx context.Context, in *Injector) error {
			return in.cycle(ctx, blackholeHold, func() (func() error, error) {
				t, peer := pick(in, in.Targets), pick(in, in.Entries)
				for _, p := range in.Processes() {
					in.addEvents(p.host.blackhole(t.Addr) + p.host.blackhole(peer.Addr))
				}
				return func() error { return nil }, nil
			})
		},
	}
}
