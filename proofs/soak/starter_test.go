package soak

import (
	"os/exec"
	"runtime"
	"sync"
)

// processStarter starts processes from one thread that lives as long as the test: with Pdeathsig a
// process is killed when the thread that started it exits.
type processStarter struct {
	once  sync.Once
	queue chan startRequest
}

// startRequest asks for the start of a process.
type startRequest struct {
	process *exec.Cmd
	started chan error
}

var starter = processStarter{queue: make(chan startRequest)}

func (s *processStarter) start(process *exec.Cmd) error {
	s.once.Do(func() { go s.run() })
	request := startRequest{process: process, started: make(chan error, 1)}
	s.queue <- request
	return <-request.started
}

func (s *processStarter) run() {
	runtime.LockOSThread()
	for request := range s.queue {
		request.started <- request.process.Start()
	}
}
