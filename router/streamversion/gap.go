package streamversion

import "time"

// Timing around a gap in which a host did not follow targets and configurations.
const (
	// readWait is how long a search waits for records that are read again after a gap.
	readWait = 100 * time.Millisecond
	// lookTimeout is the time between two looks after which this host counts as suspended meanwhile.
	lookTimeout = 5 * time.Second
)

// CatchUp notices the end of a gap in which this host did not follow targets and configurations, and waits for a moment until
// the records are read again.
func (p *Past) CatchUp() {
	now := time.Now()
	p.mu.Lock()
	following := !p.since.IsZero() && now.Sub(p.looked) <= lookTimeout
	p.mu.Unlock()
	if !following {
		p.observe(now)
	}
	p.awaitRead(now.Add(readWait))
}

// awaitRead waits, at most until a time, for the records if they are read again after a gap.
func (p *Past) awaitRead(until time.Time) {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	for {
		p.mu.Lock()
		missed, recorded := p.missed, p.recorded
		p.mu.Unlock()
		if !missed {
			return
		}
		select {
		case <-recorded:
		case <-timer.C:
			return
		}
	}
}
