// Command crocus-load generates load and runs experiments.
package main

import (
	"os"

	"github.com/crocusspring/crocusspring/internal/load"
	_ "github.com/crocusspring/crocusspring/internal/signals/early"
)

func main() {
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr))
}
