package permit

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	log "github.com/sirupsen/logrus"

	"maststage.dev/router/httpconn"
)

// Host is a host that may schedule a service.
type Host struct {
	Name    string
	Address string // IP:port
	Key     string // that it has announced
}

// Options configure a Client.
type Options struct {
	Self   string // name of this host, with its incarnation
	Server *Server
	// Schedulers returns the hosts that schedule a service, the first one unless it can't be reached; self is the place of
	// this host among them, -1 if it is none of them.
	Schedulers func(service string) (hosts []Host, self int)
	// Prepare sets the options of a new connection, such as its time-outs; nil: none.
	Prepare func(nc net.Conn)
}

// Times of a client.
const (
	connectTimeout = 150 * time.Millisecond
	// answerTimeout is how much later than it should a scheduler may refuse a request. One that is frozen doesn't.
	answerTimeout = 300 * time.Millisecond
	rankingMaxAge = 200 * time.Millisecond
	// downTime is how long a host that could not be reached is passed over.
	downTime = time.Second
)

// Client asks for permits. It is safe for concurrent use.
type Client struct {
	opts Options

	mu       sync.Mutex
	nextID   uint64
	sessions map[string]*session  // by address
	down     map[string]time.Time // until when a host is passed over, by address
	rankings map[string]ranking   // by service
	current  map[string]string    // address of each service's scheduler, "" for this host
	permits  map[uint64]*Permit   // in use
}

// NewClient returns a Client.
func NewClient(opts Options) *Client {
	if opts.Prepare == nil {
		opts.Prepare = func(net.Conn) {}
	}
	return &Client{opts: opts, sessions: map[string]*session{}, down: map[string]time.Time{}, current: map[string]string{}, rankings: map[string]ranking{}, permits: map[uint64]*Permit{}}
}

// Permit is the permission to send one request to a target. End has to be called once.
type Permit struct {
	client  *Client
	id      uint64
	service string
	target  Target
	session sender // of the scheduler that knows of the permit
}

// Target is the id of the target.
func (p *Permit) Target() string { return p.target.ID }

// End returns the permit.
func (p *Permit) End(result Result) {
	c := p.client
	c.mu.Lock()
	delete(c.permits, p.id)
	to := p.session
	c.mu.Unlock()
	to.send(message{Op: opEnd, ID: p.id, Service: p.service, Result: result})
}

// sender takes messages to a scheduler.
type sender interface {
	send(m message)
	// await returns the channel that gets the answer to a request, which is closed if the scheduler is lost.
	await(id uint64) <-chan Reply
	// forget ends such a wait.
	forget(id uint64)
	// drop ends the session, as the scheduler doesn't answer.
	drop()
}

// Ask waits for a permit until ctx ends. Errors are a *RefusalError, ErrNoScheduler, or that of ctx.
func (c *Client) Ask(ctx context.Context, r Request) (*Permit, error) {
	end := time.Now().Add(r.MaxWait)
	for {
		to := c.schedulerOf(ctx, r.Service)
		if to == nil {
			return nil, ErrNoScheduler
		}
		c.mu.Lock()
		c.nextID++
		id := c.nextID
		c.mu.Unlock()
		answers := to.await(id)
		r.MaxWait = time.Until(end)
		to.send(message{Op: opAsk, ID: id, Service: r.Service, Ask: &r})
		overdue := time.NewTimer(r.MaxWait + answerTimeout)
		select {
		case <-ctx.Done():
			overdue.Stop()
			to.forget(id)
			to.send(message{Op: opEnd, ID: id, Service: r.Service, Result: Ended})
			return nil, ctx.Err()
		case <-overdue.C:
			to.drop()
			return nil, ErrNoScheduler
		case reply, ok := <-answers:
			overdue.Stop()
			if !ok {
				continue // the scheduler is lost; ask the next one
			}
			if reply.Target == "" {
				return nil, &RefusalError{reply.RetryAfter}
			}
			return c.granted(to, id, r, reply), nil
		}
	}
}

// granted notes a permit.
func (c *Client) granted(to sender, id uint64, r Request, reply Reply) *Permit {
	p := &Permit{client: c, id: id, service: r.Service, session: to, target: Target{ID: reply.Target}}
	for _, t := range r.Targets {
		if t.ID == reply.Target {
			p.target = t
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.permits[id] = p
	return p
}

// Connect opens the session with a service's scheduler, which then knows of this host before it has to decide.
func (c *Client) Connect(ctx context.Context, service string) {
	if to := c.schedulerOf(ctx, service); to != nil {
		to.send(message{Op: opEnd, Service: service})
	}
}

// schedulerOf returns the session with a service's scheduler, nil if no host can be reached.
func (c *Client) schedulerOf(ctx context.Context, service string) sender {
	hosts, self := c.ranked(service)
	for i, host := range hosts {
		if i == self {
			to := c.own()
			c.switchTo(service, "", to)
			return to
		}
		if s := c.sessionWith(ctx, host); s != nil {
			c.switchTo(service, host.Address, s)
			return s
		}
	}
	return nil
}

// ranking is the cached ranking of a service's schedulers.
type ranking struct {
	hosts []Host
	self  int
	at    time.Time
}

// ranked returns the hosts that may schedule a service.
func (c *Client) ranked(service string) (hosts []Host, self int) {
	c.mu.Lock()
	known := c.rankings[service]
	c.mu.Unlock()
	if now := time.Now(); now.Sub(known.at) > rankingMaxAge {
		known.hosts, known.self = c.opts.Schedulers(service)
		known.at = now
		c.mu.Lock()
		c.rankings[service] = known
		c.mu.Unlock()
	}
	return known.hosts, known.self
}

// switchTo tells a service's scheduler of the permits in use if another one has scheduled it so far.
func (c *Client) switchTo(service, address string, to sender) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if before, known := c.current[service]; known && before == address {
		return
	}
	c.current[service] = address
	for _, p := range c.permits {
		if p.service != service {
			continue
		}
		p.session.send(message{Op: opEnd, ID: p.id, Service: service, Result: Ended})
		p.session = to
		to.send(message{Op: opKeep, ID: p.id, Service: service, Target: &p.target})
	}
}

// sessionWith returns the session with a host, which it may open.
func (c *Client) sessionWith(ctx context.Context, host Host) *session {
	c.mu.Lock()
	s := c.sessions[host.Address]
	if s == nil {
		if time.Now().Before(c.down[host.Address]) {
			c.mu.Unlock()
			return nil
		}
		s = &session{client: c, host: host, opened: make(chan struct{}), waiting: map[uint64]chan Reply{}}
		c.sessions[host.Address] = s
		go s.run()
	}
	c.mu.Unlock()
	select {
	case <-s.opened:
	case <-ctx.Done():
		return nil
	}
	if s.failed() {
		return nil
	}
	return s
}

// ended notes that a session is over, and tells the next scheduler of its permits.
func (c *Client) ended(s *session, wasOpen bool) {
	c.mu.Lock()
	delete(c.sessions, s.host.Address)
	if !wasOpen {
		c.down[s.host.Address] = time.Now().Add(downTime)
	}
	services := map[string]bool{}
	for service, address := range c.current {
		if address == s.host.Address {
			delete(c.current, service) // whichever comes next is told of the permits
		}
	}
	for _, p := range c.permits {
		if p.session == sender(s) {
			services[p.service] = true
		}
	}
	c.mu.Unlock()
	if len(services) == 0 {
		return
	}
	log.WithFields(log.Fields{"peer": s.host.Name}).Info("lost the scheduler of permits")
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	for service := range services {
		c.schedulerOf(ctx, service)
	}
}

// own is the scheduler of this host itself.
func (c *Client) own() sender { return &local{client: c, answers: map[uint64]chan Reply{}} }

// local asks this host's own server. It serves one request.
type local struct {
	client  *Client
	mu      sync.Mutex
	answers map[uint64]chan Reply
}

func (l *local) send(m message) {
	l.client.opts.Server.handle(l.client.opts.Self, m, func(a answer) {
		l.mu.Lock()
		defer l.mu.Unlock()
		if to := l.answers[a.ID]; to != nil {
			to <- a.Reply
			delete(l.answers, a.ID)
		}
	})
}

func (l *local) await(id uint64) <-chan Reply {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers[id] = make(chan Reply, 1)
	return l.answers[id]
}

func (l *local) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.answers, id)
}

func (l *local) drop() {}

// session is the connection to a scheduler.
type session struct {
	client *Client
	host   Host
	opened chan struct{} // closed once it is open or has failed

	mu      sync.Mutex
	nc      net.Conn
	out     *json.Encoder
	over    bool
	waiting map[uint64]chan Reply
}

func (s *session) failed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.over
}

// run opens the session and reads answers until it ends.
func (s *session) run() {
	reader, err := s.open()
	if err != nil {
		s.finish()
		close(s.opened)
		s.client.ended(s, false)
		return
	}
	close(s.opened)
	lines := bufio.NewScanner(reader)
	lines.Buffer(nil, maxAnswerBytes)
	for lines.Scan() {
		var a answer
		if err := json.Unmarshal(lines.Bytes(), &a); err != nil {
			break
		}
		s.mu.Lock()
		to := s.waiting[a.ID]
		delete(s.waiting, a.ID)
		s.mu.Unlock()
		if to != nil {
			to <- a.Reply
		}
	}
	_ = s.nc.Close()
	s.finish()
	s.client.ended(s, true)
}

// open connects to the scheduler.
func (s *session) open() (*bufio.Reader, error) {
	nc, err := net.DialTimeout("tcp", s.host.Address, connectTimeout)
	if err != nil {
		return nil, err
	}
	_ = nc.SetDeadline(time.Now().Add(connectTimeout))
	call, err := http.NewRequest(http.MethodPost, "http://"+s.host.Address+Path, http.NoBody)
	if err != nil {
		return nil, err
	}
	call.Header = http.Header{
		"Connection": {"Upgrade"}, "Upgrade": {protocol}, headerKey: {s.host.Key}, headerHost: {s.client.opts.Self},
	}
	if err := call.Write(nc); err != nil {
		_ = nc.Close()
		return nil, err
	}
	limit := httpconn.NewHeadLimit(nc)
	reader := bufio.NewReader(limit)
	resp, err := httpconn.ReadResponse(reader, call)
	limit.End()
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		_ = nc.Close()
		return nil, ErrNoScheduler
	}
	_ = nc.SetDeadline(time.Time{})
	s.client.opts.Prepare(nc)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nc, s.out = nc, json.NewEncoder(nc)
	return reader, nil
}

// finish ends all waits.
func (s *session) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over = true
	for id, to := range s.waiting {
		close(to)
		delete(s.waiting, id)
	}
}

func (s *session) send(m message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.over {
		return
	}
	// An error means that the connection is broken, which run notices.
	_ = s.out.Encode(m)
}

func (s *session) await(id uint64) <-chan Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := make(chan Reply, 1)
	if s.over {
		close(to)
		return to
	}
	s.waiting[id] = to
	return to
}

func (s *session) forget(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waiting, id)
}

func (s *session) drop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nc != nil {
		_ = s.nc.Close()
	}
}
