// Package script runs the scripts under testdata/script against the programs of the product.
package script

import (
	"os"
	"testing"

	"github.com/crocusspring/crocusspring/internal/ctl"
	"github.com/crocusspring/crocusspring/internal/dev"
	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/internal/standin"
	"github.com/crocusspring/crocusspring/platform"
	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain registers the programs as commands for the scripts.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"crocus-dev":     func() { os.Exit(dev.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"crocus-entry":   func() { os.Exit(platform.Main(node.RoleEntry, os.Args[1:], os.Stdout, os.Stderr)) },
		"crocus-guard":   func() { os.Exit(platform.Main(node.RoleGuard, os.Args[1:], os.Stdout, os.Stderr)) },
		"crocus-standin": func() { os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr)) },
		"crocusctl":      func() { os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// TestScripts runs every script in testdata/script.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "../../testdata/script"})
}
