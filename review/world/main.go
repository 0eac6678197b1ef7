// Command world plays the cases of this review that are scripts. It starts the project's router as separate processes, with
// stand-ins of the platform's store, of runners and of clients around it, all on the loopback network. It exits with 0 if the
// rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// longest is how long a case may take.
const longest = 115 * time.Second

// lead is how long after the machines traffic starts.
const lead = 10 * time.Second

// world is what a case runs in.
type world struct {
	rec           *recorder
	store         *store
	temp          string
	routerProgram string
	trouble       bool // the disruption happens
	routers       []*router
	closers       []func()
	stopBeats     chan struct{}
	ending        sync.Mutex
}

var cases = map[string]func(w *world) (bool, error){
	"ended": caseEnded,
	"late":  caseLate,
	"grace": caseGrace,
	"usage": caseUsage,
	"pace":  casePace,
	"back":  caseBack,
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "runner" {
		runRunnerProcess(os.Args[2:])
		return
	}
	dir := flag.String("dir", ".", "folder of record.txt")
	program := flag.String("router", "target/maststage-router", "the router's program")
	flag.Parse()
	play := cases[flag.Arg(0)]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", flag.Arg(0))
		os.Exit(couldNot)
	}
	os.Exit(run(play, *dir, *program))
}

func run(play func(w *world) (bool, error), dir, program string) int {
	rec, err := newRecorder(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.close()
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	w := &world{rec: rec, temp: temp, routerProgram: program, trouble: os.Getenv("TROUBLE") != "0", stopBeats: make(chan struct{})}
	defer w.end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		rec.logf("the case could not run: it was stopped, or took too long")
		w.end()
		rec.close()
		os.Exit(couldNot)
	}()
	rec.logf("disruption: %v", w.trouble)
	if w.store, err = newStore(); err == nil {
		w.closers = append(w.closers, w.store.close)
		var isBroken bool
		if isBroken, err = play(w); err == nil && isBroken {
			rec.logf("the rule was broken")
			fmt.Println("the rule was broken")
			return broken
		}
	}
	if err != nil {
		rec.logf("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return couldNot
	}
	rec.logf("the rule held")
	fmt.Println("the rule held")
	return held
}

// end ends all processes that the case started.
func (w *world) end() {
	w.ending.Lock() // for good
	close(w.stopBeats)
	for _, r := range w.routers {
		r.kill()
	}
	for _, c := range w.closers {
		c()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs:", w.temp)
		return
	}
	_ = os.RemoveAll(w.temp)
}

// startRouters starts n routers.
func (w *world) startRouters(n int) error {
	seed := ""
	for i := range n {
		r, err := newRouter(w, fmt.Sprintf("front-colombo-a-%d", i+1), seed)
		if err != nil {
			return err
		}
		if seed == "" {
			seed = r.peer
		}
		w.routers = append(w.routers, r)
	}
	for _, r := range w.routers {
		if err := r.start(w); err != nil {
			return err
		}
	}
	return nil
}

// entry is a runner's record in the store.
type entry struct {
	Service    string
	Address    string
	Zone       string
	Version    string
	Slots      int
	State      string
	ColdLeftMs int
	Seq        int
	Born       int64 `json:"born,omitempty"`
}

// beatInterval is the time between two heartbeats of a runner.
const beatInterval = 1200 * time.Millisecond

// list keeps a runner's record in the store until the world ends. beats returns nil while the runner does not write.
func (w *world) list(id string, beat func() *entry) {
	write := func(seq int) {
		if e := beat(); e != nil {
			e.Seq = seq
			w.store.put("keyed.servers", id, e)
		}
	}
	write(1)
	go func() {
		for seq := 2; ; seq++ {
			select {
			case <-w.stopBeats:
				return
			case <-time.After(beatInterval):
				write(seq)
			}
		}
	}()
}
