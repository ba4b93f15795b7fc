// Command crocus-load is the load and experiment tool.
package main

import (
	"os"

	"github.com/crocusspring/crocusspring/internal/load"
)

func main() {
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr))
}
