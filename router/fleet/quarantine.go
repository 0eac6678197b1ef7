package fleet

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/quarantine"
)

// Paths of the calls about requests that crash targets.
const (
	pathEnds       = "/fleet/ends"
	pathCleared    = "/fleet/cleared"
	pathQuarantine = "/fleet/quarantine"
)

// Figures of these calls.
const (
	// countingHosts is how many hosts count the ends under a request: one may be gone and
	// one cut off.
	countingHosts = 3
	// tellAtOnce bounds the hosts that are called at the same time: 300 hosts, half of them
	// silent, are through within two seconds.
	tellAtOnce = 64
	// tellRounds is how often a host that did not answer is told.
	tellRounds = 3
)

// Quarantine is what this host knows of requests that crash targets; *quarantine.Guard does.
type Quarantine interface {
	AddReports(reports []quarantine.Report)
	IsCleared(d quarantine.Digest) bool
	HandleNotice(n quarantine.Notice)
	Unpersisted() []quarantine.Entry
}

type endsRequest struct {
	Reports []quarantine.Report `json:"reports"`
}

type clearedRequest struct {
	Digest quarantine.Digest `json:"digest"`
}

type clearedResponse struct {
	Cleared bool `json:"cleared"`
}

// done is the answer to a call that asks nothing.
type done struct{}

// CountingHosts lists the addresses of the hosts that count the ends under a request, without
// this host, and this host's place among them.
func (f *Fleet) CountingHosts(d quarantine.Digest) (others []string, place int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.opts.Self.Name
	names := append([]string{self}, f.others()...)
	ranked := rendezvous.Rank(d.String(), names, func(name string) string { return name })
	ranked = ranked[:min(len(ranked), countingHosts)]
	place = len(ranked)
	for i, name := range ranked {
		if name == self {
			place = i
			continue
		}
		others = append(others, f.hosts[name].host.Address)
	}
	return others, place
}

// Report tells a counting host of ends.
func (f *Fleet) Report(ctx context.Context, address string, reports []quarantine.Report) error {
	err := f.calls.do(ctx, address, pathEnds, endsRequest{Reports: reports}, &done{})
	f.noteSilent(address, err)
	return err
}

// Cleared asks all other hosts whether a request came whole there. It returns at the first
// that says so.
func (f *Fleet) Cleared(ctx context.Context, d quarantine.Digest) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var cleared atomic.Bool
	f.each(f.addresses(), func(address string) {
		var got clearedResponse
		if err := f.calls.do(ctx, address, pathCleared, clearedRequest{Digest: d}, &got); err == nil && got.Cleared {
			cleared.Store(true)
			cancel()
		}
	})
	return cleared.Load()
}

// Broadcast gives a notice to all other hosts, and again to those that did not answer.
func (f *Fleet) Broadcast(ctx context.Context, n quarantine.Notice) {
	addresses := f.addresses()
	for range tellRounds {
		var mu sync.Mutex
		var failed []string
		f.each(addresses, func(address string) {
			if err := f.calls.do(ctx, address, pathQuarantine, n, &done{}); err != nil {
				mu.Lock()
				defer mu.Unlock()
				failed = append(failed, address)
			}
		})
		if addresses = failed; len(addresses) == 0 || ctx.Err() != nil {
			break
		}
	}
	if len(addresses) > 0 {
		log.WithFields(log.Fields{"digest": n.Entry.Digest, "hosts": len(addresses)}).Info("hosts not told of a quarantine")
	}
}

// each calls do for each address, some at the same time.
func (f *Fleet) each(addresses []string, do func(address string)) {
	places := make(chan struct{}, tellAtOnce)
	var all sync.WaitGroup
	for _, address := range addresses {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			do(address)
		})
	}
	all.Wait()
}

func (f *Fleet) serveEnds(w http.ResponseWriter, r *http.Request) {
	var ask endsRequest
	if !read(w, r, &ask) {
		return
	}
	f.opts.Quarantine.AddReports(ask.Reports)
	write(w, done{})
}

func (f *Fleet) serveCleared(w http.ResponseWriter, r *http.Request) {
	var ask clearedRequest
	if !read(w, r, &ask) {
		return
	}
	write(w, clearedResponse{Cleared: f.opts.Quarantine.IsCleared(ask.Digest)})
}

func (f *Fleet) serveQuarantine(w http.ResponseWriter, r *http.Request) {
	var n quarantine.Notice
	if !read(w, r, &n) {
		return
	}
	f.opts.Quarantine.HandleNotice(n)
	write(w, done{})
}
