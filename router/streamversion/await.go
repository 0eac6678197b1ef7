package streamversion

import (
	"context"
	"math/rand/v2"
	"time"
)

// Timing of streams that wait for the record of where they began.
const (
	// needDelayPerHost spreads the reads of all hosts at which streams wait for a record.
	needDelayPerHost = time.Millisecond
	minNeedDelay     = 20 * time.Millisecond // between two of them
	// recordWait is how long streams wait for the record of a use, from when the first of them began there: the log may be
	// away.
	recordWait = time.Second
)

// Await waits until the log has the records of where a stream began, but no longer than recordWait after the first stream
// began there. What callers get before could not be told from what the log knows if all hosts ended.
func (p *Past) Await(ctx context.Context, route string, o Origin) {
	if p.opts.Partition.Topic == "" {
		return
	}
	uses := []Use{{Service: o.Service, Version: o.Version}}
	if route != "" {
		uses = append(uses, Use{Route: route, Service: o.Service})
	}
	for {
		left, recorded := p.need(uses, time.Now())
		if left <= 0 {
			return
		}
		timer := time.NewTimer(left)
		select {
		case <-recorded:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

// need notes that a stream waits for the records of uses. It returns for how long it should, and a channel that is closed
// as more are recorded.
func (p *Past) need(uses []Use, now time.Time) (left time.Duration, recorded <-chan struct{}) {
	delay := p.needDelay()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, u := range uses {
		if s := p.uses[u]; s != nil && s.recorded {
			delete(p.needed, u)
			continue
		}
		p.note([]Use{u}, now)
		if p.needed[u].IsZero() {
			if p.needed[u] = now; now.After(p.needRead) {
				p.needRead = now.Add(rand.N(delay))
			}
			p.Look()
		}
		left = max(left, p.needed[u].Add(recordWait).Sub(now))
	}
	return left, p.recorded
}

// needDelay is the time over which hosts spread a read of records that streams wait for.
func (p *Past) needDelay() time.Duration {
	return max(time.Duration(p.opts.Hosts())*needDelayPerHost, minNeedDelay)
}

// waited reports whether streams wait for a record. The lock is held.
func (p *Past) waited(now time.Time) bool {
	for u, since := range p.needed {
		if s := p.uses[u]; now.Sub(since) <= recordWait && (s == nil || !s.recorded) {
			return true
		}
	}
	return false
}

// mayRead reports whether it is time to read the records.
func (p *Past) mayRead(now time.Time) bool {
	delay := p.needDelay()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waited(now) && !now.Before(p.needRead) {
		p.needRead = now.Add(delay)
		return true
	}
	return !now.Before(p.nextRead)
}

// release lets the streams look that wait for records. The lock is held.
func (p *Past) release() {
	for u := range p.needed {
		if s := p.uses[u]; s != nil && s.recorded {
			delete(p.needed, u)
		}
	}
	close(p.recorded)
	p.recorded = make(chan struct{})
}
