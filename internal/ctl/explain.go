package ctl

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/peterbourgon/ff/v4"
)

// explainCommand returns the command that explains the state of a job.
func (t *tool) explainCommand() *ff.Command {
	return t.subcommand("explain", "explain job ID", "show the state of a job and the reason", nil, t.explain)
}

// explain prints the node's explanation of a job.
func (t *tool) explain(ctx context.Context, args []string) error {
	if len(args) != 2 || args[0] != "job" {
		return &usageError{"explain: expected job ID"}
	}
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var raw json.RawMessage
	if err := t.call(ctx, http.MethodGet, apiPath("jobs", args[1], "explain"), nil, &raw); err != nil {
		return err
	}
	return t.printYAML(raw)
}
