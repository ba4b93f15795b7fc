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

// interpreters maps each chart to the directory of the package that interprets it.
var interpreters = map[string]string{
	"task.yaml":       "../cell",
	"request.yaml":    "../dispatch",
	"target.yaml":     "../eject",
	"cell-lease.yaml": "../lease",
	"process.yaml":    "../node",
	"run.yaml":        "../sched",
}

// constants returns the values of a package's constants whose type is the named type of package chart.
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
			if v, ok := n.(*ast.ValueSpec); ok && chartType(v) == kind {
				out = append(out, literals(v)...)
			}
			return true
		})
	}
	return out
}

// chartType returns the name of a constant's type if package chart declares it; empty otherwise.
func chartType(v *ast.ValueSpec) string {
	sel, ok := v.Type.(*ast.SelectorExpr)
	if !ok {
		return ""
	}
	if pkg, ok := sel.X.(*ast.Ident); !ok || pkg.Name != "chart" {
		return ""
	}
	return sel.Sel.Name
}

// literals returns the string literals that a constant declaration assigns.
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

// TestChartsAgainstCode checks for every chart that the package which interprets it declares a constant for
// each event and for no other, at least one state constant, and no state that the chart lacks.
func TestChartsAgainstCode(t *testing.T) {
	names, err := charts.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range names {
		dir, ok := interpreters[n.Name()]
		if !ok {
			t.Errorf("chart %s is interpreted by no package", n.Name())
			continue
		}
		c := MustLoad(charts.Files, n.Name())
		var events []Event
		for _, e := range constants(t, dir, "Event") {
			events = append(events, Event(e))
		}
		for _, m := range differences("event", c.Events(), events) {
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
