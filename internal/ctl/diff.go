package ctl

import (
	"context"
	"errors"

	"github.com/peterbourgon/ff/v4"
	"github.com/rogpeppe/go-internal/diff"
)

// diffCommand returns the command that compares files with the records in effect.
func (t *tool) diffCommand() *ff.Command {
	return t.subcommand("diff", "diff FILE...", "compare records in files with those in force", nil, t.diff)
}

// diff prints how the files would change each record in effect.
func (t *tool) diff(ctx context.Context, files []string) error {
	docs, err := readFiles(files)
	if err != nil {
		return err
	}
	changed := 0
	for _, d := range docs {
		text, err := t.diffOne(ctx, d)
		if err != nil {
			return err
		}
		if len(text) > 0 {
			changed++
		}
		if _, err := t.stdout.Write(text); err != nil {
			return err
		}
	}
	if changed > 0 {
		return fail(ExitDiffers, "%d of %d records differ", changed, len(docs))
	}
	return nil
}

// diffOne returns the differences between one record and the version in effect; empty for none.
func (t *tool) diffOne(ctx context.Context, d doc) ([]byte, error) {
	var old []byte
	v, err := t.fetch(ctx, d.proposal.Key)
	var notFound *exitError
	switch {
	case errors.As(err, &notFound) && notFound.code == ExitNotFound:
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
