// Package guard logs panics of goroutines and then exits the process.
package guard

import (
	"os"
	"runtime/debug"

	log "github.com/sirupsen/logrus"
)

// exitPanic is the exit status after a panic.
const exitPanic = 70

// Go runs f in a new goroutine that handles panics with Panic. duty is the value of the log field.
func Go(duty string, f func()) {
	go func() {
		defer Panic(duty)
		f()
	}()
}

// Panic recovers a panic, logs it with its stack and exits the process: a host has no
// durable state, so replacing it is safer than leaving it half working. It must be deferred.
func Panic(duty string) {
	r := recover()
	if r == nil {
		return
	}
	log.WithField("duty", duty).Errorf("panic: %v\n%s", r, debug.Stack())
	os.Exit(exitPanic)
}
