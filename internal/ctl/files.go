package ctl

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/crocusspring/crocusspring/internal/config"
	"github.com/crocusspring/crocusspring/internal/finding"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// doc is one record read from a file.
type doc struct {
	file     string
	proposal config.Proposal
	// hasExpected is set when the record states its expected version.
	hasExpected bool
}

// readFiles reads and checks the records of all files and reports all findings together.
func readFiles(files []string) ([]doc, error) {
	if len(files) == 0 {
		return nil, &usageError{"name at least one file"}
	}
	var out []doc
	var l finding.List
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, err
		}
		out = append(out, readFile(&l, f, data)...)
	}
	if err := l.Err(); err != nil {
		return nil, &exitError{ExitInvalid, err}
	}
	return out, nil
}

// readFile reads the records of one file, one per YAML document.
func readFile(l *finding.List, file string, data []byte) []doc {
	parsed, err := parser.ParseBytes(data, 0)
	if err != nil {
		l.Add(file, "", "is not YAML: %s", strings.TrimSpace(yaml.FormatError(err, false, false)))
		return nil
	}
	var out []doc
	for _, d := range parsed.Docs {
		if d.Body == nil {
			continue
		}
		raw, err := toJSON(d.Body)
		if err != nil {
			l.Add(location(file, d.Body, ""), "", "%v", err)
			continue
		}
		p, found := config.CheckDocument(raw)
		for _, f := range found {
			record, pointer, _ := strings.Cut(f.Place, ": ")
			f.Place = location(file, d.Body, pointer) + ": " + record + ": " + pointer
			*l = append(*l, f)
		}
		var version struct {
			Expected *int64 `json:"expected"`
		}
		_ = json.Unmarshal(raw, &version)
		out = append(out, doc{file, p, version.Expected != nil})
	}
	if len(out) == 0 && len(*l) == 0 {
		l.Add(file, "", "holds no record")
	}
	return out
}

// toJSON returns a YAML node as JSON.
func toJSON(n ast.Node) ([]byte, error) {
	var v any
	if err := yaml.NodeToValue(n, &v); err != nil {
		return nil, errors.New(strings.TrimSpace(yaml.FormatError(err, false, false)))
	}
	return json.Marshal(v)
}

// location returns the file and line of the node that a JSON pointer refers to, or of the nearest enclosing
// node.
func location(file string, root ast.Node, pointer string) string {
	node := root
	for _, token := range strings.Split(strings.Trim(pointer, "/"), "/") {
		token = strings.ReplaceAll(strings.ReplaceAll(token, "~1", "/"), "~0", "~")
		next := child(node, token)
		if next == nil {
			break
		}
		node = next
	}
	return fmt.Sprintf("%s:%d", file, lineOf(node))
}

// child returns the value at a key or index; nil when there is none.
func child(n ast.Node, token string) ast.Node {
	switch n := n.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			if v.Key.String() == token {
				return v.Value
			}
		}
	case *ast.MappingValueNode:
		if n.Key.String() == token {
			return n.Value
		}
	case *ast.SequenceNode:
		if i, err := strconv.Atoi(token); err == nil && i >= 0 && i < len(n.Values) {
			return n.Values[i]
		}
	}
	return nil
}

// lineOf returns the line where a node starts. The token of a mapping is its colon, so the line of its first
// key is used.
func lineOf(n ast.Node) int {
	switch m := n.(type) {
	case *ast.MappingNode:
		if len(m.Values) > 0 {
			n = m.Values[0].Key
		}
	case *ast.MappingValueNode:
		n = m.Key
	}
	if t := n.GetToken(); t != nil && t.Position != nil {
		return t.Position.Line
	}
	return 1
}
