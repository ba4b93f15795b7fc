package ctl

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
	"github.com/rogpeppe/go-internal/diff"
)

// diffCommand compares files with what is in force.
func (t *tool) diffCommand() *ff.Command {
	return t.subcommand("diff", "diff FILE...", "compare records in files with those in force", nil, t.diff)
}

// diff prints how each record in force would change.
func (t *tool) diff(ctx context.Context, files []string) error {
	docs, err := readFiles(files)
	if err != nil {
		return err
	}
	differ := 0
	for _, d := range docs {
		text, err := t.diffOne(ctx, d)
		if err != nil {
			return err
		}
		if len(text) > 0 {
			differ++
		}
		if _, err := t.stdout.Write(text); err != nil {
			return err
		}
	}
	if differ > 0 {
		return fail(ExitDiffers, "%d of %d records differ", differ, len(docs))
	}
	return nil
}

// diffOne compares one record.
func (t *tool) diffOne(ctx context.Context, d doc) ([]byte, error) {
	var old []byte
	v, err := t.fetch(ctx, d.proposal.Key)
	var gone *exitError
	switch {
	case errors.As(err, &gone) && gone.code == ExitNotFound:
	case err != nil:
		return nil, err
	default:
		if old, err = asYAML(v.Proposal); err != nil {
			return nil, err
		}
	}
	now, err := asYAML(d.proposal)
	if err != nil {
		return nil, err
	}
	return diff.Diff("in force/"+d.proposal.Key.String(), old, d.file, now), nil
}
