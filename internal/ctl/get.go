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

// getCommand shows one record.
func (t *tool) getCommand() *ff.Command {
	return t.subcommand("get", "get KIND/NAME", "show one record in force", nil, t.get)
}

// get prints one record as YAML, or as JSON.
func (t *tool) get(ctx context.Context, args []string) error {
	k, err := keyOf(args)
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

// fetch returns one record in force.
func (t *tool) fetch(ctx context.Context, k config.Key) (config.Version, error) {
	ctx, cancel := t.bounded(ctx)
	defer cancel()
	var v config.Version
	err := t.call(ctx, http.MethodGet, pathOf("records", k.Kind, k.Name), nil, &v)
	return v, err
}

// keyOf reads kind/name or kind and name.
func keyOf(args []string) (config.Key, error) {
	if len(args) == 1 {
		args = strings.SplitN(args[0], "/", 2)
	}
	if len(args) != 2 || args[0] == "" || args[1] == "" {
		return config.Key{}, &usageError{"name one record as KIND/NAME"}
	}
	return config.Key{Kind: args[0], Name: args[1]}, nil
}

// content is what an operator writes of a record.
type content struct {
	Kind      string `yaml:"kind"`
	Name      string `yaml:"name"`
	Schema    int    `yaml:"schema"`
	Workspace string `yaml:"workspace,omitempty"`
	Deleted   bool   `yaml:"deleted,omitempty"`
	Spec      any    `yaml:"spec,omitempty"`
}

// asYAML returns what an operator writes of a record, with the keys of its spec in order.
func asYAML(p config.Proposal) ([]byte, error) {
	c := content{Kind: p.Kind, Name: p.Name, Schema: p.Schema, Workspace: p.Workspace, Deleted: p.Deleted}
	if len(p.Spec) > 0 {
		if err := yaml.Unmarshal(p.Spec, &c.Spec); err != nil {
			return nil, err
		}
	}
	return yaml.Marshal(c)
}

// deleteCommand withdraws a record.
func (t *tool) deleteCommand() *ff.Command {
	var expected int64
	flags := settings.New("delete")
	flags.Int(&expected, "expected", -1, -1, 1<<40, "version that is meant; -1 for the one in force")
	return t.subcommand("delete", "delete [--expected N] KIND/NAME", "withdraw a record", flags,
		func(ctx context.Context, args []string) error {
			k, err := keyOf(args)
			if err != nil {
				return err
			}
			return t.withdraw(ctx, k, expected)
		})
}

// withdraw publishes the deletion of a record that is in force.
func (t *tool) withdraw(ctx context.Context, k config.Key, expected int64) error {
	v, err := t.fetch(ctx, k)
	if err != nil {
		return err
	}
	p := config.Proposal{Key: k, Schema: v.Schema, Workspace: v.Workspace, Deleted: true, Expected: v.Number}
	if expected >= 0 {
		p.Expected = expected
	}
	return t.applyAll(ctx, []doc{{file: k.String(), proposal: p, expects: true}}, false)
}

// listCommand lists the configuration in force.
func (t *tool) listCommand() *ff.Command {
	return t.subcommand("list", "list [KIND]", "list the records in force", nil, t.list)
}

// list prints the records that the operator may read.
func (t *tool) list(ctx context.Context, args []string) error {
	ctx, cancel := t.bounded(ctx)
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
	return t.print(all, versionHeader, rows)
}

// versionHeader stands above rows of versions.
var versionHeader = []string{"RECORD", "VERSION", "SCHEMA", "WORKSPACE", "BY", "OFFSET"}

// versionRow is one version as a row.
func versionRow(v config.Version) []string {
	return []string{
		v.Key.String(), strconv.FormatInt(v.Number, 10), strconv.Itoa(v.Schema), dash(v.Workspace), v.By,
		strconv.FormatInt(int64(v.Offset), 10),
	}
}

// dash stands for what is empty.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
