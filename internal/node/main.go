package node

import (
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/crocusspring/crocusspring/internal/app"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/crocusspring/crocusspring/internal/ingress"
	"github.com/crocusspring/crocusspring/internal/logs"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/operator"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/crocusspring/crocusspring/internal/targetapi"
	"github.com/crocusspring/crocusspring/internal/tlsconf"
	"github.com/crocusspring/crocusspring/internal/workerapi"
)

// flags are the command-line settings of a node's binary.
type flags struct {
	app.CommonFlags
	listen  string
	logAddr string
	conns   int64
	share   int64
	appends int64
	ops     string
	// memoryMB and descriptors are those of the machine.
	memoryMB, descriptors int64
	tls                   tlsconf.Files
	opt                   Options
}

// add declares the flags in a set.
func (f *flags) add(s *settings.Set) {
	d := Defaults()
	s.Addr(&f.listen, "listen", "127.0.0.1:8400", "IP address and port to serve on")
	s.Addr(&f.logAddr, "log-service", "127.0.0.1:8300", "IP address and port of the platform's log service")
	s.String(&f.opt.ID, "id", "", true, "name of this process, unique in the installation")
	s.String(&f.opt.DataCentre, "data-centre", "", true, "data centre this process runs in")
	s.Addrs(&f.opt.Peers, "peers", "", false, "other nodes, comma-separated IP addresses with port")
	s.Addrs(&f.opt.Entries, "entries", "", false, "all entries, the same list at every node; empty for the peers and this one")
	s.String(&f.opt.Advertise, "advertise", "", false, "IP address and port at which others reach this node, when it listens on all addresses")
	s.Duration(&f.opt.ReadyLag, "ready-lag", d.ReadyLag, 0, time.Minute, "how long a stopping node goes on serving after it reports that it is not ready")
	s.List(&f.opt.Cells, "cells", "", "cells this process may own, comma-separated")
	s.Int(&f.share, "share", 1, 1, 64, "how many nodes send to the same targets")
	s.Int(&f.appends, "log-appends", int64(d.LogAppends), 1, 1<<20, "budget of all processes together, in appends per second")
	s.Duration(&f.opt.SnapshotAge, "snapshot-age", d.SnapshotAge, time.Second, 100*time.Hour, "age at which a snapshot of the configuration, a cell or the claims is replaced; at most an eighth of the log's retention")
	s.String(&f.ops, "operators", "", false, "operators of the installation: a file or the YAML text itself; empty allows anyone")
	s.String(&f.tls.Cert, "tls-cert", "", false, "PEM file of this process's certificate")
	s.String(&f.tls.Key, "tls-key", "", false, "PEM file of this process's key")
	s.String(&f.tls.CA, "tls-ca", "", false, "PEM file of the certificate authority of all processes")
	s.Int(&f.conns, "target-connections", 16, 1, 1024, "most connections to one target")
	s.Duration(&f.opt.OwnerLease, "owner-lease", d.OwnerLease, time.Second, time.Minute, "how long a cell is owned without renewal")
	s.Duration(&f.opt.OwnerStretch, "owner-stretch", d.OwnerStretch, 0, time.Hour, "maximum time an owner keeps a cell while the log is unavailable, by the promises of the other candidates; 0 disables this")
	s.Duration(&f.opt.TaskLease, "task-lease", d.TaskLease, time.Second, time.Minute, "how long a task runs without its owner")
	s.Duration(&f.opt.SyncEvery, "sync-every", d.SyncEvery, 10*time.Millisecond, time.Minute, "time between two syncs with a worker")
	s.Duration(&f.opt.Drain, "drain", d.Drain, 0, 10*time.Minute, "how long a graceful stop waits for requests in progress")
	s.Int(&f.memoryMB, "memory-mb", defaultMemoryMB, 64, 1<<20, "memory that the process may take, in MB; it bounds what requests hold")
	s.Int(&f.descriptors, "max-fds", 0, 0, 1<<20, "file descriptors that the process may take, 200 of them for files; it bounds connections. 0 for the limit of the process")
	f.CommonFlags.Add(s)
}

// defaultMemoryMB is the memory that a process may take, in MB, if the settings don't say.
const defaultMemoryMB = 1024

// Main is the main function of a node's binary; it returns the exit code.
func Main(role Role, args []string, stdout, stderr io.Writer) int {
	f := flags{opt: Options{Role: role}}
	s := settings.New("crocus-" + string(role))
	f.add(s)
	if code, done := app.Parse(s, &f.CommonFlags, args, stdout, stderr); done {
		return code
	}
	f.opt.Machine = ingress.NewMachine(f.memoryMB<<20, int(f.descriptors))
	f.opt.Machine.BoundGarbage()
	f.opt.Share, f.opt.LogAppends = int(f.share), int(f.appends)
	f.opt.Peers = slices.DeleteFunc(f.opt.Peers, func(p string) bool { return p == f.listen || p == f.opt.Advertise })
	if err := f.loadSecurity(); err != nil {
		fmt.Fprintln(stderr, err)
		return app.ExitUsage
	}
	l, err := net.Listen("tcp", f.listen)
	if err != nil {
		fmt.Fprintln(stderr, settings.Place("listen")+":", err)
		return app.ExitError
	}
	ctx, cancel := app.SignalContext()
	defer cancel()
	ports := Ports{
		Log: logsvc.NewHTTP(f.logAddr), Workers: workerapi.NewHTTP(), Targets: targetapi.NewHTTP(int(f.conns)),
	}
	if err := New(f.opt, ports, logs.New(stderr, f.Log)).Serve(ctx, l); err != nil {
		fmt.Fprintln(stderr, err)
		return app.ExitError
	}
	return app.ExitOK
}

// loadSecurity loads the operators and the certificates and returns all their errors together.
func (f *flags) loadSecurity() error {
	var l finding.List
	ops, err := operator.Open(f.ops)
	if err != nil {
		l.Add(settings.Place("operators"), "", "%v", err)
	}
	f.opt.Operators = ops
	if f.tls.IsSet() {
		if f.opt.TLS, err = tlsconf.New(f.tls); err != nil {
			l.Add(settings.Place("tls-cert"), "", "%v", err)
		}
	}
	return l.Err()
}
