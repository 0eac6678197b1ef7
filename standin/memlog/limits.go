package memlog

import (
	"context"
	"time"

	"maststage.dev/router/eventlog"
)

// Limits are what the log gives all hosts together. 0 means no limit.
type Limits struct {
	ReadsPerSecond float64 // calls beyond it are refused
	AppendTime     time.Duration
	ReadBandwidth  float64 // of all responses, in bytes a second
}

// Load is what the log was asked for and gave since the last call of TakeLoad.
type Load struct {
	Reads   int // calls other than appends, refused ones included
	Refused int // of them, those beyond the limit
	Bytes   int64
}

// load is the state of the limits.
type load struct {
	Load
	second     time.Time // begin of the second that calls are counted in
	worth      int       // of the calls in that second
	linkFree   time.Time // when the last response has been sent
	appendFree map[eventlog.Partition]time.Time
}

// maxAppendQueue is how long appends may wait for their turn; others are refused.
const maxAppendQueue = 2 * time.Second

// SetLimits sets what the log gives.
func (l *Log) SetLimits(limits Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limits = limits
}

// TakeLoad returns the load since the last call.
func (l *Log) TakeLoad() Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := l.load.Load
	l.load.Load = Load{}
	return taken
}

// What calls count as towards the limit, in tenths of a read.
const (
	readWorth = 10
	joinWorth = 1
)

// admitRead refuses a call beyond the limit.
func (l *Log) admitRead(worth int) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.load.second) >= time.Second {
		l.load.second, l.load.worth = now, 0
	}
	if l.limits.ReadsPerSecond > 0 && float64(l.load.worth+worth) > l.limits.ReadsPerSecond*readWorth {
		l.load.Refused++
		return eventlog.ErrRefused
	}
	l.load.worth += worth
	return nil
}

// transfer waits until a response has been sent after all others before it. One that its caller gave up is sent all
// the same.
func (l *Log) transfer(ctx context.Context, records []eventlog.Record) error {
	bytes := 0
	for _, rec := range records {
		bytes += len(rec.Key) + len(rec.Value)
	}
	l.mu.Lock()
	l.load.Bytes += int64(bytes)
	var pause time.Duration
	if l.limits.ReadBandwidth > 0 {
		now := time.Now()
		if l.load.linkFree.Before(now) {
			l.load.linkFree = now
		}
		l.load.linkFree = l.load.linkFree.Add(time.Duration(float64(bytes) / l.limits.ReadBandwidth * float64(time.Second)))
		pause = l.load.linkFree.Sub(now)
	}
	l.mu.Unlock()
	return sleep(ctx, pause)
}

// admitAppend waits for the turn of an append in its partition.
func (l *Log) admitAppend(ctx context.Context, p eventlog.Partition) error {
	l.mu.Lock()
	var pause time.Duration
	if l.limits.AppendTime > 0 {
		if l.load.appendFree == nil {
			l.load.appendFree = map[eventlog.Partition]time.Time{}
		}
		now, free := time.Now(), l.load.appendFree[p]
		if free.Before(now) {
			free = now
		}
		if free.Sub(now) > maxAppendQueue {
			l.mu.Unlock()
			return eventlog.ErrRefused
		}
		l.load.appendFree[p] = free.Add(l.limits.AppendTime)
		pause = free.Sub(now) + l.limits.AppendTime
	}
	l.mu.Unlock()
	return sleep(ctx, pause)
}

// sleep waits for d, or until ctx ends, and then returns its error.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
