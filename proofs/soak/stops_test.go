package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"maststage.dev/platform"
	"maststage.dev/standin/backend"
)

// Figures of the test of responses that stop at a byte.
const (
	stopHosts      = 12
	stopCut        = 6 // hosts that reach the targets through the others only
	stopTargets    = 12
	stopRetries    = 2.0                    // per request: nearly every first response fails
	stopCallers    = 80                     // of the hosts that reach the targets
	stopCutCallers = 18                     // of the others
	stopTries      = 60                     // of a request that reached no target; a host that carried a broken response is avoided for a second
	stopPause      = 3 * time.Millisecond   // before a reset, which drops what was not read
	stopSilence    = 800 * time.Millisecond // least silence of a target that goes on
	stopSpread     = 500 * time.Millisecond
	stopIDMargin   = 6 // digits by which a later request's id is longer, at most
	stopReached    = 0.9
	stopWait       = 30 * time.Second // for the end of a response, also on a busy machine
	// stopWhole is the least share of the repeatable requests, of callers that wait for the response, that are answered whole, and
	// stopCutWhole the same at hosts that are cut off: few hosts are left to go on through.
	stopWhole    = 0.6
	stopCutWhole = 0.1
)

// caseHeader has the number of the case that a request belongs to.
const caseHeader = "X-Case"

// stopFraming is the framing of a response.
type stopFraming string

const (
	byLength stopFraming = "length"
	byChunks stopFraming = "chunks"
	unframed stopFraming = "no framing"
)

var stopFramings = []stopFraming{byLength, byChunks, unframed}

// stopEnding is what a target does after the bytes of a response that it sends.
type stopEnding string

const (
	stopCloses stopEnding = "closes"
	stopResets stopEnding = "resets"
	stopWaits  stopEnding = "is silent, then goes on"
)

// stopCase is a request whose first response stops at a byte. All others to the request are sound.
type stopCase struct {
	number  int
	path    string
	framing stopFraming
	later   stopFraming // of the other responses
	at      int         // bytes of the head that are sent, if inBody is false
	inBody  bool
	bound   float64 // place of a boundary among those of the body, 0 to 1
	offset  int     // bytes from it
	ending  stopEnding
	silence time.Duration
	kind    socketKind
	host    *host
	stopped atomic.Bool // a target has sent the response that stops
	got     *socketAnswer
}

// stopKinds are the callers of these requests.
var stopKinds = []socketKind{kindKeeps, kindKeeps, kindCloses, kindCloses, kindOld, kindOld, kindStopsEarly, kindStopsQuiet, kindOldStops}

// stopText returns the text of a response, and where in it the head and each piece of the body end.
func stopText(path string, framing stopFraming, id, stamp string, from int) (text string, ends []int) {
	names := platform.Headers
	var pieces []string
	if path == safePath || path == unsafePath {
		whole := socketWhole(id)
		for size := len(whole)/4 + 1; whole != ""; {
			n := min(size, len(whole))
			pieces, whole = append(pieces, whole[:n]), whole[n:]
		}
	} else {
		for n := from; n <= eventsOf(id); n++ {
			pieces = append(pieces, socketEvent(id, n, stamp))
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", names.RequestID, id, names.Stamp, stamp)
	switch framing {
	case byLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(strings.Join(pieces, "")))
	case byChunks:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	b.WriteString("\r\n")
	ends = []int{b.Len()}
	for _, p := range pieces {
		if framing == byChunks {
			p = fmt.Sprintf("%x\r\n%s\r\n", len(p), p)
		}
		b.WriteString(p)
		ends = append(ends, b.Len())
	}
	if framing == byChunks {
		b.WriteString("0\r\n\r\n")
		ends = append(ends, b.Len())
	}
	return b.String(), ends
}

// stopCaseOf returns the case that a request belongs to, nil if none.
func (w *world) stopCaseOf(run backend.Run) *stopCase {
	n, err := strconv.Atoi(run.Header.Get(caseHeader))
	if err != nil {
		return nil
	}
	return w.stopCases[n]
}

// respond returns a target's response to a request of the case.
func (c *stopCase) respond(stamp string, run backend.Run) *backend.Raw {
	from := 1
	if last, err := strconv.Atoi(run.Header.Get(platform.Headers.LastEventID)); err == nil {
		from = last + 1
	}
	if c.stopped.Swap(true) {
		text, _ := stopText(c.path, c.later, run.ID, stamp, from)
		return &backend.Raw{Text: text, Close: c.later == unframed}
	}
	text, ends := stopText(c.path, c.framing, run.ID, stamp, from)
	at := min(c.at, ends[0]-1)
	if c.inBody {
		at = ends[int(c.bound*float64(len(ends)-1))] + c.offset
		at = max(ends[0], min(at, len(text)-1))
	}
	switch c.ending {
	case stopCloses:
		return &backend.Raw{Text: text[:at], Close: true}
	case stopResets:
		return &backend.Raw{Text: text[:at], Pause: stopPause, Reset: true}
	}
	return &backend.Raw{Text: text[:at], Pause: c.silence, Rest: text[at:], Close: c.framing == unframed}
}

// addStopCases adds cases at some hosts for each byte of the head of a kind of response, and for bytes about the ends of the pieces
// of its body.
func (w *world) addStopCases(path string, framing stopFraming, hosts []*host, random *rand.Rand) {
	add := func(c *stopCase) {
		c.number, c.path, c.framing, c.host = len(w.stopCases), path, framing, hosts[random.IntN(len(hosts))]
		c.later = stopFramings[random.IntN(len(stopFramings))]
		c.ending = []stopEnding{stopCloses, stopResets, stopWaits}[random.IntN(3)]
		c.silence = stopSilence + time.Duration(random.Int64N(int64(stopSpread)))
		c.kind = stopKinds[random.IntN(len(stopKinds))]
		w.stopCases = append(w.stopCases, c)
	}
	_, ends := stopText(path, framing, w.network+"-1", engineService+"-10", 1)
	for at := range ends[0] + stopIDMargin {
		add(&stopCase{at: at})
	}
	for _, bound := range []float64{0, 0.3, 0.6, 0.99, 1} {
		for _, offset := range []int{-3, -2, -1, 0, 1, 2, 3, 9} {
			add(&stopCase{inBody: true, bound: bound, offset: offset})
		}
	}
}

// Guards against responses that callers of real hosts take for whole ones though their targets stopped at some byte of the
// head or the body, closed, reset or silent for a while, on the hosts' own connections and through other hosts.
func TestAnswersThatStopAtAByteDoNotEndAsWhole(t *testing.T) {
	t.Parallel()
	const seed = 1
	w := newWorldWith(t, stopHosts, seed, worldOptions{
		engines: stopTargets, plains: stopTargets, retries: stopRetries, resets: true, cutOff: stopCut,
	})
	w.addOnceRoute()
	random := rand.New(rand.NewPCG(seed, 70))
	direct, cut := w.hosts[:stopHosts-stopCut], w.hosts[stopHosts-stopCut:]
	for _, path := range []string{streamPath, oncePath, safePath, unsafePath} {
		for _, framing := range stopFramings {
			w.addStopCases(path, framing, direct, random)
		}
	}
	directCases := slices.Clone(w.stopCases)
	w.addStopCases(streamPath, byChunks, cut, random)
	w.addStopCases(unsafePath, byLength, cut, random)
	cutCases := slices.Clone(w.stopCases[len(directCases):])
	var all sync.WaitGroup
	for _, h := range w.hosts {
		all.Go(func() { w.waitServed(h) })
	}
	all.Wait()
	ask := func(callers int, cases []*stopCase) {
		random.Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
		for i := range callers {
			own := rand.New(rand.NewPCG(seed, random.Uint64()))
			all.Go(func() {
				for n := i; n < len(cases); n += callers {
					w.askStopCase(cases[n], own)
				}
			})
		}
	}
	ask(stopCallers, directCases)
	ask(stopCutCallers, cutCases)
	all.Wait()
	total := socketTally{}
	for _, n := range w.checkSockets() {
		total.add(*n)
	}
	t.Logf("all: %v", total)
	w.checkEnded()
	checkStopCases(t, "direct", directCases, stopWhole)
	checkStopCases(t, "through other hosts", cutCases, stopCutWhole)
	w.report(seed, nil)
}

// checkEnded: no response is open as its caller has waited long enough.
func (w *world) checkEnded() {
	w.watch.mu.Lock()
	answers := slices.Clone(w.watch.socketAnswers)
	w.watch.mu.Unlock()
	for _, a := range answers {
		if a.end == endOpen {
			w.watch.violation("end in time", "%s", a)
		}
	}
}

// waitServed waits until a host serves requests for all routes.
func (w *world) waitServed(h *host) {
	for _, path := range []string{streamPath, oncePath, safePath, unsafePath} {
		random := rand.New(rand.NewPCG(0, 0))
		for deadline := time.Now().Add(startTime); ; {
			if c := w.dialCaller(h, kindCloses, []string{path}, random); c != nil {
				a := c.ask()
				_ = c.conn.Close()
				if a.status == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				w.t.Errorf("%s does not serve %s", h.name, path)
				return
			}
			time.Sleep(refusedPause)
		}
	}
}

// askStopCase sends the request of a case until a target has begun to respond to it, and another request if the connection may be
// used again.
func (w *world) askStopCase(c *stopCase, random *rand.Rand) {
	for range stopTries {
		caller := w.dialCaller(c.host, c.kind, []string{c.path}, random)
		if caller == nil {
			continue
		}
		caller.wait = stopWait
		caller.lines = fmt.Sprintf("%s: %d\r\n", caseHeader, c.number)
		caller.unproved = c.inBody && c.framing == unframed && c.ending == stopCloses
		c.got = caller.ask()
		if caller.unproved = false; c.stopped.Load() && c.kind == kindKeeps && c.got.reusable() {
			caller.ask()
		}
		_ = caller.conn.Close()
		if c.stopped.Load() {
			return
		}
		time.Sleep(refusedPause)
	}
}

// checkStopCases checks that responses of nearly all cases stopped, and that most requests that another target may serve were
// served.
func checkStopCases(t *testing.T, group string, cases []*stopCase, leastWhole float64) {
	stopped, repeatable, whole := 0, 0, 0
	ends := map[string]int{}
	for _, c := range cases {
		if !c.stopped.Load() {
			continue
		}
		stopped++
		ends[fmt.Sprintf("%s: %s", c.ending, c.got.end)]++
		if (c.path == safePath || c.path == streamPath) && (c.kind == kindKeeps || c.kind == kindCloses || c.kind == kindOld) {
			repeatable++
			if c.got.status == http.StatusOK && (c.got.end == endFramed || c.got.end == endClosed) {
				whole++
			}
		}
	}
	t.Logf("%s: %d cases, of which %d stopped: %v; %d of %d repeatable ones whole", group, len(cases), stopped, ends, whole, repeatable)
	if float64(stopped) < stopReached*float64(len(cases)) {
		t.Errorf("%s: only %d of %d requests reached a target", group, stopped, len(cases))
	}
	if float64(whole) < leastWhole*float64(repeatable) {
		t.Errorf("%s: only %d of %d requests that another target may serve were answered whole", group, whole, repeatable)
	}
}
