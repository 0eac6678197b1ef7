package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

// The streams of the case "ended".
const (
	endedPieces   = 60
	endedGap      = 25 * time.Millisecond
	endedStreams  = 6 // in each round
	endedRounds   = 4
	endedDark     = 2 * time.Second        // in each second round the runner's machine says nothing for so long
	endedRunners  = 4                      // of which one crashes in each round
	endedCrashAt  = 600 * time.Millisecond // after the streams of a round began
	endedInTokens = 1460
)

// runRunnerProcess is a model runner as a process of its own. Its answers carry no length and end with their connection.
func runRunnerProcess(args []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	address, id := flags.String("address", "", "IP:port"), flags.String("id", "", "the runner's id")
	_ = flags.Parse(args)
	var mu sync.Mutex
	say := func(format string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		fmt.Printf(format+"\n", args...)
	}
	_, err := startRunner(*address, *id, func(e *exchange) bool {
		first := 1
		if last := e.request.Header.Get("Last-Event-Id"); last != "" {
			_, _ = fmt.Sscan(last, &first)
			first++
		}
		say("run of %s begins with piece %d", e.id, first)
		if e.beginStream(false) != nil {
			return false
		}
		for piece := first; piece <= endedPieces; piece++ {
			if !e.sleep(endedGap) || e.event(piece, false) != nil {
				say("run of %s ends, its caller is gone", e.id)
				return false
			}
		}
		say("run of %s ends whole", e.id)
		return false
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	say("listens")
	_, _ = io.Copy(io.Discard, os.Stdin) // until the case ends
}

// runnerProcess is a runner and what starts it again as soon as it has crashed.
type runnerProcess struct {
	w           *world
	id, address string

	mu      sync.Mutex
	process *exec.Cmd
	born    time.Time
	over    bool
	held    bool          // it is not started again yet
	begun   int           // runs, in all
	back    chan struct{} // gets an item at each start, once the process listens
	gone    chan struct{} // gets an item at each end
}

func (p *runnerProcess) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	c := exec.Command(program, "runner", "-address", p.address, "-id", p.id)
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if _, err := c.StdinPipe(); err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.process, p.born = c, time.Now()
	p.mu.Unlock()
	go func() {
		for lines := bufio.NewScanner(out); lines.Scan(); {
			p.w.rec.logf("runner %s: %s", p.id, lines.Text())
			if lines.Text() == "listens" {
				p.back <- struct{}{}
			}
			if strings.Contains(lines.Text(), " begins ") {
				p.mu.Lock()
				p.begun++
				p.mu.Unlock()
			}
		}
		_ = c.Wait()
		p.mu.Lock()
		over := p.over || p.held
		p.mu.Unlock()
		p.gone <- struct{}{}
		if !over {
			_ = p.start()
		}
	}()
	return nil
}

// entry is the runner's record in the store.
func (p *runnerProcess) entry() *entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return &entry{Service: modelService, Address: p.address, Zone: "colombo-a", Version: "v1", Slots: 64, State: "ready", Born: p.born.UnixMilli()}
}

// crash kills the process; it is started again at once.
func (p *runnerProcess) crash() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.process.Process.Kill()
}

func (p *runnerProcess) end() {
	p.mu.Lock()
	p.over = true
	p.mu.Unlock()
	p.crash()
}

// caseEnded: a runner whose answers carry no length crashes in the middle of its streams and is started again at once. A
// stream that was cut must not look complete (ORDER, MIXED).
func caseEnded(w *world) (bool, error) {
	var runners []*runnerProcess
	for i := range endedRunners {
		address, err := freeAddress()
		if err != nil {
			return false, err
		}
		p := &runnerProcess{w: w, id: fmt.Sprintf("i-7f3a91c%d", i), address: address, back: make(chan struct{}, 100), gone: make(chan struct{}, 100)}
		if err := p.start(); err != nil {
			return false, err
		}
		<-p.back
		w.closers = append(w.closers, p.end)
		w.list(p.id, p.entry)
		runners = append(runners, p)
	}
	w.putConfig(1, 100_000_000)
	if err := w.startRouters(2); err != nil {
		return false, err
	}
	time.Sleep(lead)
	isBroken, whole := false, 0
	for round := range endedRounds {
		begun := runsOf(runners)
		replies := make([]reply, endedStreams)
		var streams sync.WaitGroup
		for i := range replies {
			streams.Go(func() {
				q := call{
					method: "POST", path: dietPlan + "2f", id: newAttempt(), deadline: 15 * time.Second, body: "prompt", headers: []string{
						"Api-Key: " + keyOf(0), "Model: m", fmt.Sprintf("Token-Usage: %d,%d", endedInTokens, endedPieces*stride),
						fmt.Sprintf("Prompt-Prefix: %x:800,%x:660", 0x5c1e07a2, round*endedStreams+i+1),
					},
				}
				w.rec.logf("client sends %s", q.id)
				replies[i] = once(w.routers[i%len(w.routers)].listen, q)
				w.rec.logf("client got for %s: %v, %d pieces", q.id, replies[i], replies[i].events())
			})
		}
		time.Sleep(endedCrashAt)
		if w.trouble {
			if err := crashAndReturn(w, busiest(runners, begun), round%2 == 1); err != nil {
				return false, err
			}
		}
		streams.Wait()
		for _, r := range replies {
			switch {
			case r.status == 200 && r.err == nil && r.events() < endedPieces:
				isBroken = true
				w.rec.logf("ORDER: an answer ended in order after %d of %d pieces", r.events(), endedPieces)
			case r.status == 200 && r.err == nil:
				whole++
			}
		}
		time.Sleep(2 * time.Second)
	}
	w.rec.logf("%d of %d streams were whole", whole, endedRounds*endedStreams)
	if !w.trouble && whole < endedRounds*endedStreams {
		return false, fmt.Errorf("only %d streams were whole without a disruption", whole)
	}
	return isBroken, nil
}

// runsOf returns how many runs each runner has begun.
func runsOf(runners []*runnerProcess) (begun []int) {
	for _, p := range runners {
		p.mu.Lock()
		begun = append(begun, p.begun)
		p.mu.Unlock()
	}
	return begun
}

// busiest returns the runner that has begun most runs since then.
func busiest(runners []*runnerProcess, since []int) *runnerProcess {
	most := 0
	now := runsOf(runners)
	for i := range runners {
		if now[i]-since[i] > now[most]-since[most] {
			most = i
		}
	}
	return runners[most]
}

// crashAndReturn crashes a runner, which is started again at once, or after its machine was dark for a while.
func crashAndReturn(w *world, p *runnerProcess, dark bool) error {
	p.mu.Lock()
	p.held = dark
	p.mu.Unlock()
	w.rec.logf("runner %s crashes", p.id)
	p.crash()
	<-p.gone
	if dark {
		end, err := darken(p.address)
		if err != nil {
			return err
		}
		w.rec.logf("the machine of runner %s says nothing", p.id)
		time.Sleep(endedDark)
		end()
		if err := p.start(); err != nil {
			return err
		}
	}
	<-p.back
	w.store.put("keyed.servers", p.id, p.entry())
	w.rec.logf("runner %s is back", p.id)
	return nil
}
