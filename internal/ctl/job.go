package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v4"

	"github.com/crocusspring/crocusspring/internal/job"
	"github.com/crocusspring/crocusspring/internal/jobapi"
	"github.com/crocusspring/crocusspring/internal/settings"
)

// jobCommand submits, shows and cancels jobs of steps.
func (t *tool) jobCommand() *ff.Command {
	cmd := &ff.Command{
		Name: "job", Usage: "crocusctl [flags] job SUBCOMMAND ...", ShortHelp: "jobs of steps",
		Flags: settings.New("job").Flags().SetParent(t.set.Flags()),
	}
	cmd.Subcommands = []*ff.Command{
		t.subcommand("submit", "job submit FILE", "submit a job; the same file again is harmless", nil, t.submitJob),
		t.subcommand("state", "job state ID", "tell how a job stands", nil, t.jobState("")),
		t.subcommand("explain", "job explain ID", "tell how a job stands and why its tasks wait", nil, t.jobState("/explain")),
		t.subcommand("cancel", "job cancel ID", "cancel a job", nil, t.cancelJob),
	}
	return cmd
}

// submitJob checks a job in YAML or JSON and submits it.
func (t *tool) submitJob(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return &usageError{"job submit: say FILE"}
	}
	data, err := os.ReadFile(args[0])
	if err != nil {
		return &usageError{fmt.Sprintf("job submit: %v", err)}
	}
	data, err = yaml.YAMLToJSON(data)
	if err != nil {
		return fail(ExitInvalid, "%s: %v", args[0], err)
	}
	var spec job.Spec
	if err := json.Unmarshal(data, &spec); err != nil {
		return fail(ExitInvalid, "%s: %v", args[0], err)
	}
	if err := spec.Check(); err != nil {
		return fail(ExitInvalid, "%s: %v", args[0], err)
	}
	var got struct {
		ID string `json:"id"`
	}
	ctx, cancel := t.bounded(ctx)
	defer cancel()
	if err := t.call(ctx, http.MethodPost, jobapi.Path, &spec, &got); err != nil {
		return err
	}
	return t.line(got, "%s is accepted", got.ID)
}

// jobState returns a command that prints what the node answers about a job.
func (t *tool) jobState(suffix string) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return &usageError{"job: say ID"}
		}
		ctx, cancel := t.bounded(ctx)
		defer cancel()
		var raw json.RawMessage
		if err := t.call(ctx, http.MethodGet, jobPath(args[0])+suffix, nil, &raw); err != nil {
			return err
		}
		return t.printYAML(raw)
	}
}

// cancelJob cancels a job.
func (t *tool) cancelJob(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return &usageError{"job cancel: say ID"}
	}
	ctx, cancel := t.bounded(ctx)
	defer cancel()
	var got struct {
		ID string `json:"id"`
	}
	if err := t.call(ctx, http.MethodPost, jobPath(args[0])+"/cancel", nil, &got); err != nil {
		return err
	}
	return t.line(got, "%s is cancelled", got.ID)
}

// jobPath returns where a job is served.
func jobPath(id string) string { return jobapi.Path + "/" + url.PathEscape(id) }
