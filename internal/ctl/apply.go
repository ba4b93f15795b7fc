package ctl

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/logsvc"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/record"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/peterbourgon/ff/v4"
)

// lagPollInterval is how often apply --wait polls the configuration offsets of the processes.
const lagPollInterval = 100 * time.Millisecond

// applyCommand returns the command that publishes the records in files.
func (t *tool) applyCommand() *ff.Command {
	var wait bool
	flags := settings.New("apply")
	flags.Bool(&wait, "wait", false, "wait until every live process has the records in force, or list those that lag")
	return t.subcommand("apply", "apply [--wait] FILE...", "publish records", flags,
		func(ctx context.Context, files []string) error {
			docs, err := readFiles(files)
			if err != nil {
				return err
			}
			return t.applyAll(ctx, docs, wait)
		})
}

// applyAll publishes records in turn and stops at the first that is refused.
func (t *tool) applyAll(ctx context.Context, docs []doc, wait bool) error {
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var newest logsvc.Offset
	for _, d := range docs {
		v, err := t.publish(ctx, d.proposal, d.hasExpected)
		if err != nil {
			return fmt.Errorf("%s: %w", d.file, err)
		}
		newest = max(newest, v.Offset)
		if err := t.line(v, "%s version %d is accepted at offset %d", v.Key, v.Current, v.Offset); err != nil {
			return err
		}
	}
	if !wait {
		return nil
	}
	return t.waitInEffect(ctx, newest)
}

// publish publishes one proposal. Unless hasExpected is set, the proposal replaces the version in effect
// at the time of the call.
func (t *tool) publish(ctx context.Context, p config.Proposal, hasExpected bool) (config.Verdict, error) {
	if !hasExpected {
		n, err := t.newestVersion(ctx, p.Key)
		if err != nil {
			return config.Verdict{}, err
		}
		p.Expected = n
	}
	body := struct {
		ID string `json:"id"`
		By string `json:"by"`
		config.Proposal
	}{ID: record.NewID(), By: t.by, Proposal: p}
	var v config.Verdict
	if err := t.call(ctx, http.MethodPost, "/v1/records", body, &v); err != nil {
		return v, err
	}
	if !v.Accepted {
		return v, fail(ExitConflict, "%s refused: %s", v.Key, v.Reason)
	}
	return v, nil
}

// newestVersion returns the newest version number of a key; 0 for none.
func (t *tool) newestVersion(ctx context.Context, k config.Key) (int64, error) {
	var v struct {
		Newest int64 `json:"newest"`
	}
	err := t.call(ctx, http.MethodGet, apiPath("records", k.Kind, k.Name)+"?newest=1", nil, &v)
	return v.Newest, err
}

// waitInEffect waits until every live process reports that a configuration offset is in effect.
func (t *tool) waitInEffect(ctx context.Context, offset logsvc.Offset) error {
	for {
		var s node.Status
		err := t.call(ctx, http.MethodGet, "/v1/status", nil, &s)
		lagging := laggingProcesses(s, offset)
		if err == nil && len(lagging) == 0 {
			return t.line(map[string]any{"in_force": offset, "processes": len(s.Processes)},
				"offset %d is in force in %d processes", offset, len(s.Processes))
		}
		select {
		case <-ctx.Done():
			if err != nil {
				return errors.Join(ctx.Err(), err)
			}
			return fail(ExitLagging, "accepted, but not in force in time: %s", formatOffsets(lagging))
		case <-time.After(lagPollInterval):
		}
	}
}

// laggingProcesses returns the processes where a configuration offset is not in effect yet.
func laggingProcesses(s node.Status, offset logsvc.Offset) []node.ProcessStatus {
	var out []node.ProcessStatus
	for _, p := range s.Processes {
		if p.ConfigOffset < int64(offset) {
			out = append(out, p)
		}
	}
	return out
}

// formatOffsets lists processes with their configuration offsets.
func formatOffsets(ps []node.ProcessStatus) string {
	text := ""
	for i, p := range ps {
		if i > 0 {
			text += ", "
		}
		text += fmt.Sprintf("%s at offset %d", p.ID, p.ConfigOffset)
	}
	return text
}
