// Package early lets a program that imports it receive signals before its other packages are initialised, which takes tens of
// milliseconds on a busy machine. It imports little itself, so that it is among the first.
package early

import "github.com/crocusspring/crocusspring/internal/signals"

func init() { signals.Receive() }
