package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/wait"
)

// pull asks other hosts for what this one may have missed.
func (f *Fleet) pull(ctx context.Context) {
	for ctx.Err() == nil {
		if topics := f.stale(); len(topics) > 0 {
			f.pullOnce(ctx, topics)
		}
		wait.For(ctx, f.opts.Pull/2+rand.N(f.opts.Pull))
	}
}

// stale lists the topics that the log has not told of for a while, each with the
// offset from which records are missing.
func (f *Fleet) stale() map[string]int64 {
	now := time.Now()
	topics := map[string]int64{}
	for topic, c := range f.opts.Copies {
		if c.Stale(now) {
			topics[topic] = c.End()
		}
	}
	return topics
}

// pullFrom is how many hosts are asked at a time.
const pullFrom = 2

func (f *Fleet) pullOnce(ctx context.Context, topics map[string]int64) {
	list := f.addresses()
	var all sync.WaitGroup
	for _, address := range list[:min(len(list), pullFrom)] {
		all.Go(func() {
			started := time.Now()
			err := f.pullAt(ctx, address, topics)
			f.notePull(address, topics, time.Since(started), err)
		})
	}
	all.Wait()
}

// failedPullLines bounds the lines a second about pulls that failed; a host that can
// reach nobody tries some seven times a second.
const failedPullLines = 2

// notePull counts a pull, and logs one that failed with what it asked for: without
// it a host that gets nothing looks like one that misses nothing.
func (f *Fleet) notePull(address string, topics map[string]int64, took time.Duration, err error) {
	outcome := PullOK
	if err != nil {
		outcome = PullFailed
	}
	if f.opts.OnPull != nil {
		f.opts.OnPull(outcome)
	}
	if err == nil {
		return
	}
	if ok, skipped := f.failed.Allow(time.Now()); ok {
		log.WithFields(log.Fields{
			"peer": address, "from": topics, "took": took.Round(time.Millisecond), "skipped": skipped,
		}).WithError(err).Info("pull from another host failed")
	}
}

// pullAt asks another host how far it knows the topics, and fetches what it has beyond
// this host's copies. Only one pull at a time fetches: two that bring the same records
// over a full link take twice as long, and so may outlast what makes them useful.
func (f *Fleet) pullAt(ctx context.Context, address string, topics map[string]int64) error {
	var ends pullResponse
	if err := f.calls.do(ctx, address, pathPull, pullRequest{From: topics, EndsOnly: true}, &ends); err != nil {
		return err
	}
	f.pulling.Lock()
	defer f.pulling.Unlock()
	missing := f.behind(ends)
	if len(missing) == 0 {
		return nil
	}
	var got pullResponse
	if err := f.calls.fetch(ctx, address, pathPull, pullRequest{From: missing}, &got); err != nil {
		return err
	}
	for topic, answer := range got.Topics {
		if _, asked := missing[topic]; !asked {
			continue
		}
		part, err := answer.part()
		if err != nil {
			return fmt.Errorf("records of %s: %w", topic, err)
		}
		log.WithFields(log.Fields{
			"peer": address, "topic": topic, "records": len(part.Records), "end": part.End, "bytes": len(answer.Packed),
		}).Info("pulled from another host")
		f.opts.Copies[topic].MergeNewest(part.Records, part.End)
	}
	return nil
}

// behind lists the topics that another host knows further than this one, each with the
// offset from which this one lacks records.
func (f *Fleet) behind(other pullResponse) map[string]int64 {
	missing := map[string]int64{}
	for topic, part := range other.Topics {
		c := f.opts.Copies[topic]
		if c == nil {
			continue
		}
		if end := c.End(); part.End > end {
			missing[topic] = end
		}
	}
	return missing
}
