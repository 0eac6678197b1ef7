package streamversion

import (
	"context"
	"slices"
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

// Question asks where a stream of a route began, which one of Services ran as far as the asking host knows.
type Question struct {
	Key      Key      `json:"key"`
	Route    string   `json:"route,omitempty"` // earlier builds don't name it
	Services []string `json:"services"`
}

// Answer says where a stream began as far as a host knows.
type Answer struct {
	Origin    *Origin `json:"origin,omitempty"` // nil: not known
	Ambiguous bool    `json:"ambiguous,omitempty"`
	KeepMs    int64   `json:"keep_ms,omitempty"`
	// Versions lists the versions that each service's targets have had of late, also of services that the route has had.
	Versions map[string][]string `json:"versions,omitempty"`
	// Covers says whether Versions holds all at which a stream in progress may have begun, and not only those since this
	// host started. Earlier builds don't say, nil, and take theirs for all.
	Covers *bool `json:"covers,omitempty"`
}

// Options configure a Directory.
type Options struct {
	// Versions lists the versions that a service's targets have had since any stream in progress can have begun, or since
	// this host started.
	Versions func(service string) []string
	// Services lists the services that a route has had for as long, beside the present ones. nil: there are no others.
	Services func(route string) []string
	// Covers reports whether Versions and Services reach back to before this host started, as far as streams in progress
	// go. nil: they do.
	Covers func() bool
	// CatchUp has Covers, Versions and Services say what they should after a gap in which this host did not follow the log.
	// nil: they do.
	CatchUp func()
	// Followed reports whether this host has observed by itself all of Versions and Services, and not only read what others
	// recorded. nil: it has.
	Followed func() bool
	// Await waits until the log has a record of the origin of a stream that begins. nil: it has.
	Await func(ctx context.Context, route string, o Origin)
	// Journal keeps the origins of streams in the log; nil: nothing does.
	Journal *Journal
	// ConfirmedSince reports whether Versions were confirmed to be the newest ones by a call that began after a moment.
	ConfirmedSince func(t time.Time) bool
	// Count increments a counter.
	Count func(name string)
	// Go starts a goroutine.
	Go func(duty string, f func())
}

// Directory is one host's knowledge of where streams began. It is safe for concurrent use.
//
// Each stream is told to two other hosts that its key selects, and recorded in the log, once streams of its route may have
// begun at more than one origin: a version of the targets of a service. A host that has to resume a stream it does not know
// asks these hosts, then the log. While there is one origin, nothing is told, and a host asks nobody unless its list of
// targets is old or it may not know them all.
//
// The alternatives are to choose the version of a new stream by a hash of its key, which other hosts can compute: but the
// versions change while streams run; and to write each stream to the log before its first event, which would wait for it.
type Directory struct {
	opts  Options
	peers Peers
	wake  chan struct{} // full: streams may have to be announced

	failureLog *logging.Limiter // limits lines about hosts that could not be told

	mu      sync.Mutex
	table   *table
	pending map[string]map[Key]bool // by route, the streams that were not announced
}

// failureLinesPerSecond bounds the log lines about hosts that could not be told.
const failureLinesPerSecond = 2

// New makes an empty directory; Run announces its streams.
func New(opts Options) *Directory {
	if opts.Services == nil {
		opts.Services = func(string) []string { return nil }
	}
	if opts.Covers == nil {
		opts.Covers = func() bool { return true }
	}
	if opts.CatchUp == nil {
		opts.CatchUp = func() {}
	}
	if opts.Followed == nil {
		opts.Followed = func() bool { return true }
	}
	if opts.Await == nil {
		opts.Await = func(context.Context, string, Origin) {}
	}
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

// Began notes where a stream of a route began, to be remembered for keep.
func (d *Directory) Began(k Key, route string, o Origin, keep time.Duration) {
	several := d.several(route, []string{o.Service})
	d.mu.Lock()
	s := d.table.add(k, o, keep, time.Now())
	if !s.announced {
		if d.pending[route] == nil {
			d.pending[route] = map[Key]bool{}
		}
		d.pending[route][k] = true
	}
	d.mu.Unlock()
	if several {
		d.requestAnnouncement()
	}
}

// Await waits until the first events of a stream that began at an origin may be forwarded.
func (d *Directory) Await(ctx context.Context, route string, o Origin) { d.opts.Await(ctx, route, o) }

// several reports whether streams of a route that has the given services may have begun at several origins.
func (d *Directory) several(route string, services []string) bool {
	return !d.opts.Covers() || len(d.origins(route, services)) > 1
}

// origins returns where streams of a route that has the given services may have begun.
func (d *Directory) origins(route string, services []string) map[Origin]bool {
	origins := map[Origin]bool{}
	for _, service := range slices.Concat(d.opts.Services(route), services) {
		for _, version := range d.opts.Versions(service) {
			origins[Origin{service, version}] = true
		}
	}
	return origins
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
	d.opts.CatchUp()
	covers := d.opts.Covers()
	a := Answer{Versions: map[string][]string{}, Covers: &covers}
	for _, service := range slices.Concat(d.opts.Services(q.Route), q.Services) {
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
