package fleet

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/router/replica"
	"maststage.dev/standin/bigconfig"
	"maststage.dev/standin/memlog"
	"maststage.dev/standin/thinlink"
	"maststage.dev/standin/until"
)

var configs = eventlog.Partition{Topic: "configs"}

// peerAt starts a host that follows the log and answers others; it gives its address.
func peerAt(t *testing.T, l *memlog.Log, name string) string {
	t.Helper()
	c := followed(t, l, name)
	f := New(Options{
		Self: Host{Name: name, Incarnation: "1"}, CallTimeout: time.Second,
		Replicas: map[string]*replica.Replica{configs.Topic: c},
	})
	server := httptest.NewServer(f.Handler())
	t.Cleanup(server.Close)
	until.True(t, name+" has the configuration", c.Loaded)
	return server.Listener.Addr().String()
}

// followed is a host's copy of the configuration, kept up until the test ends.
func followed(t *testing.T, l *memlog.Log, host string) *replica.Replica {
	c := replica.New(replica.Options{Log: l.Host(host), Partition: configs, LongPoll: time.Second, ReadTimeout: time.Second})
	untilEnd(t, c.Run)
	return c
}

// untilEnd runs a duty until the test ends.
func untilEnd(t *testing.T, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// Hosts that the log did not answer were seen to stay at an old configuration for as long
// as that lasted, and seconds longer, once it had grown to 335 KB. They asked two other
// hosts at a time for it, again and again, and each call was cut off after half a second:
// twice 447 KB, as the record was encoded, need 0.7 s on a link of 10 Mbit/s. So no call
// could succeed, and together they kept the link full: the hosts read 600 to 800 KB/s, and
// the peers' calls that failed had all ended at the time allowed.
func TestLargeRecordOverAThinLink(t *testing.T) {
	noise := make([]byte, 800e3)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	for name, value := range map[string][]byte{
		"a configuration":         bigconfig.Routes(1770, 1),
		"one that doesn't shrink": noise, // 1.07 MB as encoded: 0.85 s, and 1.7 s for two
	} {
		t.Run(name, func(t *testing.T) { pullsInTime(t, thinlink.New(linkBytes), value) })
	}
}

// On hosts whose callers filled the link, calls to others and to the log waited longer for
// their first byte than the half second they were given, new connections included. They
// went on to fail, as often as they were tried, until the callers had gone elsewhere: up to
// eight seconds behind the others, though a record on its way needs a tenth of a second.
func TestRecordBehindAQueue(t *testing.T) {
	pullsInTime(t, thinlink.Queued(linkBytes, 600*time.Millisecond), bigconfig.Routes(1770, 1))
}

const linkBytes = 1.25e6 // a second: 10 Mbit/s

// pullsInTime publishes a record and fails the test unless a host that the log does not
// answer has it in time, over its link and from two peers.
func pullsInTime(t *testing.T, link *thinlink.Link, value []byte) {
	const (
		inForce = 3 * time.Second
		pull    = 300 * time.Millisecond // as a host of the product pulls
		timeout = 500 * time.Millisecond
	)
	l := memlog.New()
	l.SetFault("cut", memlog.Fault{Silent: true})
	l.Put(configs, "config", value)
	c := followed(t, l, "cut")
	f := New(Options{
		Self: Host{Name: "cut", Incarnation: "1"}, Log: l.Host("cut"), Topic: "hosts",
		Seeds:            []string{link.To(t, peerAt(t, l, "peer1")), link.To(t, peerAt(t, l, "peer2"))},
		AnnounceInterval: time.Hour, PullInterval: pull, CallTimeout: timeout,
		Replicas: map[string]*replica.Replica{configs.Topic: c},
	})
	untilEnd(t, f.Run)
	for end := time.Now().Add(inForce); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c.End() != 1 {
			continue
		}
		// Encoded it takes a third more; a second copy of it on the way would double it.
		if sent, most := link.Sent(), int64(1.6*float64(len(value))); sent > most {
			t.Errorf("%d bytes crossed the link for a record of %d", sent, len(value))
		}
		return
	}
	t.Fatalf("after %v the host has nothing of it, though %d KB crossed its link", inForce, link.Sent()/1000)
}
