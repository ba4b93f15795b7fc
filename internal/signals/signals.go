// Package signals receives the signals that stop a process or make it reload its settings. What arrives before the process
// waits for them is kept.
package signals

import (
	"os"
	"os/signal"
	"syscall"
)

// stops holds the first two signals to stop, of which the second one may end a stop that takes long; reloads holds one,
// since a reload that begins later covers all before it.
var (
	stops   = make(chan os.Signal, 2)
	reloads = make(chan os.Signal, 1)
)

// Receive starts receiving SIGTERM, SIGINT and, unless the process was started to ignore it, SIGHUP. It may be called again.
func Receive() {
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	if !signal.Ignored(syscall.SIGHUP) {
		signal.Notify(reloads, syscall.SIGHUP)
	}
}

// ReceiveAll is Receive for a program that reloads its settings at SIGHUP, however it was started.
func ReceiveAll() {
	Receive()
	signal.Notify(reloads, syscall.SIGHUP)
}

// Stops returns SIGTERM and SIGINT.
func Stops() <-chan os.Signal { return stops }

// Reloads returns SIGHUP.
func Reloads() <-chan os.Signal { return reloads }
