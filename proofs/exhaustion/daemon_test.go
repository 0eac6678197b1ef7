package exhaustion

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"maststage.dev/lib/declare"
	"maststage.dev/proofs/fleet"
)

const (
	callerKey = "the-callers-key"
	// daemonSettings are the settings of maststaged for its machine.
	daemonSettings = "[machine]\nmemory_mb = 112\ndescriptors = 512\n"
	// messageBytes is the size of the messages that clients begin over HTTP/2.
	messageBytes = 4 << 20
	// streams is how many requests a client sends on a connection over HTTP/2.
	streams = 2
)

// startDaemon starts maststaged with a log and a service as processes, and waits until it serves.
func startDaemon(t *testing.T) (m *machine, list []listener) {
	f := fleet.Start(t, fleet.Options{
		Hosts: 1, Domains: 1, Settings: daemonSettings,
		Targets: []fleet.Target{{Name: "s0", Kind: "service", Pool: "plain", Slots: 32, Each: time.Millisecond}},
	})
	f.Apply(fleet.Operators() + fmt.Sprintf("\n[organisation org]\nkey_sha256 = %s\nbudget = main\n[budget main]\norganisation = org\ntokens = 1000000\n"+
		"[pool plain]\nkind = service\n[policy ping]\nprogram = to(\"plain\").Deadline(5000).MaxTokens(1)\n", declare.HashKey(callerKey)))
	attempts := 0
	serves := func() error {
		attempts++
		response := f.Do(0, fleet.Request{Key: callerKey, ID: fmt.Sprintf("ordinary-%d", attempts), Class: "ping", Input: []byte("x"), Timeout: attemptTime})
		if !response.Whole {
			return fmt.Errorf("%s: %w", response.Kind, response.Err)
		}
		return nil
	}
	host := f.Hosts[0]
	m = &machine{t: t, pid: f.Pid(0), network: networkOf(host.Listen), serves: serves}
	m.eventuallyServes()
	return m, []listener{
		{"callers", host.Listen, "/maststage.v1.Operator/Publish", 1 << 20, "Content-Type: application/json\r\n"},
		{"hosts", host.Peer, "/peer.v1.Peer/Claim", messageBytes, "Content-Type: application/grpc\r\n"},
	}
}

// networkOf returns the IP of an address as /proc/net/tcp has it.
func networkOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	ip := slices.Clone(net.ParseIP(host).To4())
	slices.Reverse(ip)
	return strings.ToUpper(hex.EncodeToString(ip)) + ":"
}

// overHTTP2 has clients begin requests over HTTP/2 whose messages stop short.
var overHTTP2 = conduct{"messages over HTTP 2 stop short", fewClients, func(c net.Conn, l listener) error {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols, DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil }}
	sent := make(chan error, streams)
	for range streams {
		body := &stalledBody{rest: l.maxBody - 1, sent: sent}
		body.prefix = binary.BigEndian.AppendUint32([]byte{0}, uint32(l.maxBody))
		request, err := http.NewRequest(http.MethodPost, "http://"+l.address+l.path, body)
		if err != nil {
			return err
		}
		_, value, _ := strings.Cut(strings.TrimSpace(l.headers), ": ")
		request.Header.Set("Content-Type", value)
		request.Header.Set("TE", "trailers")
		go func() {
			resp, err := transport.RoundTrip(request)
			if err == nil {
				_ = resp.Body.Close()
				err = errors.New("refused: " + resp.Status)
			}
			select {
			case sent <- err:
			default:
			}
		}()
	}
	for range streams {
		select {
		case err := <-sent:
			if err != nil {
				return err
			}
		case <-time.After(stuckTime):
		}
	}
	return nil
}}

// stalledBody is a body that stops short of its end.
type stalledBody struct {
	prefix []byte
	rest   int
	sent   chan<- error // gets nil once all has been read
}

// Read returns what is left; then it blocks for as long as the test runs.
func (b *stalledBody) Read(p []byte) (int, error) {
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	if b.rest == 0 {
		b.sent <- nil
		select {}
	}
	n := copy(p, payload[:min(b.rest, len(p))])
	b.rest -= n
	return n, nil
}

var _ io.Reader = (*stalledBody)(nil)

// Guards against clients that make maststaged hold more than its machine has, as TestHostOutlivesClientsThatDoNotEndTheirRequests.
func TestDaemonOutlivesClientsThatDoNotEndTheirRequests(t *testing.T) {
	for number, name := range []string{"callers", "hosts"} {
		for _, what := range append(slices.Clone(conducts), overHTTP2) {
			t.Run(name+"/"+strings.ReplaceAll(what.name, " ", "_"), func(t *testing.T) {
				m, list := startDaemon(t)
				m.outlives(what, list[number])
			})
		}
	}
}
