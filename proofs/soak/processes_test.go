package soak

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"maststage.dev/platform/platformtest"
	"maststage.dev/standin/backend"
)

// Figures of the test of targets that are stopped processes.
const (
	processEngines  = 12
	processOthers   = 4 // targets of each other service
	stopMin         = 600 * time.Millisecond
	stopSpan        = 2 * time.Second
	processVariable = "MASTSTAGE_SOAK_TARGET" // the id of the target that the test's program is to be
	noLengthSuffix  = "-no-length"            // of the id of a target whose responses have no framing
)

// targetProcess is a target that is a process of its own.
type targetProcess struct {
	id, service string
	process     *exec.Cmd
	lines       *bufio.Scanner // its output
	ran         []string       // ids of the requests that it ran, known once it has ended
}

// runTargetProcess is the program of a target: it writes its address, serves until it is told to end, and then writes the ids of
// the requests that it ran.
func runTargetProcess(id string) {
	end := make(chan os.Signal, 1)
	signal.Notify(end, syscall.SIGTERM)
	noLength := strings.HasSuffix(id, noLengthSuffix)
	b, err := backend.Start(id, backendNames, func(run backend.Run) backend.Behaviour { return soundSocketBehaviour(id, run, noLength) })
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	fmt.Println(b.Address())
	<-end
	for _, run := range b.Runs() {
		fmt.Println(run.ID)
	}
}

// startProcesses starts the targets of all services as processes.
func (w *world) startProcesses() {
	for _, service := range []string{engineService, plainService, otherService} {
		n := processOthers
		if service == engineService {
			n = processEngines
		}
		for i := range n {
			id := fmt.Sprintf("%s-%d", service, i)
			if w.options.unframed || w.options.mixed && i%3 == 0 {
				id += noLengthSuffix
			}
			w.startProcess(id, service, i)
		}
	}
}

// startProcess starts a target as a process and writes its entry.
func (w *world) startProcess(id, service string, number int) {
	p := &targetProcess{id: id, service: service, process: exec.Command(os.Args[0])}
	p.process.Env = append(os.Environ(), processVariable+"="+id)
	p.process.Stderr = os.Stderr
	p.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := p.process.StdoutPipe()
	if err == nil {
		err = starter.start(p.process)
	}
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { _ = p.process.Process.Kill() }) // it may have ended already
	p.lines = bufio.NewScanner(out)
	if !p.lines.Scan() {
		w.t.Fatalf("target %s did not start: %v", id, p.lines.Err())
	}
	w.processes = append(w.processes, p)
	w.write(platformtest.Servers, id, platformtest.Encode(platformtest.Server{
		Service: service, Address: p.lines.Text(), Zone: fmt.Sprintf("z%d", number%3), State: platformtest.Ready, Slots: targetSlots,
	}))
}

// endProcesses ends the targets in order and learns which requests they ran.
func (w *world) endProcesses() {
	for _, p := range w.processes {
		if err := p.process.Process.Signal(syscall.SIGTERM); err != nil {
			w.t.Errorf("%s: %v", p.id, err)
			continue
		}
		for p.lines.Scan() {
			p.ran = append(p.ran, p.lines.Text())
		}
		if err := p.process.Wait(); err != nil {
			w.t.Errorf("%s: %v", p.id, err)
		}
	}
}

// stopFor stops processes for a time.
func (w *world) stopFor(list []*targetProcess, length time.Duration) {
	for _, p := range list {
		if err := p.process.Process.Signal(syscall.SIGSTOP); err != nil {
			w.t.Errorf("%s: %v", p.id, err)
		}
	}
	time.Sleep(length)
	for _, p := range list {
		if err := p.process.Process.Signal(syscall.SIGCONT); err != nil {
			w.t.Errorf("%s: %v", p.id, err)
		}
	}
}

// Guards against responses that callers take for whole ones though they are not, after processes of targets were stopped and went
// on beside a change of the configuration: these read then what came on connections that were closed meanwhile, and their
// timers are late.
func TestAnswersOfStoppedProcessesDoNotEndAsWhole(t *testing.T) {
	for number, c := range []struct {
		name    string
		share   float64 // of the targets of each service that are stopped
		options worldOptions
	}{
		{"all targets", 1, worldOptions{}},
		{"two thirds of the targets, a third of the responses without framing", 0.67, worldOptions{mixed: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := uint64(number + 1)
			c.options.processes, c.options.services = true, []string{otherService}
			w := newWorldWith(t, usualHosts, seed, c.options)
			w.addOnceRoute()
			time.Sleep(silentSettle)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			var traffic sync.WaitGroup
			traffic.Go(func() {
				w.socketTraffic(ctx, seed, socketKinds(silentCallers), []string{streamPath, streamPath, oncePath, oncePath, safePath, unsafePath})
			})
			random := rand.New(rand.NewPCG(seed, 80))
			w.playSilences(random, func() {
				w.stopFor(w.drawProcesses(c.share, random), stopMin+time.Duration(random.Int64N(int64(stopSpan))))
			})
			time.Sleep(silentSettle)
			stop()
			traffic.Wait()
			w.endProcesses()
			w.checkRan()
			w.checkAfterSilences()
			w.report(seed, nil)
		})
	}
}

// drawProcesses draws a share of the targets of the engine's service or of all.
func (w *world) drawProcesses(share float64, random *rand.Rand) (list []*targetProcess) {
	engines := random.IntN(2) == 0
	for _, p := range w.processes {
		if (!engines || p.service == engineService) && random.Float64() < share {
			list = append(list, p)
		}
	}
	return list
}

// checkRan: a request that was answered with a success ran at a target.
func (w *world) checkRan() {
	runs := w.socketRuns()
	w.watch.mu.Lock()
	answers := slices.Clone(w.watch.socketAnswers)
	w.watch.mu.Unlock()
	for _, a := range answers {
		if a.status == http.StatusOK && runs[a.id] == 0 {
			w.watch.violation("ran", "%s ran nowhere", a)
		}
	}
}
