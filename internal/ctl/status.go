package ctl

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/peterbourgon/ff/v4"
)

// statusCommand shows what the node knows of the system.
func (t *tool) statusCommand() *ff.Command {
	return &ff.Command{
		Name: "status", Usage: "crocusctl status", ShortHelp: "show processes, cells, targets and workers",
		Exec: t.status,
	}
}

// status prints a table of processes and the counts of members.
func (t *tool) status(ctx context.Context, _ []string) error {
	if err := t.set.Check(); err != nil {
		return &usageError{err.Error()}
	}
	var s node.Status
	if err := t.call(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
		return err
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "PROCESS\tROLE\tADDRESS\tREADY\tCONFIG\tCELLS")
	for _, p := range s.Processes {
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%s\n", p.ID, p.Role, p.Address, p.Ready, p.ConfigOffset, strings.Join(p.Cells, ","))
	}
	fmt.Fprintf(w, "%d targets, %d workers\n", len(s.Targets), len(s.Workers))
	return w.Flush()
}
