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

// jobCommand returns the command that submits, shows and cancels jobs of steps.
func (t *tool) jobCommand() *ff.Command {
	cmd := &ff.Command{
		Name: "job", Usage: "crocusctl [flags] job SUBCOMMAND ...", ShortHelp: "jobs of steps",
		Flags: settings.New("job").Flags().SetParent(t.set.Flags()),
	}
	cmd.Subcommands = []*ff.Command{
		t.subcommand("submit", "job submit FILE", "submit a job; submitting the same file again has no effect", nil, t.submitJob),
		t.subcommand("state", "job state ID", "show the state of a job", nil, t.jobState("")),
		t.subcommand("explain", "job explain ID", "show the state of a job and why its tasks wait", nil, t.jobState("/explain")),
		t.subcommand("cancel", "job cancel ID", "cancel a job", nil, t.cancelJob),
	}
	return cmd
}

// submitJob checks a job in YAML or JSON and submits it.
func (t *tool) submitJob(ctx context.Context, args []string) error {
	if len(args) != 1 {
		return &usageError{"job submit: expected one FILE"}
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
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	if err := t.call(ctx, http.MethodPost, jobapi.Path, &spec, &got); err != nil {
		return err
	}
	return t.line(got, "%s is accepted", got.ID)
}

// jobState returns a command function that prints the node's response at the path of a job plus suffix.
func (t *tool) jobState(suffix string) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if len(args) != 1 {
			return &usageError{"job: expected one ID"}
		}
		ctx, cancel := t.withTimeout(ctx)
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
		return &usageError{"job cancel: expected one ID"}
	}
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var got struct {
		ID string `json:"id"`
	}
	if err := t.call(ctx, http.MethodPost, jobPath(args[0])+"/cancel", nil, &got); err != nil {
		return err
	}
	return t.line(got, "%s is cancelled", got.ID)
}

// jobPath returns the API path of a job.
func jobPath(id string) string { return jobapi.Path + "/" + url.PathEscape(id) }
