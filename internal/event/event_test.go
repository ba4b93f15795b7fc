package event

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// pagePath is the path of the file that TestPage checks, and writes if UPDATE is set.
const pagePath = "../../docs/LOGS.md"

// TestPage checks that docs/LOGS.md matches All; with UPDATE=1 it writes the file.
func TestPage(t *testing.T) {
	want := render()
	if os.Getenv("UPDATE") != "" {
		if err := os.WriteFile(pagePath, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s is not up to date; write it with UPDATE=1 go test ./internal/event", pagePath)
	}
}

// render returns the text of the page.
func render() string {
	var b strings.Builder
	b.WriteString("# Log lines\n\nWritten from `internal/event`; `UPDATE=1 go test ./internal/event` writes it anew.\n\n" +
		"A line is a JSON object with `time`, `level`, `prefix` for the part, `msg` for the kind, and the fields below.\n" +
		"Lines of the owner name the job, task or worker in `subject` and what decided it in `inputs`.\n\n" +
		"| `msg` | level | program | `prefix` | fields | says |\n|---|---|---|---|---|---|\n")
	for _, l := range All {
		var fields []string
		for _, f := range l.Fields {
			fields = append(fields, "`"+f+"`")
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", l.Message, l.Level, l.Program, l.Part, strings.Join(fields, " "), l.Meaning)
	}
	return b.String()
}

// dirs are the directories of the programs that run on a platform; every line they log must be listed.
var dirs = []string{
	"../guard", "../owner", "../ownership", "../intake", "../queues", "../directory", "../process", "../sched", "../ingress", "../../platform",
}

// call is a call of a logger in the source code.
type call struct {
	level, message string
	fields         []string
	at             token.Position
}

// calls returns all calls of loggers in the non-test files of a directory, except those of level debug.
func calls(t *testing.T, dir string) []call {
	t.Helper()
	set := token.NewFileSet()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var out []call
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		f, err := parser.ParseFile(set, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			c, ok := n.(*ast.CallExpr)
			if !ok {
				return true
			}
			sel, ok := c.Fun.(*ast.SelectorExpr)
			if !ok || !slices.Contains([]string{"Info", "Warn", "Error"}, sel.Sel.Name) || len(c.Args) == 0 {
				return true
			}
			if x, ok := sel.X.(*ast.Ident); ok && x.Name == "http" {
				return true
			}
			line := call{level: strings.ToLower(sel.Sel.Name), at: set.Position(c.Pos())}
			if name, ok := c.Args[0].(*ast.SelectorExpr); ok {
				line.message = name.Sel.Name
			}
			for i := 1; i < len(c.Args); i += 2 {
				if lit, ok := c.Args[i].(*ast.BasicLit); ok {
					if text, err := strconv.Unquote(lit.Value); err == nil {
						line.fields = append(line.fields, text)
					}
				}
			}
			out = append(out, line)
			return true
		})
	}
	return out
}

// names returns the lines of All by the names of their constants.
func names(t *testing.T) map[string]Line {
	t.Helper()
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, "event.go", nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	byMessage := map[Message]Line{}
	for _, l := range All {
		byMessage[l.Message] = l
	}
	out := map[string]Line{}
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok || len(v.Values) != 1 {
			return true
		}
		lit, ok := v.Values[0].(*ast.BasicLit)
		if !ok {
			return true
		}
		text, err := strconv.Unquote(lit.Value)
		if err != nil {
			t.Fatal(err)
		}
		l, ok := byMessage[Message(text)]
		if !ok {
			t.Errorf("%s is not described in All", v.Names[0].Name)
		}
		out[v.Names[0].Name] = l
		return true
	})
	return out
}

// TestEveryLineIsListed checks that every line the code logs is listed in All with its level and fields.
func TestEveryLineIsListed(t *testing.T) {
	listed := names(t)
	for _, dir := range dirs {
		for _, c := range calls(t, dir) {
			where := fmt.Sprintf("%s:%d", filepath.Base(c.at.Filename), c.at.Line)
			if c.message == "Decision" {
				continue // the kind is a variable set by the scheduler from the same constants
			}
			l, ok := listed[c.message]
			if !ok {
				t.Errorf("%s: kind %q is not listed", where, c.message)
				continue
			}
			if l.Level != c.level {
				t.Errorf("%s: %s is logged as %s, listed as %s", where, c.message, c.level, l.Level)
			}
			for _, f := range c.fields {
				if !slices.Contains(l.Fields, f) {
					t.Errorf("%s: field %s of %s is not listed", where, f, c.message)
				}
			}
		}
	}
}
