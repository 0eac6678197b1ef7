package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/patience"
	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/logging"
	"maststage.dev/router/quarantine"
	"maststage.dev/router/replica"
)

// Bounds on pulls.
const (
	// hostsPerRound is how many hosts a round asks: one of them may be cut off, too.
	hostsPerRound = 2
	// maxConcurrentPulls bounds the pulls in progress over all rounds.
	maxConcurrentPulls = 16
	// pullTimeout is how long another host may be silent before others may fetch records in its place. Its response is
	// taken for lateGrace longer: a call needs two round trips, and where client traffic fills this host's link one
	// takes over a second. An unreachable host only occupies one of maxConcurrentPulls.
	pullTimeout = 1500 * time.Millisecond
	// failedPullLogRate bounds the log lines a second about failed pulls; a host that can reach
	// no other tries some seven times a second.
	failedPullLogRate = 2
)

// puller fetches from other hosts the log records that this one may have missed.
type puller struct {
	fleet      *Fleet
	failureLog *logging.Limiter // limits log lines about failed pulls
	fetching   chan struct{}    // holds a token while a pull fetches records
	inFlight   sync.WaitGroup

	mu         sync.Mutex
	inProgress map[string]bool // addresses of the pulls in progress
	lastSource string          // address that last provided records
}

func newPuller(f *Fleet) *puller {
	return &puller{fleet: f, failureLog: logging.NewLimiter(failedPullLogRate), inProgress: map[string]bool{}, fetching: make(chan struct{}, 1)}
}

// run pulls while replicas are stale, until ctx ends.
func (p *puller) run(ctx context.Context) {
	ctx = patience.WithLife(ctx)
	for ctx.Err() == nil {
		if topics := p.fleet.staleTopics(); len(topics) > 0 {
			p.startRound(ctx, topics)
		}
		every := p.fleet.opts.PullInterval
		wait.For(ctx, every/2+rand.N(every))
	}
	p.inFlight.Wait()
}

// staleTopics lists the topics for which the log has not responded for a while, each with the
// position from which records are missing.
func (f *Fleet) staleTopics() map[string]eventlog.Position {
	topics := map[string]eventlog.Position{}
	for topic, c := range f.opts.Replicas {
		if c.Age() > f.freshFor(c) {
			topics[topic] = c.End()
		}
	}
	return topics
}

// freshFor is how old the records of a replica get as long as the log responds.
func (f *Fleet) freshFor(c *replica.Replica) time.Duration {
	if f.readers.current() == following {
		return 2*c.FreshFor() + followHold // the reader's records may be old already
	}
	return c.FreshFor()
}

// startRound starts pulls from some hosts and does not wait for them, so that a silent host does
// not delay the next round.
func (p *puller) startRound(ctx context.Context, topics map[string]eventlog.Position) {
	for _, address := range p.chooseHosts() {
		p.inFlight.Go(func() {
			started := time.Now()
			err := p.pull(ctx, address, topics)
			p.finish(address, topics, time.Since(started), err)
		})
	}
}

// chooseHosts picks the hosts of a round: first the last source of records, to which a connection
// is open, then any others without a pull in progress, recently silent ones last.
func (p *puller) chooseHosts() []string {
	others := p.fleet.addresses()
	p.mu.Lock()
	defer p.mu.Unlock()
	slices.SortStableFunc(others, func(a, b string) int { return p.rank(a) - p.rank(b) })
	var chosen []string
	for _, address := range others {
		if len(chosen) == hostsPerRound || len(p.inProgress) == maxConcurrentPulls {
			break
		}
		if !p.inProgress[address] {
			p.inProgress[address] = true
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// rank returns the priority of a host to pull from, lowest first; the lock is held.
func (p *puller) rank(address string) int {
	switch {
	case address == p.lastSource:
		return 0
	case !p.fleet.recentlySilent(address):
		return 1
	}
	return 2
}

// finish ends and counts a pull. It logs a failed one with what was requested: otherwise a host
// that gets nothing looks like one that misses nothing.
func (p *puller) finish(address string, topics map[string]eventlog.Position, took time.Duration, err error) {
	p.fleet.recordCallResult(address, err)
	p.mu.Lock()
	delete(p.inProgress, address)
	if err != nil && p.lastSource == address {
		p.lastSource = ""
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
	if ok, skipped := p.failureLog.Allow(time.Now()); ok {
		log.WithFields(log.Fields{
			"peer": address, "from": topics, "took": took.Round(time.Millisecond), "skipped": skipped,
		}).WithError(err).Info("pull of missed log records from another host failed")
	}
}

// pull asks another host for the end offsets of the topics and fetches what lies beyond this
// host's replicas. Only one pull at a time fetches: two that fetch the same records over a
// saturated link take twice as long and may complete too late to be useful.
func (p *puller) pull(ctx context.Context, address string, topics map[string]eventlog.Position) error {
	asked := time.Now()
	request := newPullRequest(topics)
	request.EndsOnly = true
	var ends pullResponse
	if err := p.fleet.pullClient.fetch(ctx, address, pathPull, request, &ends); err != nil {
		return err
	}
	for _, e := range ends.Quarantine {
		p.fleet.opts.Quarantine.HandleNotice(quarantine.Notice{Entry: e})
	}
	select {
	case p.fetching <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-p.fetching }()
	p.fleet.confirm(topics, ends, time.Since(asked))
	missing := p.fleet.topicsBehind(ends)
	if len(missing) == 0 {
		p.fleet.recordPull(asked)
		return nil
	}
	fetched, err := patience.Await(ctx, pullLimits, lateGrace,
		func(ctx context.Context) (fetchedRecords, error) { return p.fetch(ctx, address, missing) },
		func(late fetchedRecords) { _ = p.merge(address, missing, late) })
	if err != nil {
		return err
	}
	if err := p.merge(address, missing, fetched); err != nil {
		return err
	}
	p.fleet.recordPull(asked)
	return nil
}

// pullLimits are those of a call for records.
var pullLimits = patience.Limits{First: pullTimeout, Silence: pullTimeout, Most: maxFetchTime}

// fetchedRecords are another host's response to a call for records.
type fetchedRecords struct {
	response pullResponse
	took     time.Duration // of the call
}

// fetch asks another host for the records of topics from the given positions on.
func (p *puller) fetch(ctx context.Context, address string, missing map[string]eventlog.Position) (f fetchedRecords, err error) {
	began := time.Now()
	err = p.fleet.pullClient.call(ctx, address, pathPull, newPullRequest(missing), &f.response)
	f.took = time.Since(began)
	return f, err
}

// merge applies fetched records.
func (p *puller) merge(address string, requested map[string]eventlog.Position, fetched fetchedRecords) error {
	p.mu.Lock()
	p.lastSource = address
	p.mu.Unlock()
	return p.fleet.merge(address, requested, fetched.response, fetched.took)
}

// merge applies the records of the topics that were requested from another host. took is the duration of the call.
func (f *Fleet) merge(address string, requested map[string]eventlog.Position, response pullResponse, took time.Duration) error {
	for topic, encoded := range response.Topics {
		if _, wanted := requested[topic]; !wanted {
			continue
		}
		update, err := encoded.update()
		if err != nil {
			return fmt.Errorf("records of %s: %w", topic, err)
		}
		log.WithFields(log.Fields{
			"peer": address, "topic": topic, "records": len(update.Records), "end": update.End, "bytes": len(encoded.Packed),
		}).Info("pulled missed log records from another host")
		f.opts.Replicas[topic].MergeUpdate(update)
		f.opts.Replicas[topic].Confirm(update.End, update.Age+took)
	}
	return nil
}

// confirm notes for topics in which another host is not ahead of this one how fresh that makes this host. took is the
// duration of the call.
func (f *Fleet) confirm(topics map[string]eventlog.Position, other pullResponse, took time.Duration) {
	for topic := range topics {
		if part, found := other.Topics[topic]; found && part.Aged {
			f.opts.Replicas[topic].Confirm(part.end(), part.age()+took)
		}
	}
}

// topicsBehind lists the topics in which another host is ahead of this one, each with the position
// from which this host lacks records.
func (f *Fleet) topicsBehind(other pullResponse) map[string]eventlog.Position {
	missing := map[string]eventlog.Position{}
	for topic, part := range other.Topics {
		c := f.opts.Replicas[topic]
		if c == nil {
			continue
		}
		if end := c.End(); end.Before(part.end()) {
			missing[topic] = end
		}
	}
	return missing
}
