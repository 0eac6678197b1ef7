package streamversion

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/eventlog"
)

// Timing of a Past.
const (
	// useMemory is how long a stream may be in progress after its route was moved to another service, or the last target of
	// its version left. A host that has followed targets and configurations for longer knows all uses.
	useMemory = 60 * time.Second
	// lookInterval is the most time between two looks at what this host observes.
	lookInterval = 200 * time.Millisecond
	// readInterval is the mean time between two reads of the records, readRetry the time after a read that failed or that
	// did not tell this host what was before it.
	readInterval = 20 * time.Second
	readRetry    = time.Second
	// writeDelayPerHost spreads the writes of all hosts that observe a new use. Each reads the records before it writes, so
	// that few do.
	writeDelayPerHost = 5 * time.Millisecond
	// unknownSizeDelay spreads them until the number of hosts is known.
	unknownSizeDelay = 300 * time.Millisecond
	// maxUsesPerWrite bounds the records of one append, of some 200 bytes each.
	maxUsesPerWrite = 256
)

// PastOptions configure a Past.
type PastOptions struct {
	Log       eventlog.Log
	Partition eventlog.Partition // of a keyed topic, for this alone
	Timeout   time.Duration      // of a call to the log
	// Observe returns the versions of the targets at which streams may begin now, and the services of the present
	// configuration's routes; ok is false before this host has both. fresh says that these were confirmed to be the newest
	// of late.
	Observe func() (uses []Use, fresh, ok bool)
	// NewFleet reports whether hosts have just begun to use the log.
	NewFleet func() bool
	// EarlierBuilds reports whether there are hosts that keep no records of uses.
	EarlierBuilds func() bool
	Hosts         func() int // 0 before they are known
}

// Past knows at which services and versions streams in progress may have begun, also before this host started. Each use is
// a record in the log from when a host first observes it until one that follows targets and configurations has not observed
// it for useMemory. So a host that starts knows which versions have gone, though all others ended before. It is safe for
// concurrent use.
type Past struct {
	opts PastOptions
	wake chan struct{} // full: there may be something new to observe

	mu       sync.Mutex
	uses     map[Use]*useState
	services map[string][]string // by route, of uses
	versions map[string][]string // by service, of uses
	covers   bool                // see Covers
	missed   bool                // this host may have missed uses that were recorded; it has to read the records
	looked   time.Time           // when it last observed
	since    time.Time           // since when this host has followed targets and configurations; zero: it does not
	complete *completeRecord     // as read; nil: there is none
	era      int64               // of the log, as read
	read     bool                // the records have been read
	nextRead time.Time
	wanted   map[string]bool   // keys of the records that this host has to write or delete
	writeAt  time.Time         // when it does
	needed   map[Use]time.Time // since when streams have begun at uses that were not recorded
	needRead time.Time         // when records that streams wait for are read next
	recorded chan struct{}     // closed and replaced as more uses are recorded
}

// useState is what a host knows of a use.
type useState struct {
	observed time.Time // when this host last observed it; zero: never
	learned  time.Time // when it first read it
	recorded bool      // the log has a record of it
	lost     bool      // a log that was restored since lacks its record
}

// current reports whether this host observed the use within useMemory.
func (s *useState) current(now time.Time) bool {
	return !s.observed.IsZero() && now.Sub(s.observed) <= useMemory
}

// NewPast returns a Past that knows nothing; Run keeps it.
func NewPast(opts PastOptions) *Past {
	return &Past{opts: opts, wake: make(chan struct{}, 1), uses: map[Use]*useState{}, wanted: map[string]bool{}, needed: map[Use]time.Time{}, recorded: make(chan struct{})}
}

// Look has this host look at once whether there is something new to observe.
func (p *Past) Look() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Note notes uses that this host observes, before they can begin streams.
func (p *Past) Note(uses []Use) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(uses, time.Now())
}

func (p *Past) note(uses []Use, now time.Time) {
	added := false
	for _, u := range uses {
		s := p.uses[u]
		if s == nil {
			s = &useState{}
			p.uses[u], added = s, true
		}
		s.observed = now
	}
	if added {
		p.index()
	}
}

// index lists the uses by route and by service. The lock is held.
func (p *Past) index() {
	p.services, p.versions = map[string][]string{}, map[string][]string{}
	for u := range p.uses {
		if u.Route == "" {
			p.versions[u.Service] = append(p.versions[u.Service], u.Version)
		} else {
			p.services[u.Route] = append(p.services[u.Route], u.Service)
		}
	}
}

// Covers reports whether this host knows all services and versions at which streams in progress may have begun, up to when
// it last heard of targets and configurations.
func (p *Past) Covers() bool {
	p.mu.Lock()
	covers, missed := p.covers, p.missed
	p.mu.Unlock()
	return !missed && (covers || p.recordsCover())
}

// recordsCover reports whether the records that were read are complete.
func (p *Past) recordsCover() bool {
	newFleet, earlier := p.opts.NewFleet(), p.opts.EarlierBuilds()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.complete != nil {
		p.covers = p.covers || p.complete.Era >= p.era && !earlier
	} else {
		// A log that came back from a copy of its beginning looks new.
		p.covers = p.covers || p.read && p.era == 0 && newFleet && !earlier
	}
	return p.covers
}

// Followed reports whether this host has observed by itself all uses that streams in progress may have.
func (p *Past) Followed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.followed(time.Now())
}

func (p *Past) followed(now time.Time) bool { return !p.since.IsZero() && now.Sub(p.since) > useMemory }

// Services lists the services that streams of a route in progress may have begun at. The caller must not change it.
func (p *Past) Services(route string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clip(p.services[route])
}

// Versions lists the software versions that streams of a service in progress may have begun at. The caller must not change
// it.
func (p *Past) Versions(service string) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clip(p.versions[service])
}

// Run observes uses and keeps their records until ctx ends.
func (p *Past) Run(ctx context.Context) {
	timer := time.NewTimer(lookInterval)
	defer timer.Stop()
	for {
		p.step(ctx, time.Now())
		timer.Reset(p.pause(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-p.wake:
		}
	}
}

// pause returns the time until the next look, or until it is time to write.
func (p *Past) pause(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	pause := lookInterval
	if len(p.wanted) > 0 {
		pause = min(pause, p.writeAt.Sub(now))
	}
	if p.waited(now) {
		pause = min(pause, p.needRead.Sub(now))
	}
	if p.missed {
		pause = min(pause, p.nextRead.Sub(now))
	}
	return max(pause, 0)
}

// step observes, and reads and writes records if it is time to.
func (p *Past) step(ctx context.Context, now time.Time) {
	p.observe(now)
	write := p.mayWrite(now)
	if p.opts.Partition.Topic == "" || !write && !p.mayRead(now) {
		return
	}
	if !p.readRecords(ctx, now) || !write {
		return
	}
	for records := range slices.Chunk(p.missing(now), maxUsesPerWrite) {
		if err := p.append(ctx, records); err != nil {
			log.WithError(err).WithField("records", len(records)).Info("services and versions of streams not recorded, retrying")
			p.postpone(now.Add(readRetry))
			return
		}
		p.noteRecorded(records)
	}
	p.postpone(now.Add(readRetry))
}

// noteRecorded notes the uses among records that were appended.
func (p *Past) noteRecorded(records []eventlog.Record) {
	appended := map[string]bool{}
	for _, rec := range records {
		appended[rec.Key] = len(rec.Value) > 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for u, s := range p.uses {
		if appended[u.key()] {
			s.recorded, s.lost = true, false
		}
	}
	p.release()
}

// observe notes what this host observes, and forgets what no stream in progress can have begun at. Once it follows targets
// and configurations again after a gap, it has the records read: a use may have come and gone meanwhile.
func (p *Past) observe(now time.Time) {
	uses, fresh, ok := p.opts.Observe()
	delay := p.needDelay()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case !ok || !fresh:
		p.since = time.Time{}
	case p.since.IsZero() || now.Sub(p.looked) > lookTimeout:
		p.since = now
		if p.read {
			p.missed, p.nextRead = true, now.Add(rand.N(delay))
			p.Look()
		}
	}
	p.looked = now
	p.note(uses, now)
	for u, s := range p.uses {
		if !s.recorded && !s.lost && !s.current(now) {
			delete(p.uses, u)
			delete(p.needed, u)
			p.index()
		}
	}
	p.covers = p.covers || p.followed(now)
}

// mayWrite reports whether this host has records to write and it is time to.
func (p *Past) mayWrite(now time.Time) bool {
	delay := time.Duration(p.opts.Hosts()) * writeDelayPerHost
	if delay == 0 {
		delay = unknownSizeDelay
	}
	missing := p.missing(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	at := now.Add(rand.N(delay))
	for _, rec := range missing {
		if !p.wanted[rec.Key] && (len(p.wanted) == 0 || at.Before(p.writeAt)) {
			p.writeAt = at
		}
	}
	clear(p.wanted)
	for _, rec := range missing {
		p.wanted[rec.Key] = true
	}
	return len(missing) > 0 && !now.Before(p.writeAt)
}

// missing returns the records that the log should have and, as far as this host has read, has not; a record without a value
// deletes one. The record of completeness comes last.
func (p *Past) missing(now time.Time) (records []eventlog.Record) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.read {
		return nil
	}
	for u, s := range p.uses {
		last := s.observed
		if s.learned.After(last) {
			last = s.learned
		}
		switch {
		case !s.recorded:
			if s.lost || s.current(now) {
				records = append(records, encodeRecord(u.key(), u))
			}
		case p.followed(now) && now.Sub(last) > useMemory:
			records = append(records, eventlog.Record{Key: u.key()})
		}
	}
	if p.covers && !p.missed && (p.complete == nil || p.complete.Era < p.era) {
		records = append(records, encodeRecord(completeKey, completeRecord{Era: p.era}))
	}
	return records
}

func (p *Past) append(ctx context.Context, records []eventlog.Record) error {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	_, err := p.opts.Log.Append(ctx, p.opts.Partition, records)
	return err
}

// postpone has the records read, and written if they are still missing, not before a time.
func (p *Past) postpone(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nextRead, p.writeAt = at, at
}

// readRecords reads the records and reports whether it could.
func (p *Past) readRecords(ctx context.Context, now time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, p.opts.Timeout)
	defer cancel()
	var records []eventlog.Record
	after := ""
	for {
		page, err := p.opts.Log.Newest(ctx, p.opts.Partition, after)
		if err != nil {
			p.postpone(now.Add(readRetry))
			return false
		}
		records = append(records, page.Records...)
		if !page.More || len(page.Records) == 0 {
			p.apply(records, page.End.Era, now)
			return true
		}
		after = page.Records[len(page.Records)-1].Key
	}
}

// apply applies the records as they were read.
func (p *Past) apply(records []eventlog.Record, era int64, now time.Time) {
	defer p.recordsCover()
	p.mu.Lock()
	defer p.mu.Unlock()
	restored := p.read && era > p.era
	for _, s := range p.uses {
		s.lost = s.lost || restored && s.recorded
		s.recorded = false
	}
	p.read, p.missed, p.era, p.complete = true, false, era, nil
	for _, rec := range records {
		p.applyRecord(rec, now)
	}
	p.index()
	p.release()
	p.nextRead = now.Add(readInterval/2 + rand.N(readInterval))
	if !p.covers {
		p.nextRead = now.Add(readRetry)
	}
}

func (p *Past) applyRecord(rec eventlog.Record, now time.Time) {
	if len(rec.Value) == 0 {
		return
	}
	if rec.Key == completeKey {
		complete := &completeRecord{}
		if err := json.Unmarshal(rec.Value, complete); err != nil {
			logInvalid(rec.Key, err)
			return
		}
		p.complete = complete
		return
	}
	var u Use
	if err := json.Unmarshal(rec.Value, &u); err != nil || u.key() != rec.Key {
		logInvalid(rec.Key, err)
		return
	}
	s := p.uses[u]
	if s == nil {
		s = &useState{learned: now}
		p.uses[u] = s
	}
	s.recorded, s.lost = true, false
}

func logInvalid(key string, err error) {
	log.WithField("key", key).WithError(err).Warn("ignoring an invalid record of where streams began")
}
