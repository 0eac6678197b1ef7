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

// Figures of callers that don't read their responses.
const (
	readersKind     = "readers stop"
	readersEvery    = 3 // one seed in this many has them
	maxReaderStalls = 3
	minReaders      = 10
	readersSpread   = 50
	minStalled      = 2 * time.Second
	stalledSpread   = 6 * time.Second

	readers      = 400
	readersBegin = 4 * time.Second  // within which they connect, half of them at once
	readersStay  = 10 * time.Second // after the last has connected
	hostMemory   = 112 << 20        // memory of the smallest host, in bytes
	largeQuery   = "?large"
)

// readerStalls draws the events of a seed in which callers stop reading, from a random source of its
// own. They are not faults: no guarantee to other callers depends on them.
func readerStalls(seed uint64) []event {
	random := rand.New(rand.NewPCG(seed, 7))
	if random.IntN(readersEvery) != 0 {
		return nil
	}
	return draw(random, readersKind, maxReaderStalls, minStalled, stalledSpread)
}

// stallReaders connects callers to a host that request large responses and read nothing until they
// disconnect.
func stallReaders(w *world, e event) {
	h := w.hosts[e.pick%len(w.hosts)]
	for range minReaders + int(e.part*readersSpread) {
		if conn, err := w.requestUnread(h); err == nil { // otherwise the host is down
			defer conn.Close()
		}
	}
	time.Sleep(e.length)
}

// largeBody is the response to these callers. It is larger than the buffers of a connection.
var largeBody = strings.Repeat("x", 200<<10)

func isLarge(uri string) bool { return strings.HasSuffix(uri, largeQuery) }

// Guards against a host running out of memory when hundreds of callers request large responses and
// never read them. Other callers are served as usual meanwhile.
func TestStalledReadersDoNotExhaustMemory(t *testing.T) {
	const seed = 1
	w := newWorld(t, 2, seed)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var all sync.WaitGroup
	all.Go(func() { w.traffic(ctx, seed) })
	var peak int64
	all.Go(func() { peak = w.hosts[0].peakMemory(ctx) })
	for i := range readers {
		conn, err := w.requestUnread(w.hosts[0])
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
	t.Logf("peak memory %d MB", peak>>20)
	if peak == 0 || peak > hostMemory {
		t.Errorf("the host used %d bytes of memory, it may use %d", peak, hostMemory)
	}
	w.check()
	w.report(seed, nil)
}

// requestUnread sends a request for a large response on a new connection, which it returns unread.
func (w *world) requestUnread(h *host) (net.Conn, error) {
	conn, err := (&net.Dialer{Control: smallBuffers}).Dial("tcp", h.listen)
	if err != nil {
		return nil, err
	}
	names := platform.Headers
	_, err = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: %s-%d\r\n%s: %d\r\n%s: %s\r\n\r\n",
		safePath, largeQuery, callersHost, names.RequestID, w.network, lastRequest.Add(1), names.Deadline, requestLimit.Milliseconds(), names.Key, keyOf(largeTenant))
	return conn, err
}

// smallBuffers makes a loopback connection buffer as little as one over a network. Its segments would
// otherwise be 64 KB, and the host's kernel would buffer a megabyte that is never read.
func smallBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10)
	})
}

// peakMemory samples the resident memory of a host's process until ctx ends and returns the peak in
// bytes.
func (h *host) peakMemory(ctx context.Context) (peak int64) {
	for ctx.Err() == nil {
		peak = max(peak, residentBytes(h.process.Process.Pid))
		time.Sleep(50 * time.Millisecond)
	}
	return peak
}

// residentBytes returns the resident memory of a process, or 0 if it can't be read.
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
