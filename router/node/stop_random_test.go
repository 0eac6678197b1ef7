package node

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"maststage.dev/standin/backend"
)

// Guards against requests at a host that stops which a target runs and which end with a closed connection: on kept connections, at
// random moments until the host is gone, of random work and deadlines.
func TestNoRequestAroundAStopIsCut(t *testing.T) {
	for _, kind := range []string{"unsafe", "safe"} {
		t.Run(kind, func(t *testing.T) {
			f := newFleet(t)
			f.publish(config(1, strings.Replace(plainRoute, `"kind":"safe"`, fmt.Sprintf(`"kind":%q`, kind), 1), ""))
			behave := func(run backend.Run) backend.Behaviour {
				work, _ := strconv.Atoi(run.Header.Get("X-Work"))
				return backend.Behaviour{Body: "done", Delay: time.Duration(work) * time.Millisecond}
			}
			targets := []*backend.Backend{f.backend("t1", backend.Behaviour{}), f.backend("t2", backend.Behaviour{})}
			for _, b := range targets {
				b.SetBehaviour(behave)
			}
			h := f.start(f.settings("h1"))
			f.ready(h)
			f.waitStatus(h, "/r/x", http.StatusOK)
			random := rand.New(rand.NewPCG(1, 2))
			const clients = 120
			grace := h.graceTime()
			ends := make(chan stopEnd, clients)
			var connected, sent sync.WaitGroup
			stopped := make(chan struct{})
			for i := range clients {
				c := &stopClient{
					t: t, id: fmt.Sprint("s", i), at: time.Duration(random.Int64N(int64(grace))),
					work: 50 + random.IntN(1500), deadline: 300 + random.IntN(2700),
				}
				connected.Add(1)
				sent.Go(func() { ends <- c.play(h.cfg.Host.Listen, &connected, stopped) })
			}
			connected.Wait()
			h.Stop()
			close(stopped)
			sent.Wait()
			close(ends)
			runs := map[string]int{}
			for _, b := range targets {
				for _, run := range b.Runs() {
					runs[run.ID]++
				}
			}
			counts := map[string]int{}
			for end := range ends {
				counts[end.what]++
				if end.what == "closed" && runs[end.id] > 0 || kind == "unsafe" && runs[end.id] > 1 || end.what == "503" && runs[end.id] > 0 {
					t.Errorf("%s: %s, runs: %d", end.id, end.what, runs[end.id])
				}
			}
			t.Logf("%v", counts)
			<-h.done
		})
	}
}

// stopEnd is how the request of a client ended: the status of its response, "closed" or "not sent".
type stopEnd struct{ id, what string }

// stopClient keeps a connection to a host that is stopped, and sends a request on it.
type stopClient struct {
	t              *testing.T
	id             string
	at             time.Duration // since the stop began
	work, deadline int           // of the request, in milliseconds
}

func (c *stopClient) play(address string, connected *sync.WaitGroup, stopped <-chan struct{}) stopEnd {
	conn, err := net.Dial("tcp", address)
	if err == nil {
		defer conn.Close()
		err = conn.SetDeadline(time.Now().Add(10 * time.Second))
	}
	var reader *bufio.Reader
	if err == nil {
		reader = bufio.NewReader(conn)
		_, err = c.exchange(conn, reader, c.id+"-first", 0, 2000)
	}
	connected.Done()
	if err != nil {
		c.t.Errorf("%s before the stop: %v", c.id, err)
		return stopEnd{c.id, "not sent"}
	}
	<-stopped
	time.Sleep(c.at)
	status, err := c.exchange(conn, reader, c.id, c.work, c.deadline)
	if err != nil {
		return stopEnd{c.id, "closed"}
	}
	return stopEnd{c.id, strconv.Itoa(status)}
}

func (c *stopClient) exchange(conn net.Conn, reader *bufio.Reader, id string, work, deadline int) (status int, err error) {
	if _, err := fmt.Fprintf(conn, "POST /r/x HTTP/1.1\r\nHost: a.example\r\nX-Id: %s\r\nX-Work: %d\r\nX-Deadline: %d\r\nContent-Length: 0\r\n\r\n", id, work, deadline); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}
