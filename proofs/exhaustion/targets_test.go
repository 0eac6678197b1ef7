package exhaustion

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"maststage.dev/platform"
	"maststage.dev/platform/platformtest"
)

// Figures of targets that send without end, and of the callers whose requests they get.
const (
	faultyService  = "faulty"
	faultyTargets  = 200
	faultyCallers  = 300
	faultyPatience = 2500 * time.Millisecond // of a caller, and the route's timeout
)

// faultyRoute is the route to the faulty service for a kind of requests.
func faultyRoute(kind string) platformtest.Route {
	return platformtest.Route{
		Name: kind, Host: routeHost, PathPrefix: "/" + kind + "/", Kind: kind, Service: faultyService,
		TimeoutMs: float64(faultyPatience.Milliseconds()), TargetLatencyMs: 1000, MaxAttempts: 2, Public: true,
	}
}

// endlessForm is a response that doesn't end: what is sent first, after the head of a response if it has one, and what is repeated
// behind it.
type endlessForm struct{ name, head, first, repeated string }

const (
	chunked = "Transfer-Encoding: chunked"
	events  = "Content-Type: text/event-stream\r\n" + chunked
)

var endlessForms = []endlessForm{
	{"bytes", "", "", "x"},
	{"empty lines", "", "", "\r\n"},
	{"status line", "", "HTTP/1.1 200 ", "x"},
	{"head line", "", "HTTP/1.1 200 OK\r\nX: ", "x"},
	{"head lines", "", "HTTP/1.1 200 OK\r\n", "X: 1\r\n"},
	{"interim responses", "", "", "HTTP/1.1 100 Continue\r\n\r\n"},
	{"chunk size", chunked, "", "0"},
	{"chunk extension", chunked, "1;", "x"},
	{"chunks", chunked, "", "10\r\nxxxxxxxxxxxxxxxx\r\n"},
	{"trailers", chunked, "0\r\n", "X: 1\r\n"},
	{"body without a length", "Connection: close", "", "x"},
	{"body of a length", "Content-Length: 1099511627776", "", "x"},
	{"one event", events, "100000000\r\nid: 1\ndata: ", "x"},
	{"comments", events, "", "8\r\n: xxxxx\n\r\n"},
	{"events", events, "", "10\r\ndata: xxxxxxxx\n\n\r\n"},
	{"bytes behind the response", "Content-Length: 2", "ok", "x"},
}

// Guards against targets that send bytes without end, in whatever place of a response, and make their hosts hold all of them.
func TestHostOutlivesTargetsThatSendWithoutEnd(t *testing.T) {
	for _, kind := range []string{"safe", "streaming"} {
		for _, form := range endlessForms {
			t.Run(kind+"/"+strings.ReplaceAll(form.name, " ", "_"), func(t *testing.T) {
				m := startMachineWith(t, startEndlessTargets(t, form))
				callers := startFaultyCallers(kind)
				m.eventuallyServes()
				callers.Wait()
				m.checkHeld()
				m.eventuallyServes()
			})
		}
	}
}

// startEndlessTargets starts targets until the end of the test and returns their addresses.
func startEndlessTargets(t *testing.T, form endlessForm) (addresses []string) {
	for range faultyTargets {
		l, err := net.Listen("tcp", "127.19.0.3:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		addresses = append(addresses, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				go form.serve(c)
			}
		}()
	}
	return addresses
}

// serve reads a request, whose body is empty, and sends the response until the connection is closed.
func (f endlessForm) serve(c net.Conn) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	names := platform.Headers
	text := f.first
	if f.head != "" {
		text = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n%s\r\n\r\n%s", names.RequestID, request.Header.Get(names.RequestID), names.Stamp, f.head, f.first)
	}
	block := strings.Repeat(f.repeated, (16<<10)/len(f.repeated))
	for err == nil {
		_, err = io.WriteString(c, text)
		text = block
	}
}

// startFaultyCallers has callers send requests of a kind to the faulty service, one after the other until its time is over. Half of the
// callers read nothing.
func startFaultyCallers(kind string) *sync.WaitGroup {
	var callers sync.WaitGroup
	end := time.Now().Add(faultyPatience)
	for i := range faultyCallers {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				c, err := net.DialTimeout("tcp", callersAddress, dialTimeout)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				_ = c.SetDeadline(end)
				_, err = fmt.Fprintf(c, "GET /%s/x HTTP/1.1\r\nHost: %s\r\n%s: c%d-%d\r\n\r\n", kind, routeHost, platform.Headers.RequestID, i, n)
				switch {
				case err == nil && i%2 == 0:
					_, _ = io.Copy(io.Discard, c)
				case err == nil:
					time.Sleep(time.Until(end))
				}
				_ = c.Close()
			}
		})
	}
	return &callers
}
