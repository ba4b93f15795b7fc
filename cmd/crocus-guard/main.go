// Command crocus-guard runs beside a target and is a candidate owner of cells.
package main

import (
	"os"

	"github.com/crocusspring/crocusspring/internal/node"
	_ "github.com/crocusspring/crocusspring/internal/signals/early"
	"github.com/crocusspring/crocusspring/platform"
)

func main() {
	os.Exit(platform.Main(node.RoleGuard, os.Args[1:], os.Stdout, os.Stderr))
}
