package balance

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/lib/rendezvous"
)

// Load pattern: many requests share the same parts for some seconds, more than one target can read prompts for. Each
// host sees a few of them. They are spread over as many of the targets that rank first for these parts as their rate
// needs, the same ones at all hosts, since each further target has to read the shared parts once.

// Parameters of hot keys.
const (
	// keyDecay is the time in which the weight of past requests falls to 1/e in the rate of a key.
	keyDecay = 2 * time.Second
	// keyShare is the part of a target's time that one key may take; it leaves the rest to the target's other keys.
	keyShare = 0.25
	// spreadHysteresis is how far, in targets, the need has to fall before fewer targets get the key.
	spreadHysteresis = 1.0
	minHotRequests   = 6.0  // recent requests at all hosts of a summary that show a key's rate
	keysTracked      = 1024 // at each host
	keysOffered      = 8    // by each host
	keysSummarised   = 16   // the hottest of all hosts'
	minKeyRequests   = 0.2  // recent requests of a key that is tracked
	keyMaxAge        = 5 * time.Second
	maxRate          = 1e12 // that is believed, in requests or tokens
)

// Key identifies the shared parts of prompts of one service.
type Key uint64

// KeyOf returns the key of shared parts.
func KeyOf(service, sharedParts string) Key {
	return Key(rendezvous.NewKey(sharedParts).Score(service))
}

// String returns the key in hexadecimal.
func (k Key) String() string { return fmt.Sprintf("%016x", uint64(k)) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) error {
	v, err := strconv.ParseUint(string(text), 16, 64)
	*k = Key(v)
	return err
}

// KeyRate is how much is requested of a key: sums over recent requests that decay with keyDecay.
type KeyRate struct {
	Requests float64 `json:"n"`
	Tokens   float64 `json:"tokens"` // of the prompts, without shared parts
}

// tokensPerSecond returns the rate at which tokens have to be read.
func (r KeyRate) tokensPerSecond() float64 { return r.Tokens / keyDecay.Seconds() }

// check reports rates that no host measures.
func (r KeyRate) check() error {
	if r.Requests < 0 || r.Requests > maxRate || r.Tokens < 0 || r.Tokens > maxRate {
		return errors.New("rate out of range")
	}
	return nil
}

// keyCounter is a KeyRate and when it was computed.
type keyCounter struct {
	KeyRate
	at time.Time
}

func (c *keyCounter) decay(now time.Time) {
	kept := math.Exp(-now.Sub(c.at).Seconds() / keyDecay.Seconds())
	c.Requests *= kept
	c.Tokens *= kept
	c.at = now
}

// keyCounters counts the requests of one host by key.
type keyCounters map[Key]*keyCounter

func (k keyCounters) record(key Key, tokens float64, now time.Time) {
	c := k[key]
	if c == nil {
		if len(k) >= keysTracked {
			return
		}
		c = &keyCounter{at: now}
		k[key] = c
	}
	c.decay(now)
	c.Requests++
	c.Tokens += tokens
}

// hottest returns the rates of the hottest keys, and forgets keys that are requested no more.
func (k keyCounters) hottest(now time.Time) map[Key]KeyRate {
	rates := map[Key]KeyRate{}
	for key, c := range k {
		c.decay(now)
		if c.Requests < minKeyRequests {
			delete(k, key)
			continue
		}
		rates[key] = c.KeyRate
	}
	return hottest(rates, keysOffered)
}

// hottest returns the n keys that need the most tokens read.
func hottest(rates map[Key]KeyRate, n int) map[Key]KeyRate {
	if len(rates) <= n {
		return rates
	}
	keys := slices.SortedFunc(maps.Keys(rates), func(a, b Key) int {
		return cmp.Or(cmp.Compare(rates[b].Tokens, rates[a].Tokens), cmp.Compare(a, b))
	})
	top := make(map[Key]KeyRate, n)
	for _, key := range keys[:n] {
		top[key] = rates[key]
	}
	return top
}

// hotKey is a key of the last summary.
type hotKey struct {
	tokensPerSecond float64 // at all hosts of the fleet
	targets         int     // over which it is spread
	at              time.Time
}

// spread returns over how many targets a key is spread whose requests keep a target busy for the given part of its
// time; before is how many there are now.
func spread(busy float64, before int) int {
	exact := busy / keyShare
	if needed := max(int(math.Ceil(exact)), 1); needed > before || exact < float64(before)-spreadHysteresis {
		return needed
	}
	return before
}

// pace estimates how long targets take to read a token, from requests' times to the first byte. It includes the
// waiting that is usual at the service's targets.
type pace struct {
	secondsPerToken float64 // estimated median
}

const paceStep = 0.03 // relative change of the estimate for each request

func (p *pace) record(seconds, tokens float64) {
	sample := seconds / tokens
	switch {
	case p.secondsPerToken == 0:
		p.secondsPerToken = sample
	case sample > p.secondsPerToken:
		p.secondsPerToken *= 1 + paceStep
	default:
		p.secondsPerToken *= 1 - paceStep
	}
}

// RecordFirstByte records how long a target took to read a prompt and begin its response. Short prompts should be left
// out: they show the target's other delays.
func (e *Estimates) RecordFirstByte(service string, tokens float64, latency time.Duration) {
	if tokens <= 0 || latency <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.paces[service]
	if p == nil {
		p = &pace{}
		e.paces[service] = p
	}
	p.record(latency.Seconds(), tokens)
}

// ReadTime returns how long targets of a service usually take to read a prompt, 0 if that isn't known yet.
func (e *Estimates) ReadTime(service string, tokens float64) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.paces[service]
	if p == nil {
		return 0
	}
	return time.Duration(p.secondsPerToken * tokens * float64(time.Second))
}

// RecordRequest records a request that is sent to a target; tokens are those of its prompt outside the shared parts.
func (e *Estimates) RecordRequest(service, sharedParts string, tokens float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ownKeys.record(KeyOf(service, sharedParts), max(tokens, 0), now)
}

// Targets returns over how many targets the requests with the same shared parts are spread: 1 for nearly all.
func (e *Estimates) Targets(service, sharedParts string, now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.hotKeys) == 0 {
		return 1
	}
	key := KeyOf(service, sharedParts)
	h := e.hotKeys[key]
	if h == nil || now.Sub(h.at) > keyMaxAge || e.paces[service] == nil {
		return 1
	}
	targets := spread(h.tokensPerSecond*e.paces[service].secondsPerToken, h.targets)
	if h.targets == 1 && targets > 1 {
		log.WithFields(log.Fields{
			"service": service, "key": key, "targets": targets, "tokens_per_second": int(h.tokensPerSecond),
		}).Info("shared parts are requested more than one target can serve")
	}
	h.targets = targets
	return targets
}

// KeysSpread counts the keys that are spread over several targets.
func (e *Estimates) KeysSpread(now time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, h := range e.hotKeys {
		if h.targets > 1 && now.Sub(h.at) <= keyMaxAge {
			n++
		}
	}
	return n
}

// keysOfHosts sums up the offers of keys. The lock is held.
func (e *Estimates) keysOfHosts() map[Key]KeyRate {
	sums := map[Key]KeyRate{}
	for _, o := range e.offers {
		for key, rate := range o.keys {
			sum := sums[key]
			sum.Requests += rate.Requests
			sum.Tokens += rate.Tokens
			sums[key] = sum
		}
	}
	return hottest(sums, keysSummarised)
}

// applyKeys replaces the rates of the keys by those of a summary of some hosts; a fleet has more. The lock is held.
func (e *Estimates) applyKeys(keys map[Key]KeyRate, hosts int, now time.Time) {
	scale := max(float64(e.fleetHosts())/float64(max(hosts, 1)), 1)
	for key, rate := range keys {
		h := e.hotKeys[key]
		if h == nil && rate.Requests < minHotRequests {
			continue
		}
		if h == nil {
			h = &hotKey{targets: 1}
			e.hotKeys[key] = h
		}
		h.tokensPerSecond, h.at = rate.tokensPerSecond()*scale, now
	}
	for key, h := range e.hotKeys {
		if now.Sub(h.at) > keyMaxAge {
			delete(e.hotKeys, key)
		}
	}
}
