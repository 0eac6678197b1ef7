package tunnel

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"maststage.dev/router/httpconn"
)

// Options configure a Dialer.
type Options struct {
	// Hosts lists the other hosts that open tunnels.
	Hosts func() []Host
	// Prepare sets the options of a new connection, such as its time-outs; nil: none.
	Prepare func(nc net.Conn)
	// OnOpen counts attempts to open a tunnel by their outcome: "open", or the reason why not; nil: not counted.
	OnOpen func(outcome string)
}

// Dialer opens tunnels. It is safe for concurrent use.
type Dialer struct {
	opts  Options
	hosts *hosts
}

// NewDialer returns a Dialer.
func NewDialer(opts Options) *Dialer {
	if opts.OnOpen == nil {
		opts.OnOpen = func(string) {}
	}
	if opts.Prepare == nil {
		opts.Prepare = func(net.Conn) {}
	}
	return &Dialer{opts: opts, hosts: newHosts(opts.Hosts)}
}

// Open counts the tunnels.
func (d *Dialer) Open() (n int) {
	d.hosts.mu.Lock()
	defer d.hosts.mu.Unlock()
	for _, open := range d.hosts.open {
		n += open
	}
	return n
}

// OpenedSince reports whether a tunnel to a service was opened after t.
func (d *Dialer) OpenedSince(service string, t time.Time) bool {
	d.hosts.mu.Lock()
	defer d.hosts.mu.Unlock()
	return d.hosts.lastOpened[service].After(t)
}

// result is the outcome of the call to one host.
type result struct {
	host Host
	conn *Conn
	err  error
}

// Dial opens a tunnel to a target of a service. If a host refuses or takes long, another one is asked. The request is
// not sent if Dial returns an error.
func (d *Dialer) Dial(ctx context.Context, service, target string) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	d.hosts.forget(time.Now())
	results := make(chan result, maxHosts)
	asked := map[string]bool{}
	pending := 0
	askNext := func() bool {
		host, ok := d.hosts.pick(service, asked, time.Now())
		if !ok || len(asked) == maxHosts {
			return false
		}
		asked[host.Name] = true
		pending++
		go func() {
			conn, err := d.ask(ctx, host, service, target)
			results <- result{host, conn, err}
		}()
		return true
	}
	if !askNext() {
		d.opts.OnOpen("no_host")
		return nil, ErrNoHost
	}
	hedge := time.NewTicker(hedgeDelay)
	defer hedge.Stop()
	var last error
	for pending > 0 {
		select {
		case <-hedge.C:
			askNext()
		case r := <-results:
			pending--
			if r.err == nil {
				go closeLate(results, pending)
				return r.conn, nil
			}
			last = r.err
			d.recordFailure(r, service)
			askNext()
		}
	}
	return nil, last
}

// closeLate closes tunnels that are opened after another one was taken.
func closeLate(results <-chan result, pending int) {
	for range pending {
		if r := <-results; r.conn != nil {
			_ = r.conn.Close()
		}
	}
}

func (d *Dialer) recordFailure(r result, service string) {
	var refused *refusalError
	reason := refusal("no_response")
	if errors.As(r.err, &refused) {
		reason = refused.reason
	}
	if errors.Is(r.err, context.Canceled) {
		return
	}
	d.opts.OnOpen(string(reason))
	d.hosts.failed(r.host.Name, service, reason, time.Now())
}

// ask opens a tunnel through one host.
func (d *Dialer) ask(ctx context.Context, host Host, service, target string) (*Conn, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", host.Address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = nc.SetDeadline(time.Unix(1, 0)) })
	limit := httpconn.NewHeadLimit(nc)
	reader := bufio.NewReaderSize(limit, bufferBytes)
	err = open(nc, reader, host, target)
	limit.End()
	if !stop() && err == nil {
		err = ctx.Err() // the deadline was set
	}
	if err != nil {
		_ = nc.Close()
		return nil, err
	}
	d.opts.Prepare(nc)
	d.opts.OnOpen("open")
	now := time.Now()
	return &Conn{
		Conn: nc, reader: reader, host: host.Name, dialTime: now.Sub(began), openedAt: now,
		blame: func() { d.hosts.blame(host.Name) }, release: d.hosts.opened(host.Name, service, now),
	}, nil
}

// open makes the call that opens a tunnel.
func open(nc net.Conn, reader *bufio.Reader, host Host, target string) error {
	call, err := http.NewRequest(http.MethodPost, "http://"+host.Address+Path, http.NoBody)
	if err != nil {
		return err
	}
	call.Header = http.Header{
		"Connection": {"Upgrade"}, "Upgrade": {protocol}, headerKey: {host.Key}, headerTarget: {target},
	}
	if err := call.Write(nc); err != nil {
		return err
	}
	resp, err := httpconn.ReadResponse(reader, call)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		return &refusalError{host: host.Name, reason: refusal(resp.Header.Get(headerRefusal))}
	}
	return nil
}
