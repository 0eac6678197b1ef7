package soak

import (
	"bytes"
	"context"
	"fmt"
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

// Readers that stop for good.
const (
	readers      = 400
	readersBegin = 4 * time.Second  // over which they come, most at once
	readersStay  = 10 * time.Second // after the last came
	hostMemory   = 112 << 20        // of the smallest host, in bytes
	largeQuery   = "?large"
)

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
		conn := w.stopReading(w.hosts[0], i)
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
func (w *world) stopReading(h *host, number int) net.Conn {
	conn, err := (&net.Dialer{Control: smallBuffers}).Dial("tcp", h.listen)
	if err != nil {
		w.t.Fatal(err)
	}
	names := platform.Headers
	_, err = fmt.Fprintf(conn, "GET %s%s HTTP/1.1\r\nHost: %s\r\n%s: stops-%d\r\n%s: %d\r\n%s: %s\r\n\r\n",
		safePath, largeQuery, callersHost, names.RequestID, number, names.Deadline, requestLimit.Milliseconds(), names.Key, keyOf(largeTenant))
	if err != nil {
		w.t.Error(err)
	}
	return conn
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
