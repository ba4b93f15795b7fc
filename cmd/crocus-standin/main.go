// Command crocus-standin runs a stand-in for a part of the platform: log, worker or target.
package main

import (
	"os"

	_ "github.com/crocusspring/crocusspring/internal/signals/early"
	"github.com/crocusspring/crocusspring/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
