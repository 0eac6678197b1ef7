package soak

import (
	"fmt"
	"sync"
	"time"

	"maststage.dev/standin/backend"
)

// watch records what callers and targets see, and the violated guarantees.
type watch struct {
	mu          sync.Mutex
	calls       []call
	arrivals    map[string][]arrivalAt // by request id
	budgets     map[string]int64       // the largest budget that an organisation ever had
	versions    map[int64]time.Time    // when each was published
	newest      int64
	faults      []interval
	stops       []interval
	evacuations []interval            // by failure domain, from the store's response on
	deadly      []time.Time           // arrivals of deadly requests
	crashing    []time.Time           // arrivals of requests with a part that crashes targets
	impairments map[*host][]*interval // restarts, stalls and cut connections of hosts
	// interruptions are the restarts and pauses of hosts' processes.
	interruptions map[*host][]*interval
	recoveredAt   time.Time           // when all hosts served again and knew which targets left
	violations    map[string][]string // by guarantee

	socketAnswers  []*socketAnswer
	socketArrivals map[string][]arrivalAt // by request id
}

// arrivalAt is the arrival of a request at a target.
type arrivalAt struct {
	target *targetState
	at     time.Time
	run    backend.Run
}

// interval is a span of time, still open if end is zero.
type interval struct {
	what       string
	begin, end time.Time
}

// overlaps reports whether the interval and the span overlap.
func (i interval) overlaps(begin, end time.Time) bool {
	return i.begin.Before(end) && (i.end.IsZero() || i.end.After(begin))
}

func newWatch() *watch {
	return &watch{
		arrivals: map[string][]arrivalAt{}, budgets: map[string]int64{}, versions: map[int64]time.Time{},
		violations: map[string][]string{}, impairments: map[*host][]*interval{}, interruptions: map[*host][]*interval{},
		socketArrivals: map[string][]arrivalAt{},
	}
}

func (w *watch) call(c call) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls = append(w.calls, c)
}

func (w *watch) arrival(s *targetState, run backend.Run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals[run.ID] = append(w.arrivals[run.ID], arrivalAt{target: s, at: time.Now(), run: run})
}

func (w *watch) budget(tenant string, amount int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.budgets[tenant] = max(w.budgets[tenant], amount)
}

func (w *watch) published(version int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[version] = time.Now()
	w.newest = version
}

// newestVersion returns the version published last and its time.
func (w *watch) newestVersion() (int64, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest, w.versions[w.newest]
}

// fault records the start of a fault. The returned function records the end.
func (w *watch) fault(what string) (end func()) { return w.note(&w.faults, what) }

// stop records a graceful shutdown, which is not a fault.
func (w *watch) stop(what string) (end func()) { return w.note(&w.stops, what) }

func (w *watch) note(list *[]interval, what string) (end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := len(*list)
	*list = append(*list, interval{what: what, begin: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		(*list)[at].end = time.Now()
	}
}

// faultFree reports whether there was no fault in a span, nor within settleTime before it.
func (w *watch) faultFree(begin, end time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.faults {
		if f.overlaps(begin.Add(-settleTime), end) {
			return false
		}
	}
	return true
}

// recovered records that all faults and their effects are over.
func (w *watch) recovered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recoveredAt = time.Now()
}

// settleTime is how long a fault has effects after its end.
const settleTime = 3 * time.Second

// maxShown bounds the violations kept for each guarantee.
const maxShown = 5

// violation records that a guarantee was violated.
func (w *watch) violation(guarantee, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.violations[guarantee]
	if len(list) < maxShown {
		w.violations[guarantee] = append(list, fmt.Sprintf("%s: ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
}
