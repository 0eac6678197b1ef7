package soak

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"maststage.dev/platform"
	"maststage.dev/standin/backend"
)

// resumedPrefix begins the names of streams whose callers take them up again at another host after their connection
// is lost. All attempts of such a stream have the same URI, and its events are marked with their target's version.
const resumedPrefix = streamPath + "resumed-"

// Figures of such streams.
const (
	minResumedEvents = 30
	maxResumedEvents = 60
	resumeAttempts   = 5
	resumers         = 24                     // callers
	seedResumers     = 4                      // callers in a seed
	resumerThinkTime = 100 * time.Millisecond // mean
	loseConnection   = 0.25                   // share of the streams whose callers lose their connection midway
	// contactTime is how long a host must have run for its part in a share to count.
	contactTime = 3 * time.Second
	// retryAfterPart is the part of the time left that callers wait at most, as a host asks them to.
	retryAfterPart = 3
)

func isResumed(uri string) bool { return strings.HasPrefix(uri, resumedPrefix) }

// resumedEvents returns the number of events of a stream.
func resumedEvents(uri string) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, uri)
	return minResumedEvents + int(h.Sum32()%(maxResumedEvents-minResumedEvents+1))
}

// versionedBehaviour is a target's behaviour for a stream whose caller takes it up again.
func (w *world) versionedBehaviour(s *targetState, run backend.Run) backend.Behaviour {
	mark := s.version
	if s.service != engineService {
		mark += "@" + s.service
	}
	return backend.Behaviour{Delay: engineDelay, Gap: cmp.Or(w.options.gap, eventGap), Events: resumedEvents(run.URI), Mark: mark, NoLength: w.options.unframed}
}

// successor describes the target that replaces one that ended: at the same address, and one in four of another version.
func (w *world) successor(s *targetState) *targetState {
	w.mu.Lock()
	defer w.mu.Unlock()
	number := w.nextID
	w.nextID++
	version := s.version
	if w.random.IntN(4) == 0 {
		version = w.options.versions[w.random.IntN(len(w.options.versions))]
	}
	return &targetState{id: fmt.Sprintf("%s-%d", s.service, number), service: s.service, zone: s.zone, version: version, place: s.place, cuts: map[int]func(){}}
}

// resumedStream is one stream over all attempts of its caller.
type resumedStream struct {
	uri      string
	attempts []streamAttempt
	lastID   int             // of the newest event
	first    string          // id of the attempt that brought the first event
	versions map[string]bool // of its events
}

// streamAttempt is one attempt of a caller to get the rest of a stream.
type streamAttempt struct {
	id       string
	takesUp  bool // events had arrived before
	version  string
	host     *host
	begun    bool // events arrived
	status   int
	versions map[string]bool // of its events
	inTouch  bool            // host and targets count for the shares, see streamShares
	err      error
}

var lastResumed atomic.Int64

// resumeTraffic has callers get streams, and take them up where they lost the connection, until ctx ends.
func (w *world) resumeTraffic(ctx context.Context, seed uint64, callers int) (streams []*resumedStream) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(500+i)))
		all.Go(func() {
			for ctx.Err() == nil {
				s := w.getStream(random)
				mu.Lock()
				streams = append(streams, s)
				mu.Unlock()
				time.Sleep(time.Duration(random.Int64N(int64(2 * resumerThinkTime))))
			}
		})
	}
	all.Wait()
	return streams
}

// newResumedStream describes a stream that no other caller gets.
func (w *world) newResumedStream() *resumedStream {
	return &resumedStream{uri: fmt.Sprintf("%s%s-%d", resumedPrefix, w.network, lastResumed.Add(1)), versions: map[string]bool{}}
}

// getStream gets one stream, in as many attempts as it takes within requestLimit.
func (w *world) getStream(random *rand.Rand) *resumedStream {
	s := w.newResumedStream()
	deadline := time.Now().Add(requestLimit)
	loseAfter := 0
	if random.Float64() < loseConnection {
		loseAfter = 1 + random.IntN(resumedEvents(s.uri)-1)
	}
	for n := range resumeAttempts {
		if n > 0 {
			loseAfter = 0
		}
		left := time.Until(deadline)
		if left <= 0 || s.lastID == resumedEvents(s.uri) {
			break
		}
		a, pause := w.attemptStream(s, random, left, loseAfter)
		s.attempts = append(s.attempts, a)
		time.Sleep(min(pause, left/retryAfterPart))
	}
	return s
}

// attemptStream makes one attempt. It returns what the host wants the caller to wait.
func (w *world) attemptStream(s *resumedStream, random *rand.Rand, left time.Duration, loseAfter int) (a streamAttempt, pause time.Duration) {
	h := w.hosts[random.IntN(len(w.hosts))]
	a = streamAttempt{id: fmt.Sprintf("%s-%d", w.network, lastRequest.Add(1)), takesUp: s.lastID > 0, host: h, versions: map[string]bool{}}
	for version := range s.versions {
		a.version = version
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.listen+s.uri, strings.NewReader("prompt"))
	if err != nil {
		panic(err)
	}
	names := platform.Headers
	req.Host = callersHost
	req.Header.Set(names.RequestID, a.id)
	req.Header.Set(names.Deadline, fmt.Sprint(left.Milliseconds()))
	req.Header.Set(names.Key, keyOf(largeTenant))
	req.Header.Set(names.Usage, fmt.Sprintf("%d,%d", tokensIn, maxResumedEvents))
	req.Header.Set(names.PromptParts, fmt.Sprintf("b%d:30,%x:10", random.IntN(5), random.Uint32()))
	if s.lastID > 0 {
		req.Header.Set(names.LastEventID, strconv.Itoa(s.lastID))
		req.Header.Set(names.Resumes, s.first)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	resp, err := client.Do(req)
	if err == nil {
		a.status = resp.StatusCode
		if seconds, perr := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); perr == nil {
			pause = time.Duration(seconds * float64(time.Second))
		}
		a.err = w.readEvents(s, &a, resp.Body, loseAfter, cancel)
		_ = resp.Body.Close()
	} else {
		a.err = err
	}
	a.inTouch = w.countsForShares(h, a.version, began)
	return a, pause
}

// readEvents reads events until the response ends, or the caller loses its connection.
func (w *world) readEvents(s *resumedStream, a *streamAttempt, body io.Reader, loseAfter int, lose func()) error {
	lines := bufio.NewScanner(body)
	id, read := 0, 0
	for lines.Scan() {
		if a.status != http.StatusOK {
			continue
		}
		line := lines.Text()
		if text, ok := strings.CutPrefix(line, "id: "); ok {
			id, _ = strconv.Atoi(text)
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		_, version, _ := strings.Cut(data, " ")
		if id != s.lastID+1 {
			w.watch.violation("order of events", "%s: event %d follows %d", a.id, id, s.lastID)
		}
		if s.first == "" {
			s.first = a.id
		}
		s.lastID, a.begun = id, true
		s.versions[version], a.versions[version] = true, true
		if read++; read == loseAfter {
			lose()
			return context.Canceled
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	if a.status == http.StatusOK && s.lastID < resumedEvents(s.uri) && !w.options.unframed {
		w.watch.violation("whole answer", "%s looks complete after event %d of %d", a.id, s.lastID, resumedEvents(s.uri))
	}
	return nil
}

// countsForShares reports whether an attempt that began at a host counts for the shares: the host ran for contactTime
// before and to the end, and two targets of the stream's version, or any two for a new stream, serve.
func (w *world) countsForShares(h *host, version string, began time.Time) bool {
	h.mu.Lock()
	ran := !h.busy && !h.ending && began.Sub(h.started) > contactTime
	h.mu.Unlock()
	ran = ran && !w.watch.impaired(h, began) && !w.watch.impaired(h, time.Now())
	serving := 0
	for _, s := range w.readyTargets(engineService) {
		if version == "" || s.version == version {
			serving++
		}
	}
	return ran && serving >= 2
}
