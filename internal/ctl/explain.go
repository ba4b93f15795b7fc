package ctl

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/peterbourgon/ff/v4"
)

// explainCommand tells why something is as it is.
func (t *tool) explainCommand() *ff.Command {
	return t.subcommand("explain", "explain job ID", "tell where a job stands and why", nil, t.explain)
}

// explain prints what the node knows of a job.
func (t *tool) explain(ctx context.Context, args []string) error {
	if len(args) != 2 || args[0] != "job" {
		return &usageError{"explain: say job ID"}
	}
	ctx, cancel := t.bounded(ctx)
	defer cancel()
	var raw json.RawMessage
	if err := t.call(ctx, http.MethodGet, pathOf("jobs", args[1], "explain"), nil, &raw); err != nil {
		return err
	}
	return t.printYAML(raw)
}
