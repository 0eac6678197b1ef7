// Case1 kills one runner after the other while they stream answers that carry no length.
package main

import (
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"maststage.dev/review/world"
)

const (
	lead      = 10 * time.Second // from the start of the machines to the first request, as on the sheet
	runners   = 4                // a crash of one is a quarter of them
	perRouter = 32
	events    = 60
	gapMs     = 150
	deadline  = 15 * time.Second
	crashes   = 3
	downFor   = 2 * time.Second
	// between is the time from a runner's start to the next crash.
	between = 600 * time.Millisecond
)

func main() {
	w := world.New(os.Args[1])
	w.Run(func() int { return play(w) })
}

func play(w *world.World) int {
	w.StartStore(world.Config())
	addresses := make([]string, runners)
	processes := make([]*world.Process, runners)
	for i := range runners {
		addresses[i] = world.FreeAddress()
		processes[i] = w.StartRunner(fmt.Sprintf("i-a%d", i), "llm", "colombo-a", addresses[i], "-unframed")
	}
	routers := w.StartRouters("colombo-a", "colombo-b", "negombo")
	time.Sleep(lead)

	answers := make(chan world.Answer, perRouter*len(routers))
	var clients sync.WaitGroup
	for i := range perRouter * len(routers) {
		router := routers[i%len(routers)]
		clients.Go(func() {
			time.Sleep(time.Duration(i) * 10 * time.Millisecond)
			answers <- w.StreamWithRetries(router.Front, i, events, gapMs, deadline)
		})
	}
	if w.Trouble {
		time.Sleep(2 * time.Second)
		for i := range crashes {
			w.Note("runner i-a%d crashes", i)
			processes[i].Signal(syscall.SIGKILL)
			<-processes[i].Ended()
			time.Sleep(downFor)
			w.StartRunner(fmt.Sprintf("i-b%d", i), "llm", "colombo-a", addresses[i], "-unframed")
			time.Sleep(between)
		}
	}
	clients.Wait()
	close(answers)

	whole, short, other := 0, 0, 0
	for a := range answers {
		switch {
		case a.Status == 200 && a.Whole && (a.LastID < events || a.Gap):
			short++
			w.Note("ORDER: %s, stamp %s, ended as complete after event %d of %d (gap %t)", a.ID, a.Stamp, a.LastID, events, a.Gap)
		case a.Status == 200 && a.Whole:
			whole++
		default:
			other++
		}
	}
	w.Note("%d streams whole, %d ended as complete before their last event, %d failed or cut off visibly", whole, short, other)
	switch {
	case short > 0:
		return world.Broken
	case whole == 0 || !w.Trouble && other > 0:
		return world.Failed
	}
	return world.Held
}
