package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/crocusspring/crocusspring/internal/ingress"
)

// Shares of the listeners in the machine.
var (
	shareFront   = ingress.Share{Name: "front", Sockets: 12, Memory: 8, LargestBody: 1 << 20}
	shareReady   = ingress.Share{Name: "ready", Sockets: 2, Memory: 1}
	shareInner   = ingress.Share{Name: "inner", Sockets: 4, Memory: 3, LargestBody: 1 << 20}
	shareMetrics = ingress.Share{Name: "metrics", Sockets: 1, Memory: 1}
	// shareLinks is that of a guard's listener for other nodes, which all link to it while it owns the cell.
	shareLinks   = ingress.Share{Name: "inner", Sockets: 16, Memory: 12, LargestBody: 4 << 20}
	shareControl = ingress.Share{Name: "control", Sockets: 4, Memory: 2, LargestBody: 4 << 20}
)

// ownerSockets is the share of an entry's sockets for its calls to the owner, in ingress.ShareUnit. Further calls wait for
// their turn, each for its own time.
const ownerSockets = 8

// ownerConnections returns how many connections an entry may have to the owner.
func (c *Common) ownerConnections() int {
	return c.Machine.WithDefaults().Sockets * ownerSockets / ingress.ShareUnit
}

const (
	// taskMemory is what an owner holds for each open task, in bytes.
	taskMemory = 1 << 10
	// taskShare is the share of the machine's memory for that, in ingress.ShareUnit.
	taskShare = 8
	// jobShare is the share for the jobs themselves.
	jobShare = 4
)

// jobMemory returns how much memory the jobs of a cell may take, in bytes, without structures for their tasks.
func (c *Common) jobMemory() int64 {
	return c.Machine.WithDefaults().Memory * jobShare / ingress.ShareUnit
}

// maxOpenTasks returns how many open tasks an owner may hold in memory.
func (c *Common) maxOpenTasks() int {
	return int(c.Machine.WithDefaults().Memory * taskShare / ingress.ShareUnit / taskMemory)
}

// gate returns the gate of a listener.
func (c *Common) gate(s ingress.Share) *ingress.Gate {
	return c.Machine.Gate(s, c.scope(), c.Log.WithPrefix("ingress"))
}

// serve serves a handler on an address, with a share of the machine, until the context ends or the returned server is shut
// down.
func (c *Common) serve(ctx context.Context, grp *errgroup.Group, h http.Handler, addr string, s ingress.Share) *http.Server {
	gate := c.gate(s)
	server := gate.Server(h)
	grp.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	grp.Go(func() error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return fmt.Errorf("listen: %w", err)
		}
		if err := server.Serve(gate.Listen(l)); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve on %s: %w", addr, err)
		}
		return nil
	})
	return server
}
