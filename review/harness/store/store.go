// Package store is a small stand-in of the platform's metadata store: a log with keyed topics, kept in memory, over the
// HTTP interface that PROTOCOL.md describes. It injects no faults of its own.
package store

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the store.
const (
	groupParts   = 12
	newestItems  = 500
	maxBatch     = 1 << 20
	heartbeats   = 3 * 1200 * time.Millisecond // a server entry goes after three heartbeats without a write
	serversTopic = "keyed.servers"
)

type record struct {
	key   string
	value []byte
	at    time.Time
}

type item struct {
	Key    string
	Value  []byte
	Offset int64 `json:"offset"`
}

type partition struct {
	records []record
	newest  map[string]int64 // offset of the newest record of each key
	grown   chan struct{}    // closed and replaced at each append
}

// Store is the store. It is an http.Handler.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	members    map[string]map[string]time.Time // by group, the time at which each place runs out
	topics     map[string]string               // by group
	generation int64
	mux        *http.ServeMux
}

// New returns an empty store, which drops entries of servers that stop writing.
func New() *Store {
	s := &Store{
		partitions: map[string]*partition{}, members: map[string]map[string]time.Time{}, topics: map[string]string{}, mux: http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /v1/log-append", s.append)
	s.mux.HandleFunc("GET /v1/log-read", s.read)
	s.mux.HandleFunc("GET /v1/log-newest", s.newest)
	s.mux.HandleFunc("POST /v1/log-join", s.join)
	s.mux.HandleFunc("GET /v1/log-owners", s.owners)
	go s.expireServers()
	return s
}

// ServeHTTP serves one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// partitionOf returns the partition that a call names. The lock is held.
func (s *Store) partitionOf(r *http.Request) *partition {
	return s.partition(r.URL.Query().Get("topic") + "/" + r.URL.Query().Get("part"))
}

func (s *Store) partition(name string) *partition {
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int64{}, grown: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) append(records []record) {
	for _, r := range records {
		r.at = time.Now()
		p.records = append(p.records, r)
		p.newest[r.key] = int64(len(p.records) - 1)
	}
	close(p.grown)
	p.grown = make(chan struct{})
}

// Put writes one record as the operator does.
func (s *Store) Put(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic + "/0").append([]record{{key: key, value: data}})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var records []record
	for len(body) >= 5 {
		n := int(binary.BigEndian.Uint32(body))
		data := body[4 : 4+n]
		end := 1 + int(data[0])
		records = append(records, record{key: string(data[1:end]), value: append([]byte(nil), data[end:]...)})
		body = body[4+n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(r)
	if at := r.URL.Query().Get("at"); at != "" {
		if n, _ := strconv.ParseInt(at, 10, 64); n != int64(len(p.records)) {
			respond(w, http.StatusPreconditionFailed, map[string]int{"end": len(p.records)})
			return
		}
	}
	first := len(p.records)
	p.append(records)
	respond(w, http.StatusOK, map[string]int{"offset": first, "end": len(p.records)})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("From"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(ms) * time.Millisecond)
	s.mu.Lock()
	p := s.partitionOf(r)
	for waiting := true; waiting && int64(len(p.records)) <= from; {
		grown := p.grown
		s.mu.Unlock()
		select {
		case <-grown:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		s.mu.Lock()
	}
	data := binary.BigEndian.AppendUint64(nil, uint64(len(p.records)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for i := from; i < int64(len(p.records)) && len(data) < maxBatch; i++ {
		rec := p.records[i]
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(rec.key)+len(rec.value)))
		data = append(append(append(data, byte(len(rec.key))), rec.key...), rec.value...)
	}
	s.mu.Unlock()
	_, _ = w.Write(data)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("AfterRev")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(r)
	var keys []string
	for key, offset := range p.newest {
		if key > after && len(p.records[offset].value) > 0 {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > newestItems
	keys = keys[:min(len(keys), newestItems)]
	items := []item{}
	for _, key := range keys {
		offset := p.newest[key]
		items = append(items, item{Key: key, Value: p.records[offset].value, Offset: offset})
	}
	respond(w, http.StatusOK, map[string]any{"Items": items, "more": more, "end": len(p.records)})
}

func (s *Store) join(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Group  string   `json:"group"`
		Member string   `json:"member"`
		Topics []string `json:"topics"`
		TTLMs  int64    `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil || len(call.Topics) != 1 {
		respond(w, http.StatusBadRequest, map[string]string{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.members[call.Group] == nil {
		s.members[call.Group] = map[string]time.Time{}
	}
	if _, known := s.members[call.Group][call.Member]; !known {
		s.generation++
	}
	s.members[call.Group][call.Member] = time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)
	s.topics[call.Group] = call.Topics[0]
	rows := [][]any{}
	for number, member := range s.dealt(call.Group) {
		if member == call.Member {
			rows = append(rows, []any{call.Topics[0], number, 0})
		}
	}
	respond(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": call.TTLMs, "parts": rows})
}

// dealt returns the member that has each partition. The lock is held.
func (s *Store) dealt(group string) []string {
	var names []string
	for name, until := range s.members[group] {
		if time.Now().After(until) {
			delete(s.members[group], name)
			s.generation++
			continue
		}
		names = append(names, name)
	}
	sort.Strings(names)
	owners := []string{}
	for i := range groupParts {
		if len(names) > 0 {
			owners = append(owners, names[i%len(names)])
		}
	}
	return owners
}

func (s *Store) owners(w http.ResponseWriter, r *http.Request) {
	group := r.URL.Query().Get("group")
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := [][]any{}
	for number, member := range s.dealt(group) {
		rows = append(rows, []any{s.topics[group], number, member, 0})
	}
	respond(w, http.StatusOK, map[string]any{"parts": rows})
}

// expireServers deletes the entries of servers that have not written for three heartbeats.
func (s *Store) expireServers() {
	for range time.Tick(200 * time.Millisecond) {
		s.mu.Lock()
		p := s.partition(serversTopic + "/0")
		for key, offset := range p.newest {
			if rec := p.records[offset]; len(rec.value) > 0 && time.Since(rec.at) > heartbeats {
				p.append([]record{{key: key}})
			}
		}
		s.mu.Unlock()
	}
}
