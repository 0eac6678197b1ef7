package soak

import (
	"fmt"
	"sync"
	"time"

	"maststage.dev/standin/backend"
)

// watch notes what callers and targets see, and the promises that were broken.
type watch struct {
	mu          sync.Mutex
	calls       []call
	arrivals    map[string][]arrivalAt // by request id
	budgets     map[string]int64       // the most that an organisation was ever allowed
	versions    map[int64]time.Time    // when each was published
	newest      int64
	faults      []interval
	stops       []interval
	evacuations []interval            // by failure domain, from the store's answer on
	deadly      []time.Time           // arrivals of deadly requests
	excuses     map[*host][]*interval // restarts, pauses and cuts of hosts
	wellAgain   time.Time             // all hosts serve again and know which targets left
	violations  map[string][]string   // by promise
}

// arrivalAt is a request at a target.
type arrivalAt struct {
	target *targetState
	at     time.Time
	run    backend.Run
}

// interval is a time, open if end is zero.
type interval struct {
	what       string
	begin, end time.Time
}

// overlaps says whether the interval has a moment in common with the span.
func (i interval) overlaps(begin, end time.Time) bool {
	return i.begin.Before(end) && (i.end.IsZero() || i.end.After(begin))
}

func newWatch() *watch {
	return &watch{
		arrivals: map[string][]arrivalAt{}, budgets: map[string]int64{}, versions: map[int64]time.Time{},
		violations: map[string][]string{}, excuses: map[*host][]*interval{},
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

// newestVersion is the version published last, and when.
func (w *watch) newestVersion() (int64, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newest, w.versions[w.newest]
}

// fault notes the begin of a fault; the function that it gives notes the end.
func (w *watch) fault(what string) (end func()) { return w.note(&w.faults, what) }

// stop notes a planned stop, which is no fault.
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

// calm says whether no fault was at work in a span or shortly before it.
func (w *watch) calm(begin, end time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, f := range w.faults {
		if f.overlaps(begin.Add(-settleTime), end) {
			return false
		}
	}
	return true
}

// recovered notes that all faults and what came of them are over.
func (w *watch) recovered() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wellAgain = time.Now()
}

// settleTime is how long a fault is felt after its end.
const settleTime = 3 * time.Second

// maxShown bounds the violations of one promise that are kept.
const maxShown = 5

// violation notes a broken promise.
func (w *watch) violation(promise, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.violations[promise]
	if len(list) < maxShown {
		w.violations[promise] = append(list, fmt.Sprintf("%s: ", time.Now().Format("15:04:05.000"))+fmt.Sprintf(format, args...))
	}
}
