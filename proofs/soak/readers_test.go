package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"maststage.dev/platform"
)

// Figures of readers that stop.
const (
	readersKind   = "readers stop"
	readersOf     = 3 // seeds, one has them
	mostStops     = 3
	leastReaders  = 10
	moreReaders   = 50
	leastStopped  = 2 * time.Second
	stoppedLonger = 6 * time.Second

	readers      = 400
	readersBegin = 4 * time.Second  // over which they come, most at once
	readersStay  = 10 * time.Second // after the last came
	hostMemory   = 112 << 20        // of the smallest host, in bytes
	largeQuery   = "?large"
)

// stops draws the readers of a seed that stop, apart from its other events. They are no fault:
// nobody else's promise depends on them.
func stops(seed uint64) []event {
	random := rand.New(rand.NewPCG(seed, 7))
	if random.IntN(readersOf) != 0 {
		return nil
	}
	return draw(random, readersKind, mostStops, leastStopped, stoppedLonger)
}

// readersStop lets callers of a host ask for large answers and read none, until they go.
func readersStop(w *world, e event) {
	h := w.hosts[e.pick%len(w.hosts)]
	for range leastReaders + int(e.part*moreReaders) {
		if conn, err := w.stopReading(h); err == nil { // else the host is down
			defer conn.Close()
		}
	}
	time.Sleep(e.length)
}

// largeBody is the answer to requests of those readers, in bytes: more than connections buffer.
var largeBody = strings.Repeat("x", 200<<10)

func isLarge(uri string) bool { return strings.HasSuffix(uri, largeQuery) }

// Hundreds of callers that ask for large answers and never read them do not use up a host's
// memory, and callers beside them are served as ever.
func TestReadersThatStopForGood(t *testing.T) {
	const seed = 1
	w := newWorld(t, 2, seed)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { w.traffic(ctx, seed) })
	var peak int64
	all.Go(func() { peak = w.hosts[0].peakMemory(ctx) })
	for i := range readers {
		conn, err := w.stopReading(w.hosts[0])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = conn.Close() })
		if i > readers/2 {
			time.Sleep(readersBegin / (readers / 2))
		}
	}
	time.Sleep(readersStay)
	stop()
	all.Wait()
	t.Logf("memory at most %d MB", peak>>20)
	if peak == 0 || peak > hostMemory {
		t.Errorf("the host had %d bytes in memory, %d are its own", peak, hostMemory)
	}
	w.check()
	w.report(seed, nil)
}

// stopReading sends a request for a large answer on a connection of its own.
func (w *world) stopReading(h *host) (net.Conn, error) {
	conn, err := (&net.Dialer{Control: smallBuffers}).Dial("tcp", h.listen)
	if err != nil {
		return nil, err
	}
	names := platform.Headers
	_, err = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n%s: %d\r\n%s: %s\r\n\r\n",
		safePath, largeQuery, callersHost, names.RequestID, w.network, lastRequest.Add(1), names.Deadline, requestLimit.Milliseconds(), names.Key, keyOf(largeTenant))
	return conn, err
}

// smallBuffers lets a connection over the loopback buffer as little as one over a network: its
// segments are of 64 KB else, and a host's kernel takes a megabyte that nobody reads.
func smallBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// peakMemory follows the memory of a host's process until ctx ends, in bytes.
func (h *host) peakMemory(ctx context.Context) (peak int64) {
	for ctx.Err() == nil {
		peak = max(peak, residentBytes(h.process.Process.Pid))
		time.Sleep(50 * time.Millisecond)
	}
	return peak
}

// residentBytes is what of a process lies in memory, 0 if that can't be told.
func residentBytes(pid int) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(status) {
		if rest, found := bytes.CutPrefix(line, []byte("VmRSS:")); found {
			kb, _ := strconv.ParseInt(strings.Fields(string(rest))[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
