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

// peerAt starts a host that follows the log and serves other hosts; it returns its address.
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

// followed returns a host's replica of the configuration, kept up to date until the test ends.
func followed(t *testing.T, l *memlog.Log, host string) *replica.Replica {
	c := replica.New(replica.Options{Log: l.Host(host), Partition: configs, LongPoll: time.Second, ReadTimeout: time.Second})
	untilEnd(t, c.Run)
	return c
}

// untilEnd runs a function in the background until the test ends.
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

// Guards against hosts staying at an old configuration while the log is silent, as seen once it had
// grown to 335 KB. Each host pulled from two others at a time, and each call was cut off after
// 0.5 s, though twice 447 KB, as the record was encoded, take 0.7 s at 10 Mbit/s. No call could
// succeed, and the retries kept the link full: hosts read 600 to 800 KB/s, and all failed calls
// ended by timeout.
func TestLargeRecordIsPulledOverASlowLink(t *testing.T) {
	noise := make([]byte, 800e3)
	_, _ = rand.NewChaCha8([32]byte{}).Read(noise)
	for name, value := range map[string][]byte{
		"a configuration":         bigconfig.Routes(1770, 1),
		"one that doesn't shrink": noise, // 1.07 MB as encoded: 0.85 s, and 1.7 s for two
	} {
		t.Run(name, func(t *testing.T) { pullsInTime(t, thinlink.New(linkBytes), value) })
	}
}

// Guards against pulls that fail while client traffic fills a host's link: calls to others and to the
// log waited for their first byte longer than their timeout of 0.5 s, new connections included,
// and failed at each retry until the callers had left. Hosts fell up to eight seconds behind,
// though the record itself takes a tenth of a second to transfer.
func TestRecordIsPulledThroughAQueueingLink(t *testing.T) {
	pullsInTime(t, thinlink.Queued(linkBytes, 600*time.Millisecond), bigconfig.Routes(1770, 1))
}

const linkBytes = 1.25e6 // a second: 10 Mbit/s

// pullsInTime publishes a record and fails the test unless a host for which the log is silent gets
// it in time, over its link and from two peers.
func pullsInTime(t *testing.T, link *thinlink.Link, value []byte) {
	const (
		inForce = 3 * time.Second
		pull    = 300 * time.Millisecond // as in production
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
		if c.End().Offset != 1 {
			continue
		}
		// Encoding adds a third; sending a second copy would double it.
		if sent, most := link.Sent(), int64(1.6*float64(len(value))); sent > most {
			t.Errorf("%d bytes crossed the link for a record of %d bytes", sent, len(value))
		}
		return
	}
	t.Fatalf("after %v the host does not have the record, though %d KB crossed its link", inForce, link.Sent()/1000)
}
