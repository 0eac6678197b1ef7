// Case2 has another writer overwrite the entries of a service's runners with a service that nobody knows, while requests
// to these runners wait for their answers.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"maststage.dev/review/world"
)

const (
	runners   = 3
	slots     = 6
	perRouter = 8
	work      = 400 * time.Millisecond
	deadline  = 4 * time.Second
	lead      = 10 * time.Second // from the start of the machines to the first request, as on the sheet
	playFor   = 12 * time.Second
	strays    = 3 // moments at which the other writer writes
	between   = 3 * time.Second
	allowed   = 3 // requests that a machine may lose on kept connections
)

// loss is a request that ended without an answer.
type loss struct {
	router, id string
}

func main() {
	w := world.New(os.Args[1])
	w.Run(func() int { return play(w) })
}

func play(w *world.World) int {
	w.StartStore(world.Config())
	var addresses []string
	for i := range runners {
		addresses = append(addresses, world.FreeAddress())
		w.StartRunner(id(i), "orders", "colombo-a", addresses[i], "-slots", fmt.Sprint(slots))
	}
	routers := w.StartRouters("colombo-a", "colombo-b")
	time.Sleep(lead)

	var mu sync.Mutex
	var lost []loss
	answered := 0
	var clients sync.WaitGroup
	end := time.Now().Add(playFor)
	for i := range perRouter * len(routers) {
		router := routers[i%len(routers)]
		clients.Go(func() {
			c := w.NewClient(router.Front, fmt.Sprintf("9c41d07be2%02x", i))
			defer c.Close()
			time.Sleep(time.Duration(i) * work / 16)
			for time.Now().Before(end) {
				a, kept := c.Post(work, deadline)
				mu.Lock()
				switch {
				case a.Status == 200 && a.Whole:
					answered++
				case a.Status == 0 && kept:
					lost = append(lost, loss{router.Name, a.ID})
				}
				mu.Unlock()
				if a.Status != 200 {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	if w.Trouble {
		for range strays {
			time.Sleep(between)
			w.Note("another writer overwrites the entries of the runners")
			for i := range runners {
				w.Write("keyed.servers", id(i), map[string]any{
					"Service": "gone-service", "Address": addresses[i], "Zone": "colombo-a", "Version": "v1", "Slots": slots, "State": "ready", "ColdLeftMs": 0, "Seq": 1,
				})
			}
		}
	}
	clients.Wait()

	counts := map[string]int{}
	for _, l := range lost {
		if w.Answered(l.id) {
			counts[l.router]++
			w.Note("LOST: %s closed the kept connection of %s without an answer, and a runner answered it", l.router, l.id)
		}
	}
	w.Note("%d requests answered, lost by router: %v", answered, counts)
	for _, r := range routers {
		for _, line := range w.Log(r.Process, "panic") {
			w.Note("%s wrote: %s", r.Name, line)
			break
		}
		if counts[r.Name] > allowed {
			return world.Broken
		}
	}
	if answered == 0 || !w.Trouble && len(lost) > 0 {
		return world.Failed
	}
	return world.Held
}

func id(i int) string { return fmt.Sprintf("i-7f3a91c%d", i) }
