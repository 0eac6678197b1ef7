package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
	"maststage.dev/router/logging"
	"maststage.dev/router/quarantine"
)

// Figures of pulls.
const (
	// pullFrom is how many hosts a round asks: one of them may be cut off, too.
	pullFrom = 2
	// maxPulls is how many hosts may be asked at the same time, over several rounds.
	maxPulls = 6
	// pullTimeout is how long another host may be silent. A call needs two round trips and,
	// where callers fill this host's link, one takes up to 0.6 s. A host that is gone costs
	// nothing but one of maxPulls.
	pullTimeout = 1500 * time.Millisecond
	// failedPullLines bounds the lines a second about pulls that failed; a host that can
	// reach nobody tries some seven times a second.
	failedPullLines = 2
)

// puller asks other hosts for what this one may have missed of the log.
type puller struct {
	fleet    *Fleet
	failed   *logging.Limiter // of lines about pulls that failed
	fetching sync.Mutex       // held by the one pull that fetches records
	calls    sync.WaitGroup

	mu    sync.Mutex
	asked map[string]bool // addresses of the pulls under way
	last  string          // address that brought records last
}

func newPuller(f *Fleet) *puller {
	return &puller{fleet: f, failed: logging.NewLimiter(failedPullLines), asked: map[string]bool{}}
}

// run asks others while the log does not tell, until ctx ends.
func (p *puller) run(ctx context.Context) {
	for ctx.Err() == nil {
		if topics := p.fleet.stale(); len(topics) > 0 {
			p.round(ctx, topics)
		}
		every := p.fleet.opts.PullInterval
		wait.For(ctx, every/2+rand.N(every))
	}
	p.calls.Wait()
}

// stale lists the topics that the log has not told of for a while, each with the
// offset from which records are missing.
func (f *Fleet) stale() map[string]int64 {
	now := time.Now()
	topics := map[string]int64{}
	for topic, c := range f.opts.Replicas {
		if c.Stale(now) {
			topics[topic] = c.End()
		}
	}
	return topics
}

// round begins to ask some hosts and does not wait for them: one that is silent does not
// hold up the next round.
func (p *puller) round(ctx context.Context, topics map[string]int64) {
	for _, address := range p.choose() {
		p.calls.Go(func() {
			started := time.Now()
			err := p.pullAt(ctx, address, topics)
			p.note(address, topics, time.Since(started), err)
		})
	}
}

// choose picks the hosts of a round: first the one that brought records last, to which
// there is a connection, then any that are not being asked, silent ones last.
func (p *puller) choose() []string {
	others := p.fleet.addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortStableFunc(others, func(a, b string) int { return p.rank(a) - p.rank(b) })
	var chosen []string
	for _, address := range others {
		if len(chosen) == pullFrom || len(p.asked) == maxPulls {
			break
		}
		if !p.asked[address] {
			p.asked[address] = true
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// rank orders the hosts that may be asked; the lock is held.
func (p *puller) rank(address string) int {
	switch {
	case address == p.last:
		return 0
	case !p.fleet.wasSilent(address):
		return 1
	}
	return 2
}

// note ends and counts a pull, and logs one that failed with what it asked for: without
// it a host that gets nothing looks like one that misses nothing.
func (p *puller) note(address string, topics map[string]int64, took time.Duration, err error) {
	p.fleet.noteSilent(address, err)
	p.mu.Lock()
	delete(p.asked, address)
	if err != nil && p.last == address {
		p.last = ""
	}
	p.mu.Unlock()
	outcome := PullOK
	if err != nil {
		outcome = PullFailed
	}
	if p.fleet.opts.OnPull != nil {
		p.fleet.opts.OnPull(outcome)
	}
	if err == nil {
		return
	}
	if ok, skipped := p.failed.Allow(time.Now()); ok {
		log.WithFields(log.Fields{
			"peer": address, "from": topics, "took": took.Round(time.Millisecond), "skipped": skipped,
		}).WithError(err).Info("pull from another host failed")
	}
}

// pullAt asks another host how far it knows the topics, and fetches what it has beyond
// this host's copies. Only one pull at a time fetches: two that bring the same records
// over a full link take twice as long, and so may outlast what makes them useful.
func (p *puller) pullAt(ctx context.Context, address string, topics map[string]int64) error {
	calls := p.fleet.calls
	asked := time.Now()
	var ends pullResponse
	if err := calls.fetch(ctx, address, pathPull, pullRequest{From: topics, EndsOnly: true}, &ends); err != nil {
		return err
	}
	for _, e := range ends.Quarantine {
		p.fleet.opts.Quarantine.HandleNotice(quarantine.Notice{Entry: e})
	}
	p.fetching.Lock()
	defer p.fetching.Unlock()
	missing := p.fleet.behind(ends)
	if len(missing) == 0 {
		p.fleet.notePulled(asked)
		return nil
	}
	var got pullResponse
	if err := calls.fetch(ctx, address, pathPull, pullRequest{From: missing}, &got); err != nil {
		return err
	}
	p.mu.Lock()
	p.last = address
	p.mu.Unlock()
	if err := p.fleet.merge(address, missing, got); err != nil {
		return err
	}
	p.fleet.notePulled(asked)
	return nil
}

// merge takes over the records of the topics that another host was asked for.
func (f *Fleet) merge(address string, asked map[string]int64, got pullResponse) error {
	for topic, answer := range got.Topics {
		if _, wanted := asked[topic]; !wanted {
			continue
		}
		part, err := answer.part()
		if err != nil {
			return fmt.Errorf("records of %s: %w", topic, err)
		}
		log.WithFields(log.Fields{
			"peer": address, "topic": topic, "records": len(part.Records), "end": part.End, "bytes": len(answer.Packed),
		}).Info("pulled from another host")
		f.opts.Replicas[topic].MergeUpdate(part)
	}
	return nil
}

// behind lists the topics that another host knows further than this one, each with the
// offset from which this one lacks records.
func (f *Fleet) behind(other pullResponse) map[string]int64 {
	missing := map[string]int64{}
	for topic, part := range other.Topics {
		c := f.opts.Replicas[topic]
		if c == nil {
			continue
		}
		if end := c.End(); part.End > end {
			missing[topic] = end
		}
	}
	return missing
}
