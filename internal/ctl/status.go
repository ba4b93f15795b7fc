package ctl

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/peterbourgon/ff/v4"
)

// statusCommand returns the command that shows the state of the system as the node sees it.
func (t *tool) statusCommand() *ff.Command {
	return t.subcommand("status", "status", "show processes, owners of cells, offsets in force, targets and workers", nil, t.status)
}

// status prints a table of processes, the numbers of targets and workers, and the faults of the
// configuration.
func (t *tool) status(ctx context.Context, _ []string) error {
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var s node.Status
	if err := t.call(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	newest := int64(0)
	for _, p := range s.Processes {
		newest = max(newest, p.ConfigOffset)
	}
	rows := make([][]string, 0, len(s.Processes))
	for _, p := range s.Processes {
		rows = append(rows, []string{
			p.ID, p.Role, p.Address, strconv.FormatBool(p.Ready), strconv.FormatInt(p.ConfigOffset, 10),
			strconv.FormatInt(newest-p.ConfigOffset, 10), dashIfEmpty(strings.Join(p.Cells, ",")),
		})
	}
	if err := t.print(s, []string{"PROCESS", "ROLE", "ADDRESS", "READY", "CONFIG", "LAG", "OWNS CELLS"}, rows); err != nil || t.output == outputJSON {
		return err
	}
	fmt.Fprintf(t.stdout, "%d targets, %d workers\n", len(s.Targets), len(s.Workers))
	for _, f := range s.ConfigFaults {
		fmt.Fprintf(t.stdout, "config fault at %s\n", f)
	}
	return nil
}
