package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/announce"
	"github.com/crocusspring/crocusspring/internal/app"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/standin/logstand"
	"github.com/crocusspring/crocusspring/internal/standin/targetstand"
	"github.com/crocusspring/crocusspring/internal/standin/workerstand"
	"golang.org/x/sync/errgroup"
)

// flags are the settings of all stand-ins; each uses a subset of them.
type flags struct {
	app.CommonFlags
	listen string
	nodes  []string
	keep   int64
	rate   int64

	keepFor time.Duration

	work         time.Duration
	announcement announce.Announcement
	slots        int64
	conns        int64
}

// usage is printed when no stand-in is named.
const usage = `usage: crocus-standin log|worker|target [flags]
`

// Main is the main function of crocus-standin; it returns the exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return app.ExitUsage
	}
	f := &flags{}
	s := settings.New("crocus-standin " + args[0])
	s.Addr(&f.listen, "listen", "127.0.0.1:0", "IP address and port to serve on")
	f.CommonFlags.Add(s)
	switch args[0] {
	case "log":
		s.Int(&f.keep, "keep", 0, 0, 1<<40, "how many records a stream keeps; 0 keeps all")
		s.Duration(&f.keepFor, "keep-for", 0, 0, 1000*time.Hour, "how long a record is kept; 0 keeps all")
		s.Int(&f.rate, "max-appends", 0, 0, 1<<20, "appends a second; 0 is without bound")
	case string(announce.RoleWorker):
		f.addAnnounced(s)
		s.Int(&f.announcement.Capacity.MilliCPU, "milli-cpu", 16000, 1, 1<<30, "processors, in thousandths of a core")
		s.Int(&f.announcement.Capacity.MemoryMB, "memory-mb", 62500, 1, 1<<40, "memory, in units of 10^6 bytes")
		s.Int(&f.announcement.Capacity.Accelerators, "accelerators", 0, 0, 1<<10, "whole accelerators")
	case string(announce.RoleTarget):
		f.addAnnounced(s)
		s.String(&f.announcement.Service, "service", "", true, "service the target answers for")
		s.Int(&f.slots, "slots", 8, 1, 1<<10, "requests at once")
		s.Int(&f.conns, "connections", 64, 1, 1<<16, "connections at once")
		s.Duration(&f.work, "work", 5*time.Millisecond, 0, time.Minute, "time one request takes")
	default:
		fmt.Fprint(stderr, usage)
		return app.ExitUsage
	}
	if code, done := app.Parse(s, &f.CommonFlags, args[1:], stdout, stderr); done {
		return code
	}
	if err := f.run(args[0], stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return app.ExitError
	}
	return app.ExitOK
}

// addAnnounced declares the flags of the stand-ins that announce themselves.
func (f *flags) addAnnounced(s *settings.Set) {
	s.Addrs(&f.nodes, "nodes", "127.0.0.1:8400", true, "nodes to announce to, comma-separated IP addresses with port")
	s.String(&f.announcement.Name, "name", "", true, "name of this stand-in")
	s.String(&f.announcement.DataCentre, "data-centre", "", true, "data centre it is in")
	s.String(&f.announcement.Rack, "rack", "", false, "rack it is in")
}

// run serves a stand-in until a signal.
func (f *flags) run(kind string, stdout io.Writer) error {
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		return fmt.Errorf("%s: %w", settings.Place("listen"), err)
	}
	ctx, cancel := app.SignalContext()
	defer cancel()
	g, ctx := errgroup.WithContext(ctx)
	f.announcement.Role, f.announcement.Address, f.announcement.Incarnation = announce.Role(kind), l.Addr().String(), time.Now().UnixNano()
	f.announcement.Slots, f.announcement.Connections = int(f.slots), int(f.conns)
	var h http.Handler
	switch kind {
	case "log":
		h = logstand.NewWith(logstand.Options{
			KeepRecords: int(f.keep), KeepFor: f.keepFor, MaxAppends: int(f.rate),
		}).Handler()
	case string(announce.RoleWorker):
		w := workerstand.New(f.announcement, nil)
		g.Go(func() error { w.Run(ctx.Done()); return nil })
		h = w.Handler()
	default:
		h = targetstand.New(f.announcement, func() time.Duration { return f.work }, nil).Handler()
	}
	if len(f.nodes) > 0 {
		g.Go(func() error { f.announce(ctx); return nil })
	}
	fmt.Fprintln(stdout, kind, "at", l.Addr())
	serve(ctx, g, l, h)
	return g.Wait()
}

// announce announces until ctx ends and then once more that the stand-in leaves.
func (f *flags) announce(ctx context.Context) {
	an := NewAnnouncer(f.announcement, f.nodes)
	an.Run(ctx)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	_ = an.Leave(last)
}

// serve serves a handler until ctx ends.
func serve(ctx context.Context, g *errgroup.Group, l net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 2 * time.Second}
	g.Go(func() error {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), 5*time.Second)
		defer cancel()
		return srv.Shutdown(stop)
	})
}
