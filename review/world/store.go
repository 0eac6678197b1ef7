package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store stands in for the platform's store: a log with topics, of which the keyed ones keep the newest record of each key.
type store struct {
	listener net.Listener
	server   *http.Server

	mu         sync.Mutex
	grown      chan struct{} // closed and replaced at each append
	partitions map[string][]storedRecord
	turns      map[string]*sync.Mutex
	generation int64
	members    map[string]groupMember // by group and name
}

type storedRecord struct {
	key   string
	value []byte
}

type groupMember struct {
	group, name string
	topics      []string
	until       time.Time
}

// Times of the store, as the sheets and the settings have them.
const (
	answerTime = 4 * time.Millisecond
	appendTime = 2 * time.Millisecond // of a partition, which takes its appends in turn
)

// groupPartitions is how many partitions of a topic are dealt to a group.
const groupPartitions = 12

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, grown: make(chan struct{}), partitions: map[string][]storedRecord{}, turns: map[string]*sync.Mutex{}, members: map[string]groupMember{}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.serveAppend)
	mux.HandleFunc("GET /v1/log-read", s.serveRead)
	mux.HandleFunc("GET /v1/log-newest", s.serveNewest)
	mux.HandleFunc("POST /v1/log-join", s.serveJoin)
	mux.HandleFunc("GET /v1/log-owners", s.serveOwners)
	s.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(answerTime)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

func (s *store) close() { _ = s.server.Close() }

// put writes the newest record of a key to partition 0 of a keyed topic; nil deletes the key.
func (s *store) put(topic, key string, document any) {
	var value []byte
	if document != nil {
		value, _ = json.Marshal(document)
	}
	s.append(topic+"/0", []storedRecord{{key, value}}, -1)
}

// append appends records unless the partition does not end at the offset at, if that is not negative.
func (s *store) append(partition string, records []storedRecord, at int64) (end int64, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end = int64(len(s.partitions[partition])); at >= 0 && at != end {
		return end, false
	}
	s.partitions[partition] = append(s.partitions[partition], records...)
	close(s.grown)
	s.grown = make(chan struct{})
	return end + int64(len(records)), true
}

// turnOf returns the lock that the appends to a partition take in turn.
func (s *store) turnOf(partition string) *sync.Mutex {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.turns[partition] == nil {
		s.turns[partition] = &sync.Mutex{}
	}
	return s.turns[partition]
}

func partitionOf(r *http.Request) string {
	q := r.URL.Query()
	return q.Get("topic") + "/" + q.Get("part")
}

func respondJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

const lengthBytes = 4

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	keyed := strings.HasPrefix(r.URL.Query().Get("topic"), "keyed.")
	var records []storedRecord
	for len(body) >= lengthBytes {
		n := int(binary.BigEndian.Uint32(body))
		data := body[lengthBytes : lengthBytes+n]
		body = body[lengthBytes+n:]
		if !keyed {
			records = append(records, storedRecord{value: data})
			continue
		}
		keyEnd := 1 + int(data[0])
		records = append(records, storedRecord{key: string(data[1:keyEnd]), value: data[keyEnd:]})
	}
	turn := s.turnOf(partitionOf(r))
	turn.Lock()
	defer turn.Unlock()
	time.Sleep(appendTime)
	at := int64(-1)
	if text := r.URL.Query().Get("at"); text != "" {
		at, _ = strconv.ParseInt(text, 10, 64)
	}
	end, done := s.append(partitionOf(r), records, at)
	if !done {
		respondJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": end})
		return
	}
	respondJSON(w, http.StatusOK, map[string]int64{"offset": end - int64(len(records)), "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("From"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("WaitMs"))
	keyed := strings.HasPrefix(q.Get("topic"), "keyed.")
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		all, grown := s.partitions[partitionOf(r)], s.grown
		s.mu.Unlock()
		if from < int64(len(all)) {
			writeBatch(w, all, from, keyed)
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			writeBatch(w, all, from, keyed)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeBatch(w http.ResponseWriter, all []storedRecord, from int64, keyed bool) {
	data := binary.BigEndian.AppendUint64(nil, uint64(len(all)))
	data = binary.BigEndian.AppendUint64(data, 0)
	for _, rec := range all[min(from, int64(len(all))):] {
		var record []byte
		if keyed {
			record = append(record, byte(len(rec.key)))
			record = append(record, rec.key...)
		}
		record = append(record, rec.value...)
		data = binary.BigEndian.AppendUint32(data, uint32(len(record)))
		data = append(data, record...)
	}
	_, _ = w.Write(data)
}

// pageRecords bounds a page of the newest records.
const pageRecords = 500

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	all, after := s.partitions[partitionOf(r)], r.URL.Query().Get("AfterRev")
	newest := map[string]int{}
	for i, rec := range all {
		newest[rec.key] = i
	}
	var keys []string
	for key, i := range newest {
		if len(all[i].value) > 0 && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > pageRecords
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), pageRecords)] {
		i := newest[key]
		items = append(items, map[string]any{"Key": key, "Value": base64.StdEncoding.EncodeToString(all[i].value), "offset": i})
	}
	respondJSON(w, http.StatusOK, map[string]any{"Items": items, "more": more, "end": len(all)})
}

func (s *store) serveJoin(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Group      string   `json:"group"`
		Member     string   `json:"member"`
		Topics     []string `json:"topics"`
		TTLMs      int64    `json:"ttl_ms"`
		Generation int64    `json:"generation"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetMembers()
	id := call.Group + "/" + call.Member
	if _, known := s.members[id]; !known {
		s.generation++
	}
	s.members[id] = groupMember{call.Group, call.Member, call.Topics, time.Now().Add(time.Duration(call.TTLMs) * time.Millisecond)}
	rows := [][]any{}
	for _, o := range s.owners(call.Group) {
		if o[2] == call.Member {
			rows = append(rows, []any{o[0], o[1], 0})
		}
	}
	respondJSON(w, http.StatusOK, map[string]any{"generation": s.generation, "ttl_ms": call.TTLMs, "parts": rows})
}

func (s *store) serveOwners(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetMembers()
	respondJSON(w, http.StatusOK, map[string]any{"parts": s.owners(r.URL.Query().Get("group"))})
}

func (s *store) forgetMembers() {
	for id, m := range s.members {
		if time.Now().After(m.until) {
			delete(s.members, id)
			s.generation++
		}
	}
}

// owners deals the partitions of a group's topics evenly: rows of topic, partition, member and offset.
func (s *store) owners(group string) [][]any {
	rows := [][]any{}
	byTopic := map[string][]string{}
	for _, m := range s.members {
		if m.group != group {
			continue
		}
		for _, topic := range m.topics {
			byTopic[topic] = append(byTopic[topic], m.name)
		}
	}
	for topic, names := range byTopic {
		slices.Sort(names)
		for part := range groupPartitions {
			rows = append(rows, []any{topic, part, names[part%len(names)], 0})
		}
	}
	return rows
}
