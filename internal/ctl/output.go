package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// print writes v as JSON or the rows as a table with a header, as the output flag says.
func (t *tool) print(v any, header []string, rows [][]string) error {
	if t.output == outputJSON {
		return t.printJSON(v)
	}
	w := tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(header, "\t"))
	for _, r := range rows {
		fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	return w.Flush()
}

// printYAML writes a JSON response as YAML or, if the output flag says so, as JSON.
func (t *tool) printYAML(raw json.RawMessage) error {
	if t.output == outputJSON {
		return t.printJSON(raw)
	}
	text, err := yaml.JSONToYAML(raw)
	if err != nil {
		return err
	}
	_, err = t.stdout.Write(text)
	return err
}

// printJSON writes v as indented JSON.
func (t *tool) printJSON(v any) error {
	enc := json.NewEncoder(t.stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// line writes v as one line of JSON or the formatted text, as the output flag says.
func (t *tool) line(v any, format string, args ...any) error {
	if t.output == outputJSON {
		return json.NewEncoder(t.stdout).Encode(v)
	}
	_, err := fmt.Fprintf(t.stdout, format+"\n", args...)
	return err
}
