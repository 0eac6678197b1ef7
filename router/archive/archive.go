// Package archive keeps a second copy of the topics that a host needs to start, in
// a topic of the product's own. The log may be out of reach in part: a host that
// starts then, with no other host to ask, takes the copy. A copy is old, not wrong.
package archive

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/patience"
	"maststage.dev/lib/wait"
	"maststage.dev/router/eventlog"
	"maststage.dev/router/recordpack"
	"maststage.dev/router/replica"
)

// Options configure an Archive.
type Options struct {
	Log            eventlog.Log
	Topic          string
	Replicas       map[string]*replica.Replica // by topic
	WriteInterval  time.Duration               // between two copies of a topic
	FallbackDelay  time.Duration               // a start waits so long for the topics themselves
	CallTimeout    time.Duration               // of a call, to its first bytes and between them
	MaxRecordBytes int                         // of a copy
	// Partitions is how many partitions of the topic hold the same copies, since the
	// log may be out of reach by partitions.
	Partitions int
	// IsWriter says whether this host is the one that writes copies.
	IsWriter func() bool
}

// Archive writes copies, and reads them at a start.
type Archive struct {
	opts    Options
	written map[string]int64 // end of the last copy of a topic that this host wrote
}

// New makes an archive; Run serves it.
func New(opts Options) *Archive { return &Archive{opts: opts, written: map[string]int64{}} }

// snapshot is the value of a copy's record.
type snapshot struct {
	End    int64  `json:"end"`
	Packed []byte `json:"packed"` // the newest record of each key, by recordpack
}

func (a *Archive) partition(number int) eventlog.Partition {
	return eventlog.Partition{Topic: a.opts.Topic, Number: number}
}

// Run reads the copies if the topics can't be read at the start, and then writes
// copies, until ctx ends.
func (a *Archive) Run(ctx context.Context) {
	wait.For(ctx, a.opts.FallbackDelay)
	for pause := a.opts.FallbackDelay; ctx.Err() == nil && len(a.missing()) > 0; pause = min(2*pause, mostPause) {
		if err := a.load(ctx); err != nil {
			log.WithError(err).Debug("copies of topics can't be read")
		}
		wait.For(ctx, wait.Jitter(pause))
	}
	for ctx.Err() == nil {
		if a.opts.IsWriter() {
			a.writeAll(ctx)
		}
		wait.For(ctx, a.opts.WriteInterval)
	}
}

// mostPause is the longest pause between two tries to read the copies: each reads all of them, at a
// log that may be busy with just that.
const mostPause = 3 * time.Second

// missing lists the topics that this host has nothing of.
func (a *Archive) missing() []string {
	var topics []string
	for topic, c := range a.opts.Replicas {
		if !c.Loaded() {
			topics = append(topics, topic)
		}
	}
	return topics
}

// longestLoad bounds the reading of copies whose bytes keep coming.
const longestLoad = 10 * time.Second

// load takes the copies of missing topics from the partitions that answer. Once nothing is
// missing it leaves the others: they hold the same, and cost the link as much again.
func (a *Archive) load(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make([]error, a.opts.Partitions)
	var all sync.WaitGroup
	for i := range errs {
		all.Go(func() {
			errs[i] = a.loadFrom(ctx, a.partition(i))
			if len(a.missing()) == 0 {
				cancel()
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func (a *Archive) loadFrom(ctx context.Context, p eventlog.Partition) error {
	c, cancel := patience.New(ctx, patience.Limits{First: a.opts.CallTimeout, Silence: a.opts.CallTimeout, Most: longestLoad})
	defer cancel()
	page, err := a.opts.Log.Newest(c, p, "")
	if err != nil {
		return err
	}
	for _, topic := range a.missing() {
		for _, rec := range page.Records {
			if rec.Key != topic {
				continue
			}
			if err := a.take(topic, rec.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *Archive) take(topic string, value []byte) error {
	var s snapshot
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("copy of %s: %w", topic, err)
	}
	records, err := recordpack.Unpack(s.Packed)
	if err != nil {
		return fmt.Errorf("copy of %s: %w", topic, err)
	}
	a.opts.Replicas[topic].MergeNewest(records, s.End)
	log.WithFields(log.Fields{"topic": topic, "records": len(records), "end": s.End}).Warn("started from a copy of a topic")
	return nil
}

func (a *Archive) writeAll(ctx context.Context) {
	for topic, c := range a.opts.Replicas {
		if !c.Loaded() || c.End() == a.written[topic] {
			continue
		}
		if err := a.write(ctx, topic, c); err != nil {
			log.WithField("topic", topic).WithError(err).Warn("copy of a topic not written")
		}
	}
}

// longestWrite bounds the append of a copy: a quarter of a megabyte, the most that a record
// may have, at a tenth of a link of 10 Mbit/s.
const longestWrite = 3 * time.Second

// write appends a copy of a topic, without its deleted keys.
func (a *Archive) write(ctx context.Context, topic string, c *replica.Replica) error {
	part, _ := c.UpdateSince(0)
	var alive []eventlog.Record
	for _, r := range part.Records {
		if len(r.Value) > 0 {
			alive = append(alive, r)
		}
	}
	packed, err := recordpack.Pack(alive)
	if err != nil {
		return err
	}
	value, err := json.Marshal(snapshot{End: part.End, Packed: packed})
	if err != nil {
		return err
	}
	if len(value) > a.opts.MaxRecordBytes {
		return fmt.Errorf("%d bytes are more than a record may have", len(value))
	}
	for i := range a.opts.Partitions {
		call, cancel := context.WithTimeout(ctx, longestWrite)
		_, failed := a.opts.Log.Append(call, a.partition(i), []eventlog.Record{{Key: topic, Value: value}})
		cancel()
		err = errors.Join(err, failed)
	}
	if err == nil {
		a.written[topic] = part.End
	}
	return err
}
