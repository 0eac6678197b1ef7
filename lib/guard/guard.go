// Package guard starts goroutines that end the process cleanly on a panic.
package guard

import (
	"os"
	"runtime/debug"

	log "github.com/sirupsen/logrus"
)

// exitPanic is the exit status after a panic.
const exitPanic = 70

// Go runs f on its own goroutine under Panic.
func Go(duty string, f func()) {
	go func() {
		defer Panic(duty)
		f()
	}()
}

// Panic logs a panic with its stack and ends the process: a host keeps
// nothing, so it is safer replaced than left half working. Defer it.
func Panic(duty string) {
	r := recover()
	if r == nil {
		return
	}
	log.WithField("duty", duty).Errorf("panic: %v\n%s", r, debug.Stack())
	os.Exit(exitPanic)
}
