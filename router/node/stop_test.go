package node

import (
	"encoding/json"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

// A graceful shutdown finishes accepted requests, streams included, and returns tokens and the host's
// announcement.
func TestGracefulShutdownLosesNothing(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, engineRoute+","+plainRoute, `,"organisations":[{"name":"o","keys":["k"],"prepaid":100000}]`))
	f.engine("e1", backend.Behaviour{Events: 10, Gap: 50 * time.Millisecond})
	f.backend("t1", backend.Behaviour{Body: "one", Delay: 200 * time.Millisecond})
	h := f.start(f.settings("h1"))
	f.ready(h)
	replies := make(chan reply, 20)
	for range 10 {
		go func() { replies <- f.call(h, "/e/x", "k") }()
		go func() { replies <- f.call(h, "/r/x", "k") }()
	}
	f.eventually("all are in flight", func() bool { return h.handler.InFlight() == 20 })
	h.Stop()
	f.is.True(!h.Ready())
	f.is.Equal(f.call(h, "/r/x", "k").status, 200) // what still arrives is served
	for range 20 {
		got := <-replies
		f.is.NoErr(got.err)
		f.is.Equal(got.status, 200)
	}
	select {
	case <-h.done:
	case <-time.After(3 * time.Second):
		t.Fatal("did not stop within its grace time")
	}
	if _, listed := f.log.Get(eventlog.Partition{Topic: topicHosts}, "h1"); listed {
		t.Fatal("still announced")
	}
	granted := int64(0)
	for i := range 2 {
		if rec, ok := f.log.Get(eventlog.Partition{Topic: topicBudgets, Number: i}, "o"); ok {
			var account struct{ Granted int64 }
			f.is.NoErr(json.Unmarshal(rec.Value, &account))
			granted = account.Granted
		}
	}
	f.is.Equal(granted, int64(10*(60+10))) // what the streams used
}

// Guards against a server for callers that ends a broken response without framing with an orderly close.
func TestBrokenResponseWithoutFramingIsReset(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, engineRoute, ""))
	f.engine("e1", backend.Behaviour{Events: 10, BreakAfter: 3, Reset: true, NoLength: true})
	h := f.start(f.settings("h1"))
	f.ready(h)
	f.is.True(errors.Is(f.call(h, "/e/x", "").err, syscall.ECONNRESET))
}

// A host that stops while the log is unreachable transfers its tokens to another host.
func TestGracefulShutdownWithoutTheLogTransfersTokens(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, engineRoute, `,"organisations":[{"name":"o","keys":["k"],"prepaid":100000}]`))
	a, b := f.start(f.settings("a")), f.start(f.settings("b"))
	f.ready(a)
	f.ready(b)
	free := func(h *host) int64 {
		held, _ := h.allocator.Holding("o")
		return held.Free
	}
	f.eventually("both have an allocation and know each other", func() bool {
		return free(a) > 0 && free(b) > 0 && a.fleet.Size() == 2 && b.fleet.Size() == 2
	})
	f.log.SetFault("", memlog.Fault{Silent: true})
	f.eventually("the outage is noticed", func() bool { up, _ := a.configReplica.Up(); return !up })
	sum := free(a) + free(b)
	a.Stop()
	<-a.done
	f.is.Equal(free(b), sum)
	f.is.Equal(free(a), int64(0))
}

// A stopping host refuses requests that it could not finish, and reports them as not run.
func TestStopRefusesLateRequests(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Delay: 100 * time.Millisecond})
	h := f.start(f.settings("h1"))
	f.ready(h)
	past := time.Now().Add(-h.scaleToGrace(responseTime))
	h.stopStarted.Store(&past)
	f.is.Equal(f.call(h, "/r/x", "").status, 503)
	f.is.True(!h.Accepts(true) && !h.Accepts(false))
	afterStreams := time.Now().Add(-h.scaleToGrace(streamTime))
	h.stopStarted.Store(&afterStreams)
	f.is.True(!h.Accepts(true) && h.Accepts(false))
}

// Guards against a stream that ends with its caller's connection and is taken for whole, as the grace time of its host ended.
func TestEndOfTheGraceTimeEndsNoStreamAsWhole(t *testing.T) {
	f := newFleet(t)
	f.publish(config(1, engineRoute, ""))
	f.engine("e1", backend.Behaviour{Events: 1000, Gap: 50 * time.Millisecond})
	h := f.start(f.settings("h1"))
	f.ready(h)
	conn, err := net.Dial("tcp", h.cfg.Host.Listen)
	f.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /e/x HTTP/1.0\r\nHost: a.example\r\nX-Id: r1\r\nX-Tokens: 60,40\r\nContent-Length: 0\r\n\r\n")
	f.is.NoErr(err)
	f.eventually("the stream is under way", func() bool { return h.handler.InFlight() == 1 })
	h.Stop()
	f.is.NoErr(conn.SetReadDeadline(time.Now().Add(6 * time.Second)))
	data, err := io.ReadAll(conn)
	f.is.True(strings.Contains(string(data), "id: 3\n"))
	f.is.True(errors.Is(err, syscall.ECONNRESET))
}
