package fleet

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
	"maststage.dev/router/quarantine"
)

// Paths of the calls about requests that crash targets.
const (
	pathExits      = "/fleet/ends"
	pathCleared    = "/fleet/cleared"
	pathSurvived   = "/fleet/survived"
	pathQuarantine = "/fleet/quarantine"
)

// Bounds on these calls.
const (
	// countingHosts is how many hosts count the target exits under a request: one may be down and
	// one cut off.
	countingHosts = 3
	// maxConcurrentCalls bounds the hosts called at the same time: calls to 300 hosts, half of them
	// silent, complete within two seconds.
	maxConcurrentCalls = 64
	// notifyAttempts is how often a notice is sent to a host that does not respond.
	notifyAttempts = 3
)

// Quarantine detects requests that crash targets; *quarantine.Guard implements it.
type Quarantine interface {
	AddReports(reports []quarantine.Report)
	IsCleared(d quarantine.Digest) bool
	SurvivedAgo(part quarantine.Digest) (ago time.Duration, ok bool)
	HandleNotice(n quarantine.Notice)
	Unpersisted() []quarantine.Entry
}

type exitsRequest struct {
	Reports []quarantine.Report `json:"reports"`
}

type clearedRequest struct {
	Digest quarantine.Digest `json:"digest"`
}

type clearedResponse struct {
	Cleared bool `json:"cleared"`
}

// emptyResponse is the response to a call that returns no data.
type emptyResponse struct{}

// CountingHosts lists the addresses of the hosts, other than this one, that count the target exits
// under a request or a part, and this host's rank among all of them; for a host that does not count,
// rank is their number. Hosts of earlier builds don't count exits under parts.
func (f *Fleet) CountingHosts(kind quarantine.Kind, d quarantine.Digest) (others []string, rank int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	self := f.opts.Self.Name
	names := []string{self}
	for _, name := range f.activePeers() {
		if kind == quarantine.KindRequest || f.hosts[name].host.PromptParts {
			names = append(names, name)
		}
	}
	ranked := rendezvous.Rank(d.String(), names, func(name string) string { return name })
	ranked = ranked[:min(len(ranked), countingHosts)]
	rank = len(ranked)
	for i, name := range ranked {
		if name == self {
			rank = i
			continue
		}
		others = append(others, f.hosts[name].host.Address)
	}
	return others, rank
}

// Report sends reports of target exits to a counting host.
func (f *Fleet) Report(ctx context.Context, address string, reports []quarantine.Report) error {
	err := f.client.callWithTimeout(ctx, address, pathExits, exitsRequest{Reports: reports}, &emptyResponse{})
	f.recordCallResult(address, err)
	return err
}

// Cleared asks all other hosts whether a request completed there. It returns at the first
// that confirms it.
func (f *Fleet) Cleared(ctx context.Context, d quarantine.Digest) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var cleared atomic.Bool
	f.forEach(f.addresses(), func(address string) {
		var response clearedResponse
		if err := f.client.callWithTimeout(ctx, address, pathCleared, clearedRequest{Digest: d}, &response); err == nil && response.Cleared {
			cleared.Store(true)
			cancel()
		}
	})
	return cleared.Load()
}

type survivedRequest struct {
	Part quarantine.Digest `json:"part"`
}

type survivedResponse struct {
	Survived bool  `json:"survived"`
	AgoMs    int64 `json:"ago_ms"`
}

// Survived asks all hosts, this one included, how long ago a target last survived a part of prompts.
func (f *Fleet) Survived(ctx context.Context, part quarantine.Digest) (ago time.Duration, ok bool) {
	ago, ok = f.opts.Quarantine.SurvivedAgo(part)
	var mu sync.Mutex
	f.forEach(f.addresses(), func(address string) {
		var response survivedResponse
		if err := f.client.callWithTimeout(ctx, address, pathSurvived, survivedRequest{Part: part}, &response); err != nil || !response.Survived {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		if theirs := time.Duration(response.AgoMs) * time.Millisecond; !ok || theirs < ago {
			ago, ok = theirs, true
		}
	})
	return ago, ok
}

func (f *Fleet) serveSurvived(w http.ResponseWriter, r *http.Request) {
	var request survivedRequest
	if !readJSON(w, r, &request) {
		return
	}
	ago, ok := f.opts.Quarantine.SurvivedAgo(request.Part)
	writeJSON(w, survivedResponse{Survived: ok, AgoMs: ago.Milliseconds()})
}

// Broadcast sends a notice to all other hosts, and again to those that did not respond.
func (f *Fleet) Broadcast(ctx context.Context, n quarantine.Notice) {
	addresses := f.addresses()
	for range notifyAttempts {
		var mu sync.Mutex
		var failed []string
		f.forEach(addresses, func(address string) {
			if err := f.client.callWithTimeout(ctx, address, pathQuarantine, n, &emptyResponse{}); err != nil {
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
		log.WithFields(log.Fields{"digest": n.Entry.Digest, "hosts": len(addresses)}).Info("some hosts did not respond to a quarantine notice")
	}
}

// forEach calls do for each address, up to maxConcurrentCalls at the same time.
func (f *Fleet) forEach(addresses []string, do func(address string)) {
	slots := make(chan struct{}, maxConcurrentCalls)
	var all sync.WaitGroup
	for _, address := range addresses {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			do(address)
		})
	}
	all.Wait()
}

func (f *Fleet) serveExits(w http.ResponseWriter, r *http.Request) {
	var request exitsRequest
	if !readJSON(w, r, &request) {
		return
	}
	f.opts.Quarantine.AddReports(request.Reports)
	writeJSON(w, emptyResponse{})
}

func (f *Fleet) serveCleared(w http.ResponseWriter, r *http.Request) {
	var request clearedRequest
	if !readJSON(w, r, &request) {
		return
	}
	writeJSON(w, clearedResponse{Cleared: f.opts.Quarantine.IsCleared(request.Digest)})
}

func (f *Fleet) serveQuarantine(w http.ResponseWriter, r *http.Request) {
	var n quarantine.Notice
	if !readJSON(w, r, &n) {
		return
	}
	f.opts.Quarantine.HandleNotice(n)
	writeJSON(w, emptyResponse{})
}
