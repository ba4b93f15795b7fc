// Command crocus-dev runs a whole deployment in one process on the loopback interface.
package main

import (
	"os"

	"github.com/crocusspring/crocusspring/internal/dev"
	_ "github.com/crocusspring/crocusspring/internal/signals/early"
)

func main() {
	os.Exit(dev.Main(os.Args[1:], os.Stdout, os.Stderr))
}
