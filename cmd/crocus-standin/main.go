// Command crocus-standin runs a small stand-in of the platform: log, worker or target.
package main

import (
	"os"

	"github.com/crocusspring/crocusspring/internal/standin"
)

func main() {
	os.Exit(standin.Main(os.Args[1:], os.Stdout, os.Stderr))
}
