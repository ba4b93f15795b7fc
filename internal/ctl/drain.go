package ctl

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/peterbourgon/ff/v4"
)

// drainSchema is the schema version of the drain records that the command writes.
const drainSchema = 1

// drainSpec is the spec of a drain record.
type drainSpec struct {
	Scope      config.Scope `json:"scope"`
	Name       string       `json:"of"`
	DataCentre string       `json:"data_centre,omitempty"`
	Reason     string       `json:"reason,omitempty"`
}

// drainCommand returns the command that drains workers or ends their drain.
func (t *tool) drainCommand() *ff.Command {
	var undo, wait bool
	var dataCentre, reason string
	flags := settings.New("drain")
	flags.Bool(&undo, "undo", false, "put back into use")
	flags.Bool(&wait, "wait", false, "wait until every live process has the drain in force")
	flags.String(&dataCentre, "data-centre", "", false, "data centre of the worker or rack")
	flags.String(&reason, "reason", "", false, "reason for the drain")
	return t.subcommand("drain", "drain [--undo] worker|rack|data-centre NAME", "take workers out of use", flags,
		func(ctx context.Context, args []string) error {
			if len(args) != 2 || !slices.Contains([]config.Scope{config.ScopeWorker, config.ScopeRack, config.ScopeDataCentre}, config.Scope(args[0])) {
				return &usageError{"drain: expected worker, rack or data-centre and a name"}
			}
			k := config.Key{Kind: config.KindDrain, Name: drainName(args[0], args[1], dataCentre)}
			if undo {
				return t.deleteRecord(ctx, k, -1)
			}
			spec, err := json.Marshal(drainSpec{config.Scope(args[0]), args[1], dataCentre, reason})
			if err != nil {
				return err
			}
			p := config.Proposal{Key: k, Schema: drainSchema, Spec: spec}
			if err := config.Check(p).Err(); err != nil {
				return &exitError{ExitInvalid, err}
			}
			return t.applyAll(ctx, []doc{{file: k.String(), proposal: p}}, wait)
		})
}

// drainName returns the name of the record that drains a worker, rack or data centre.
func drainName(scope, name, dataCentre string) string {
	if dataCentre != "" {
		name = dataCentre + "." + name
	}
	return scope + "-" + name
}
