// Case3 kills runners in turn while equal requests of a route wait for their answers, which carry no length, and then
// asks whether the route is still served.
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
	runners   = 4 // a crash of one is a quarter of them
	slots     = 6
	perRouter = 8
	uri       = "/nova771/ping?work_ms=150&bytes=200" // one kind of request: a session is kept alive
	work      = 150 * time.Millisecond
	deadline  = 4 * time.Second
	lead      = 10 * time.Second // from the start of the machines to the first request, as on the sheet
	before    = 5 * time.Second  // of traffic, before the first crash
	crashes   = 5
	downFor   = 2 * time.Second
	between   = time.Second
	settle    = 10 * time.Second // from the last runner's return to the count: more than ContactMs and three heartbeats
	countFor  = 10 * time.Second
	// rest is a client's pause between two requests.
	rest             = 20 * time.Millisecond
	restAfterFailure = 200 * time.Millisecond
)

// tally counts the requests of one kind and those that were served.
type tally struct{ asked, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

func main() {
	w := world.New(os.Args[1])
	w.Run(func() int { return play(w) })
}

func play(w *world.World) int {
	w.StartStore(world.Config())
	addresses := make([]string, runners)
	processes := make([]*world.Process, runners)
	start := func(i, life int) {
		processes[i] = w.StartRunner(fmt.Sprintf("i-%d-%d", i, life), "orders", "colombo-a", addresses[i], "-slots", fmt.Sprint(slots), "-unframed")
	}
	for i := range runners {
		addresses[i] = world.FreeAddress()
		start(i, 1)
	}
	routers := w.StartRouters("colombo-a", "colombo-b", "negombo")
	time.Sleep(lead)
	w.Note("the configuration adds a route")
	w.Write("keyed.op", "config", world.ConfigWithNewRoute())
	time.Sleep(3 * time.Second)

	var mu sync.Mutex
	added, first := map[string]*tally{}, map[string]*tally{}
	phase := "before"
	count := func(of map[string]*tally, a world.Answer) {
		mu.Lock()
		defer mu.Unlock()
		if of[phase] == nil {
			of[phase] = &tally{}
		}
		of[phase].asked++
		if a.Status == 200 && a.Whole {
			of[phase].served++
		}
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range perRouter * len(routers) {
		router := routers[i%len(routers)]
		clients.Go(func() {
			c := w.NewClient(router.Front, fmt.Sprintf("9c41d07be2%02x", i))
			defer c.Close()
			for pause := rest; ; {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				var a world.Answer
				if i%2 == 0 {
					a, _ = c.Post(work, deadline)
					count(first, a)
				} else {
					a = c.Get(uri, deadline)
					count(added, a)
				}
				pause = rest
				if a.Status != 200 {
					pause = restAfterFailure
				}
			}
		})
	}
	time.Sleep(before)
	setPhase := func(name string) {
		mu.Lock()
		phase = name
		mu.Unlock()
	}
	setPhase("crashes")
	for i := range crashes {
		if w.Trouble {
			number := i % runners
			w.Note("a runner crashes: %s", processes[number].Name)
			processes[number].Signal(syscall.SIGKILL)
			<-processes[number].Ended()
			time.Sleep(downFor)
			start(number, 2+i/runners)
		}
		time.Sleep(between)
	}
	setPhase("settling")
	time.Sleep(settle)
	setPhase("steady")
	time.Sleep(countFor)
	setPhase("end")
	close(stop)
	clients.Wait()

	for _, name := range []string{"before", "crashes", "settling", "steady"} {
		a, f := added[name], first[name]
		if a == nil || f == nil {
			return world.Failed
		}
		w.Note("%s: added route %d of %d served, first route %d of %d", name, a.served, a.asked, f.served, f.asked)
	}
	for _, r := range routers {
		for _, line := range w.Log(r.Process, "request quarantined") {
			w.Note("%s wrote: %s", r.Name, line)
		}
	}
	a, f := added["steady"], first["steady"]
	if f.share() < 0.5 || a.asked < 20 || added["before"].share() < 0.5 {
		return world.Failed
	}
	if a.share() < f.share()/4 {
		w.Note("CONFIG: in steady state the added route is served in %.2f of its requests, the first route in %.2f", a.share(), f.share())
		return world.Broken
	}
	return world.Held
}
