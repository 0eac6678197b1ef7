package streamversion

import (
	"context"
	"sync"
	"time"

	"maststage.dev/router/logging"
)

// Peers are the other hosts.
type Peers interface {
	// Holders lists the addresses of the other hosts that know of streams, in an order that is the same at all hosts but for
	// hosts that some don't know. The first ones are of different failure domains.
	Holders(k Key) []string
	// Tell tells another host of streams.
	Tell(ctx context.Context, address string, streams []Announcement) error
	// Ask asks another host for a stream.
	Ask(ctx context.Context, address string, q Question) (Answer, error)
}

// Announcement tells another host of a stream.
type Announcement struct {
	Key    Key    `json:"key"`
	Origin Origin `json:"origin"`
	KeepMs int64  `json:"keep_ms"` // how much longer to remember it
}

// Question asks where a stream began, of which it is known that one of Services runs it.
type Question struct {
	Key      Key      `json:"key"`
	Services []string `json:"services"`
}

// Answer says where a stream began as far as a host knows.
type Answer struct {
	Origin    *Origin `json:"origin,omitempty"` // nil: not known
	Ambiguous bool    `json:"ambiguous,omitempty"`
	KeepMs    int64   `json:"keep_ms,omitempty"`
	// Versions lists the versions that each service's targets have had of late.
	Versions map[string][]string `json:"versions,omitempty"`
}

// Options configure a Directory.
type Options struct {
	// Versions lists the versions that a service's targets have had since any stream in progress can have begun.
	Versions func(service string) []string
	// ListAge is how long ago the list of targets was last confirmed to be the newest.
	ListAge func() time.Duration
	// Count increments a counter.
	Count func(name string)
	// Go starts a goroutine.
	Go func(duty string, f func())
}

// Directory is one host's knowledge of where streams began. It is safe for concurrent use.
//
// Each stream is told to two other hosts that its key selects, once its service's targets have had more than one version. A
// host that has to resume a stream it does not know asks these hosts. While a service's targets have one version, nothing
// is told, and a host asks nobody unless its list of targets is old.
//
// The alternatives are to choose the version of a new stream by a hash of its key, which other hosts can compute: but the
// versions change while streams run; and to write streams to the log, which may be unreachable.
type Directory struct {
	opts  Options
	peers Peers
	wake  chan struct{} // full: streams may have to be announced

	failureLog *logging.Limiter // limits lines about hosts that could not be told

	mu      sync.Mutex
	table   *table
	pending map[string]map[Key]bool // by service, the streams that were not announced
}

// failureLinesPerSecond bounds the log lines about hosts that could not be told.
const failureLinesPerSecond = 2

// New makes an empty directory; Run announces its streams.
func New(opts Options) *Directory {
	return &Directory{opts: opts, wake: make(chan struct{}, 1), failureLog: logging.NewLimiter(failureLinesPerSecond), table: newTable(), pending: map[string]map[Key]bool{}}
}

// SetPeers sets the other hosts. It is called once, before the directory is used.
func (d *Directory) SetPeers(p Peers) { d.peers = p }

// Len counts the streams that this host remembers.
func (d *Directory) Len() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.table.streams)
}

// Began notes where a stream began, to be remembered for keep. spread says that others have to know it even while its
// service has one version.
func (d *Directory) Began(k Key, o Origin, keep time.Duration, spread bool) {
	several := spread || len(d.opts.Versions(o.Service)) > 1
	d.mu.Lock()
	s := d.table.add(k, o, keep, time.Now())
	s.spread = s.spread || spread
	if !s.announced {
		if d.pending[o.Service] == nil {
			d.pending[o.Service] = map[Key]bool{}
		}
		d.pending[o.Service][k] = true
	}
	d.mu.Unlock()
	if several {
		d.requestAnnouncement()
	}
}

func (d *Directory) requestAnnouncement() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// HandleAnnouncement notes streams of another host.
func (d *Directory) HandleAnnouncement(streams []Announcement) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, a := range streams {
		d.table.add(a.Key, a.Origin, time.Duration(a.KeepMs)*time.Millisecond, now).announced = true
	}
}

// Answer answers another host's question.
func (d *Directory) Answer(q Question) Answer {
	a := Answer{Versions: map[string][]string{}}
	for _, service := range q.Services {
		a.Versions[service] = d.opts.Versions(service)
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.table.get(q.Key, now); s != nil {
		a.Origin, a.Ambiguous, a.KeepMs = &s.origin, s.ambiguous, s.expires.Sub(now).Milliseconds()
	}
	return a
}
