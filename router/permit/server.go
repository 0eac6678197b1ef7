package permit

import (
	"bufio"
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"
)

// Path is where hosts accept sessions.
const Path = "/fleet/permits"

// Names in the call that opens a session.
const (
	protocol   = "maststage-permits"
	headerKey  = "Maststage-Permits-Key"
	headerHost = "Maststage-Permits-Host"
)

// message is what a host sends to a scheduler, a line of JSON each.
type message struct {
	Op      string   `json:"op"`
	ID      uint64   `json:"id"`
	Service string   `json:"service,omitempty"`
	Ask     *Request `json:"ask,omitempty"`
	Target  *Target  `json:"target,omitempty"` // of a permit that the host uses
	Result  Result   `json:"result,omitempty"`
}

// Bounds of a line. A request names all targets of its service.
const (
	maxMessageBytes = 1 << 20
	maxAnswerBytes  = 64 << 10
)

// Operations of a message.
const (
	opAsk  = "ask"
	opKeep = "keep" // a permit of an earlier session is in use
	opEnd  = "end"  // of a permit, or of a request that waits
)

// answer is what a scheduler sends back.
type answer struct {
	ID uint64 `json:"id"`
	Reply
}

// Server schedules permits for other hosts and this one.
type Server struct {
	key string // that other hosts have to present

	mu       sync.Mutex
	services map[string]*scheduled
	sessions map[net.Conn]bool
}

// scheduled is a service's scheduler and its timer.
type scheduled struct {
	*scheduler
	timer *time.Timer
}

// NewServer returns a Server.
func NewServer(key string) *Server {
	return &Server{key: key, services: map[string]*scheduled{}, sessions: map[net.Conn]bool{}}
}

// InUse counts the permits that are in use.
func (s *Server) InUse() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, service := range s.services {
		n += len(service.held)
	}
	return n
}

// Close ends all sessions.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.sessions {
		_ = c.Close()
	}
}

// serviceOf returns a service's scheduler. The lock is held.
func (s *Server) serviceOf(name string, now time.Time) *scheduled {
	service := s.services[name]
	if service == nil {
		service = &scheduled{scheduler: newScheduler(now)}
		service.timer = time.AfterFunc(time.Hour, func() { s.tick(name) })
		s.services[name] = service
	}
	return service
}

// tick advances a service at its time.
func (s *Server) tick(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	service, now := s.services[name], time.Now()
	if service == nil {
		return
	}
	service.advance(now)
	s.schedule(name, service, now)
}

// schedule sets a service's timer, or forgets the service. The lock is held.
func (s *Server) schedule(name string, service *scheduled, now time.Time) {
	if at, ok := service.next(now); ok {
		service.timer.Reset(time.Until(at))
		return
	}
	if service.forget(now) {
		service.timer.Stop()
		delete(s.services, name)
		return
	}
	service.timer.Reset(forgetAfter)
}

// handle handles a message of a host; reply is called for each answer and must not block.
func (s *Server) handle(host string, m message, reply func(answer)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	name := m.Service
	service, key := s.serviceOf(name, now), permitKey{host, m.ID}
	switch {
	case m.Op == opAsk && m.Ask != nil:
		service.ask(key, *m.Ask, now, func(r Reply) { reply(answer{m.ID, r}) })
	case m.Op == opKeep && m.Target != nil:
		service.keep(key, *m.Target, now)
	case m.Op == opEnd:
		service.end(key, m.Result, now)
	}
	s.schedule(name, service, now)
}

// lost notes that a host's session ended.
func (s *Server) lost(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, service := range s.services {
		service.lost(host, now)
		s.schedule(name, service, now)
	}
}

// answerQueue bounds the answers that wait for one host. A host that doesn't read them loses its session.
const answerQueue = 4096

// ServeHTTP serves the session of another host.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	host := r.Header.Get(headerHost)
	if subtle.ConstantTimeCompare([]byte(r.Header.Get(headerKey)), []byte(s.key)) != 1 || s.key == "" || host == "" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer c.Close()
	s.mu.Lock()
	s.sessions[c] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.sessions, c)
		s.mu.Unlock()
	}()
	answers := make(chan answer, answerQueue)
	done := make(chan struct{})
	defer close(done)
	go writeAnswers(c, answers, done)
	defer s.lost(host)
	lines := bufio.NewScanner(buffered.Reader)
	lines.Buffer(nil, maxMessageBytes)
	for lines.Scan() {
		var m message
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return
		}
		s.handle(host, m, func(a answer) {
			select {
			case answers <- a:
			default:
				_ = c.Close()
			}
		})
	}
}

// writeAnswers writes the head of the response and the answers of a session.
func writeAnswers(c net.Conn, answers <-chan answer, done <-chan struct{}) {
	out := bufio.NewWriter(c)
	_, _ = out.WriteString("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n")
	lines := json.NewEncoder(out)
	for {
		// An error means that the connection is closed, which the reader notices.
		_ = out.Flush()
		select {
		case <-done:
			return
		case a := <-answers:
			_ = lines.Encode(a)
			for range len(answers) {
				_ = lines.Encode(<-answers)
			}
		}
	}
}
