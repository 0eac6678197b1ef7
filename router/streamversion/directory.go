package streamversion

import (
	"context"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
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

// Timing of announcements.
const (
	// announceDelay batches announcements to the same host.
	announceDelay = 2 * time.Millisecond
	// checkInterval is the time between two checks whether a service has more than one version by now.
	checkInterval   = 200 * time.Millisecond
	sweepInterval   = time.Second
	announceTimeout = 500 * time.Millisecond
	// holders is how many other hosts are told of a stream.
	holders = 2
)

// Run announces streams until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	check := time.NewTicker(checkInterval)
	defer check.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-check.C:
		case <-d.wake:
			wait.For(ctx, announceDelay)
		}
		d.announce(ctx)
		if now := time.Now(); now.Sub(swept) > sweepInterval {
			swept = now
			d.sweep(now)
		}
	}
}

func (d *Directory) sweep(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.sweep(now)
	for service, keys := range d.pending {
		for k := range keys {
			if d.table.streams[k] == nil {
				delete(keys, k)
			}
		}
		if len(keys) == 0 {
			delete(d.pending, service)
		}
	}
}

// announce tells the holders of the streams that they have to know.
func (d *Directory) announce(ctx context.Context) {
	due := d.takeDue()
	for rank := range holders {
		d.tellAll(ctx, due, rank)
	}
}

// tellAll tells the host of a rank among the holders of each stream.
func (d *Directory) tellAll(ctx context.Context, streams []Announcement, rank int) {
	byHolder := map[string][]Announcement{}
	for _, a := range streams {
		if list := d.peers.Holders(a.Key); rank < min(len(list), maxAsked) {
			byHolder[list[rank]] = append(byHolder[list[rank]], a)
		}
	}
	for address, told := range byHolder {
		d.opts.Go("stream versions", func() { d.tell(ctx, address, told, rank) })
	}
}

// takeDue takes the streams that are to be announced now off the pending ones.
func (d *Directory) takeDue() (due []Announcement) {
	now := time.Now()
	for service, several := range d.pendingServices() {
		d.mu.Lock()
		for k := range d.pending[service] {
			s := d.table.get(k, now)
			if s != nil && !several && !s.spread {
				continue
			}
			delete(d.pending[service], k)
			if s == nil || s.ambiguous {
				continue // what is ambiguous here need not be at the holders, where the first origin counts as well
			}
			s.announced = true
			due = append(due, Announcement{Key: k, Origin: s.origin, KeepMs: s.expires.Sub(now).Milliseconds()})
		}
		d.mu.Unlock()
	}
	return due
}

// pendingServices lists the services with streams that were not announced, and whether each has several versions.
func (d *Directory) pendingServices() map[string]bool {
	d.mu.Lock()
	services := make([]string, 0, len(d.pending))
	for service := range d.pending {
		services = append(services, service)
	}
	d.mu.Unlock()
	several := make(map[string]bool, len(services))
	for _, service := range services {
		several[service] = len(d.opts.Versions(service)) > 1
	}
	return several
}

// tell tells a host of streams, and the next one in its place if it does not respond.
func (d *Directory) tell(ctx context.Context, address string, streams []Announcement, rank int) {
	call, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	err := d.peers.Tell(call, address, streams)
	if err == nil {
		d.opts.Count(`stream_version_announcements_total{outcome="ok"}`)
		return
	}
	d.opts.Count(`stream_version_announcements_total{outcome="failed"}`)
	if ok, skipped := d.failureLog.Allow(time.Now()); ok {
		log.WithFields(log.Fields{"peer": address, "streams": len(streams), "skipped": skipped}).WithError(err).Info("telling another host of stream versions failed")
	}
	if ctx.Err() == nil {
		d.tellAll(ctx, streams, rank+holders)
	}
}
