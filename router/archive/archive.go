// Package archive keeps snapshots of the topics that a host needs to start, in a topic of its own. The
// log may be partly unreachable: a host that starts then and has no other host to ask loads the
// snapshots. A snapshot may be out of date, never wrong.
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
	WriteInterval  time.Duration               // between two snapshots of a topic
	FallbackDelay  time.Duration               // wait for the topics themselves before snapshots are loaded
	CallTimeout    time.Duration               // until the first bytes of a response, and between bytes
	MaxRecordBytes int                         // bound on the record of a snapshot
	// Partitions is how many partitions of the topic hold the same snapshots, since single partitions
	// may be unreachable.
	Partitions int
	// MayLoad reports whether snapshots may be loaded now. nil: always.
	MayLoad func() bool
	// IsWriter reports whether this host is the one that writes snapshots.
	IsWriter func() bool
}

// Archive writes snapshots, and loads them at the start of a host.
type Archive struct {
	opts    Options
	written map[string]eventlog.Position // end of the last snapshot that this host wrote, by topic
}

// New returns an archive; Run operates it.
func New(opts Options) *Archive { return &Archive{opts: opts, written: map[string]eventlog.Position{}} }

// snapshot is the value of a record that holds a snapshot.
type snapshot struct {
	Era    int64  `json:"era,omitempty"` // of the log, as it was written
	End    int64  `json:"end"`
	Packed []byte `json:"packed"` // the newest record of each key, by recordpack
}

func (a *Archive) partition(number int) eventlog.Partition {
	return eventlog.Partition{Topic: a.opts.Topic, Number: number}
}

// Run loads the snapshots if the topics can't be read at the start, and then writes snapshots until
// ctx ends.
func (a *Archive) Run(ctx context.Context) {
	wait.For(ctx, a.opts.FallbackDelay)
	for pause := a.opts.FallbackDelay; ctx.Err() == nil && len(a.unloadedTopics()) > 0; pause = min(2*pause, maxLoadDelay) {
		if a.opts.MayLoad == nil || a.opts.MayLoad() {
			if err := a.load(ctx); err != nil {
				log.WithError(err).Debug("cannot load snapshots of topics")
			}
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

// maxLoadDelay is the maximum pause between two attempts to load the snapshots: each attempt reads all
// of them from a log that may be overloaded by such reads.
const maxLoadDelay = 3 * time.Second

// unloadedTopics lists the topics that this host has not loaded.
func (a *Archive) unloadedTopics() []string {
	var topics []string
	for topic, source := range a.opts.Replicas {
		if !source.Loaded() {
			topics = append(topics, topic)
		}
	}
	return topics
}

// maxLoadTime bounds a load that keeps making progress.
const maxLoadTime = 10 * time.Second

// load restores unloaded topics from the partitions that respond. Once none is left it cancels the
// other reads, which return the same and would use as much of the link again.
func (a *Archive) load(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	errs := make([]error, a.opts.Partitions)
	var all sync.WaitGroup
	for i := range errs {
		all.Go(func() {
			errs[i] = a.loadFrom(ctx, a.partition(i))
			if len(a.unloadedTopics()) == 0 {
				cancel()
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

func (a *Archive) loadFrom(ctx context.Context, p eventlog.Partition) error {
	c, cancel := patience.New(ctx, patience.Limits{First: a.opts.CallTimeout, Silence: a.opts.CallTimeout, Most: maxLoadTime})
	defer cancel()
	page, err := a.opts.Log.Newest(c, p, "")
	if err != nil {
		return err
	}
	for _, topic := range a.unloadedTopics() {
		for _, rec := range page.Records {
			if rec.Key != topic {
				continue
			}
			if err := a.restore(topic, rec.Value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (a *Archive) restore(topic string, value []byte) error {
	var s snapshot
	if err := json.Unmarshal(value, &s); err != nil {
		return fmt.Errorf("snapshot of topic %s: %w", topic, err)
	}
	records, err := recordpack.Unpack(s.Packed, s.Era)
	if err != nil {
		return fmt.Errorf("snapshot of topic %s: %w", topic, err)
	}
	a.opts.Replicas[topic].MergeNewest(records, eventlog.Position{Era: s.Era, Offset: s.End})
	log.WithFields(log.Fields{"topic": topic, "records": len(records), "era": s.Era, "end": s.End}).Warn("started from a snapshot of a topic")
	return nil
}

func (a *Archive) writeAll(ctx context.Context) {
	for topic, source := range a.opts.Replicas {
		if !source.Loaded() || source.End() == a.written[topic] {
			continue
		}
		if err := a.write(ctx, topic, source); err != nil {
			log.WithField("topic", topic).WithError(err).Warn("cannot write snapshot of a topic")
		}
	}
}

// writeTimeout bounds the append of a snapshot: a quarter of a megabyte, the maximum size of a record,
// at a tenth of a link of 10 Mbit/s.
const writeTimeout = 3 * time.Second

// write appends a snapshot of a topic, without its tombstones.
func (a *Archive) write(ctx context.Context, topic string, source *replica.Replica) error {
	update, _ := source.UpdateSince(eventlog.Position{})
	var alive []eventlog.Record
	for _, r := range update.Records {
		if len(r.Value) > 0 {
			alive = append(alive, r)
		}
	}
	packed, err := recordpack.Pack(alive)
	if err != nil {
		return err
	}
	value, err := json.Marshal(snapshot{Era: update.End.Era, End: update.End.Offset, Packed: packed})
	if err != nil {
		return err
	}
	if len(value) > a.opts.MaxRecordBytes {
		return fmt.Errorf("snapshot has %d bytes, more than a record may hold", len(value))
	}
	for i := range a.opts.Partitions {
		call, cancel := context.WithTimeout(ctx, writeTimeout)
		_, failed := a.opts.Log.Append(call, a.partition(i), []eventlog.Record{{Key: topic, Value: value}})
		cancel()
		err = errors.Join(err, failed)
	}
	if err == nil {
		a.written[topic] = update.End
	}
	return err
}
