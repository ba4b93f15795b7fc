package ctl

import (
	"context"

	"github.com/peterbourgon/ff/v4"
)

// validateCommand returns the command that checks record files without calling a node.
func (t *tool) validateCommand() *ff.Command {
	return t.subcommand("validate", "validate FILE...", "check records in files, without calling a node", nil, t.validate)
}

// validate reports all findings of all files.
func (t *tool) validate(_ context.Context, files []string) error {
	docs, err := readFiles(files)
	if err != nil {
		return err
	}
	for _, d := range docs {
		if err := t.line(d.proposal, "%s: %s schema %d is valid", d.file, d.proposal.Key, d.proposal.Schema); err != nil {
			return err
		}
	}
	return nil
}
