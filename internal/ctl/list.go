package ctl

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/peterbourgon/ff/v4"
)

// listCommand lists the configuration in force.
func (t *tool) listCommand() *ff.Command {
	return &ff.Command{
		Name: "list", Usage: "crocusctl list", ShortHelp: "list the configuration in force",
		Exec: t.list,
	}
}

// list prints a table of records.
func (t *tool) list(ctx context.Context, _ []string) error {
	if err := t.set.Check(); err != nil {
		return &usageError{err.Error()}
	}
	var all []config.Version
	if err := t.call(ctx, http.MethodGet, "/v1/records", nil, &all); err != nil {
		return err
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "RECORD\tVERSION\tSCHEMA\tBY\tOFFSET")
	for _, v := range all {
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%d\n", v.Key, v.Number, v.Schema, v.By, v.Offset)
	}
	return w.Flush()
}
