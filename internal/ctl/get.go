package ctl

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/settings"
	"github.com/goccy/go-yaml"
	"github.com/peterbourgon/ff/v4"
)

// getCommand returns the command that shows one record.
func (t *tool) getCommand() *ff.Command {
	return t.subcommand("get", "get KIND/NAME", "show one record in force", nil, t.get)
}

// get prints one record as YAML, or as JSON.
func (t *tool) get(ctx context.Context, args []string) error {
	k, err := parseKey(args)
	if err != nil {
		return err
	}
	v, err := t.fetch(ctx, k)
	if err != nil {
		return err
	}
	if t.output == outputJSON {
		return t.printJSON(v)
	}
	text, err := asYAML(v.Proposal)
	if err != nil {
		return err
	}
	_, err = t.stdout.Write(text)
	return err
}

// fetch returns the version in effect of one record.
func (t *tool) fetch(ctx context.Context, k config.Key) (config.Version, error) {
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	var v config.Version
	err := t.call(ctx, http.MethodGet, apiPath("records", k.Kind, k.Name), nil, &v)
	return v, err
}

// parseKey parses a record key, written as kind/name or as kind and name.
func parseKey(args []string) (config.Key, error) {
	if len(args) == 1 {
		args = strings.SplitN(args[0], "/", 2)
	}
	if len(args) != 2 || args[0] == "" || args[1] == "" {
		return config.Key{}, &usageError{"name one record as KIND/NAME"}
	}
	return config.Key{Kind: args[0], Name: args[1]}, nil
}

// content holds the fields of a record that an operator writes.
type content struct {
	Kind      string `yaml:"kind"`
	Name      string `yaml:"name"`
	Schema    int    `yaml:"schema"`
	Workspace string `yaml:"workspace,omitempty"`
	Deleted   bool   `yaml:"deleted,omitempty"`
	Spec      any    `yaml:"spec,omitempty"`
}

// asYAML encodes the fields that an operator writes as YAML, with the keys of the spec in order.
func asYAML(p config.Proposal) ([]byte, error) {
	c := content{Kind: p.Kind, Name: p.Name, Schema: p.Schema, Workspace: p.Workspace, Deleted: p.Deleted}
	if len(p.Spec) > 0 {
		if err := yaml.Unmarshal(p.Spec, &c.Spec); err != nil {
			return nil, err
		}
	}
	return yaml.Marshal(c)
}

// deleteCommand returns the command that deletes a record.
func (t *tool) deleteCommand() *ff.Command {
	var expected int64
	flags := settings.New("delete")
	flags.Int(&expected, "expected", -1, -1, 1<<40, "expected version; -1 for the one in force")
	return t.subcommand("delete", "delete [--expected N] KIND/NAME", "delete a record", flags,
		func(ctx context.Context, args []string) error {
			k, err := parseKey(args)
			if err != nil {
				return err
			}
			return t.deleteRecord(ctx, k, expected)
		})
}

// deleteRecord publishes the deletion of a record that is in effect. A negative expected version stands for
// the one in effect.
func (t *tool) deleteRecord(ctx context.Context, k config.Key, expected int64) error {
	v, err := t.fetch(ctx, k)
	if err != nil {
		return err
	}
	p := config.Proposal{Key: k, Schema: v.Schema, Workspace: v.Workspace, Deleted: true, Expected: v.Number}
	if expected >= 0 {
		p.Expected = expected
	}
	return t.applyAll(ctx, []doc{{file: k.String(), proposal: p, hasExpected: true}}, false)
}

// listCommand returns the command that lists the records in effect.
func (t *tool) listCommand() *ff.Command {
	return t.subcommand("list", "list [KIND]", "list the records in force", nil, t.list)
}

// list prints the records that the operator may read.
func (t *tool) list(ctx context.Context, args []string) error {
	ctx, cancel := t.withTimeout(ctx)
	defer cancel()
	path := "/v1/records"
	if len(args) > 0 {
		path += "?kind=" + args[0]
	}
	var all []config.Version
	if err := t.call(ctx, http.MethodGet, path, nil, &all); err != nil {
		return err
	}
	rows := make([][]string, 0, len(all))
	for _, v := range all {
		rows = append(rows, versionRow(v))
	}
	return t.print(all, versionColumns, rows)
}

// versionColumns holds the column titles of versionRow.
var versionColumns = []string{"RECORD", "VERSION", "SCHEMA", "WORKSPACE", "BY", "OFFSET"}

// versionRow returns one version as a table row.
func versionRow(v config.Version) []string {
	return []string{
		v.Key.String(), strconv.FormatInt(v.Number, 10), strconv.Itoa(v.Schema), dashIfEmpty(v.Workspace), v.By,
		strconv.FormatInt(int64(v.Offset), 10),
	}
}

// dashIfEmpty returns a dash for empty text; other text is returned unchanged.
func dashIfEmpty(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
