package permit

import (
	"fmt"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/standin/endless"
	"maststage.dev/standin/until"
)

// maxEndlessMemory bounds what a host allocates for a session that sends bytes without end.
const maxEndlessMemory = 16 << 20

// allocatedBy returns the bytes that the process allocates while run runs.
func allocatedBy(run func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a scheduler whose head or answer has no end and uses up the memory of the hosts that ask it.
func TestEndlessAnswerOfASchedulerIsBounded(t *testing.T) {
	const switched = "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n"
	for name, answer := range map[string]endless.Answer{
		"answer":  {Start: switched + "\r\n{\"unknown\":\"", Repeat: "x"},
		"spaces":  {Start: switched + "\r\n", Repeat: " "},
		"headers": {Start: switched, Repeat: "X-More: more\r\n"},
		"header":  {Start: switched + "X-Long: ", Repeat: "long"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			scheduler, err := endless.Start("X-Id", answer)
			is.NoErr(err)
			defer scheduler.Close()
			hosts := []Host{{Name: "a", Address: scheduler.Address(), Key: key}}
			c := NewClient(Options{Self: "h", Server: NewServer(key), Schedulers: func(string) ([]Host, int) { return hosts, -1 }})
			allocated := allocatedBy(func() {
				_, err = c.Ask(t.Context(), oneSlot)
				until.True(t, "the session is closed", func() bool { return scheduler.Answering() == 0 })
			})
			is.True(err != nil)
			is.Equal(scheduler.Arrivals() > 0, true) // else the test shows nothing
			if allocated > maxEndlessMemory {
				t.Errorf("%d bytes were allocated, and %d is the bound", allocated, maxEndlessMemory)
			}
		})
	}
}

// Guards against a host whose message has no end and uses up the memory of a scheduler.
func TestEndlessMessageToASchedulerIsBounded(t *testing.T) {
	s := newSchedulers(t, 1)
	c, err := net.Dial("tcp", s.hosts[0].Address)
	s.is.NoErr(err)
	defer c.Close()
	s.is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: a\r\nConnection: Upgrade\r\nUpgrade: %s\r\n%s: %s\r\n%s: h\r\n\r\n{\"op\":\"", Path, protocol, headerKey, key, headerHost)
	s.is.NoErr(err)
	const most = 128 << 20 // bytes; a scheduler without a bound would read them all
	block := []byte(strings.Repeat("x", 64<<10))
	allocated := allocatedBy(func() {
		for sent := 0; sent < most && err == nil; sent += len(block) {
			_, err = c.Write(block)
		}
	})
	s.is.True(err != nil) // the scheduler closed the session
	if allocated > maxEndlessMemory {
		t.Errorf("%d bytes were allocated, and %d is the bound", allocated, maxEndlessMemory)
	}
}
