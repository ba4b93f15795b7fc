// Command crocus-entry serves callers and operators and is a candidate owner of cells.
package main

import (
	"os"

	"github.com/crocusspring/crocusspring/internal/node"
	"github.com/crocusspring/crocusspring/platform"
)

func main() {
	if len(os.Args) == 2 && os.Args[1] == platform.Command {
		os.Exit(platform.Entry())
	}
	os.Exit(node.Main(node.RoleEntry, os.Args[1:], os.Stdout, os.Stderr))
}
