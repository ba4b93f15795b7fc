package chart

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/crocusspring/crocusspring/charts"
)

// users names the package that interprets each chart.
var users = map[string]string{
	"task.yaml":       "../cell",
	"request.yaml":    "../dispatch",
	"target.yaml":     "../eject",
	"cell-lease.yaml": "../lease",
	"process.yaml":    "../node",
	"run.yaml":        "../sched",
}

// constants returns the constants of a package that have the given type of package chart.
func constants(t *testing.T, dir, kind string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	var out []string
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		src, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		f, err := parser.ParseFile(token.NewFileSet(), name, src, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			if v, ok := n.(*ast.ValueSpec); ok && typeOf(v) == kind {
				out = append(out, literals(v)...)
			}
			return true
		})
	}
	return out
}

// typeOf returns the name of a constant's type when it comes from package chart.
func typeOf(v *ast.ValueSpec) string {
	sel, ok := v.Type.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if pkg, ok := sel.X.(*ast.Ident); !ok || pkg.Name != "chart" {
		return ""
	}
	return sel.Sel.Name
}

// literals returns the text values of a constant.
func literals(v *ast.ValueSpec) []string {
	var out []string
	for _, x := range v.Values {
		if lit, ok := x.(*ast.BasicLit); ok {
			if text, err := strconv.Unquote(lit.Value); err == nil {
				out = append(out, text)
			}
		}
	}
	return out
}

// TestChartsAgainstCode checks for every chart that the code sends each of its events and no other, and
// that it names no state which the chart lacks.
func TestChartsAgainstCode(t *testing.T) {
	names, err := charts.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		dir, ok := users[n.Name()]
		if !ok {
			t.Errorf("chart %s is interpreted by no package", n.Name())
			continue
		}
		c := MustLoad(charts.Files, n.Name())
		var events []Event
		for _, e := range constants(t, dir, "Event") {
			events = append(events, Event(e))
		}
		for _, m := range differ("event", c.Events(), events) {
			t.Errorf("%s: %s", n.Name(), m)
		}
		states := constants(t, dir, "State")
		if len(states) == 0 {
			t.Errorf("%s: the code names no state", n.Name())
		}
		for _, s := range states {
			if !slices.Contains(c.States(), State(s)) {
				t.Errorf("%s: state %s is in the code but not in the chart", n.Name(), s)
			}
		}
	}
}
