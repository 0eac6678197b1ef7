package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Sizes of the fleets in the tests of links: one whose hosts could all read the log, and a larger one.
var linkTestSizes = map[string]int{"295 hosts": 295, "330 hosts": 330}

// configTime is the time within which a change of the configuration is in force at all hosts.
const configTime = 4 * time.Second

// fullLinkWait is how long packets wait at a link that callers fill.
const fullLinkWait = 900 * time.Millisecond

// startedFleet starts a large fleet and waits until its hosts know each other.
func startedFleet(ctx context.Context, t *testing.T, hosts int) *simulatedFleet {
	f := startFleet(ctx, t, hosts)
	f.until("start", startTime, f.unready)
	time.Sleep(startTime)
	return f
}

// changeThrice changes the configuration three times; each version has to be in force at all hosts in time.
func (f *simulatedFleet) changeThrice() {
	f.t.Helper()
	for range 3 {
		f.configure()
		f.until("change", configTime, f.outdated)
		time.Sleep(time.Second)
	}
}

// firstFollower returns a host that follows readers.
func (f *simulatedFleet) firstFollower() *Node {
	for _, n := range f.nodes {
		if reads, _ := n.fleet.ReadsLog(); !reads {
			return n
		}
	}
	f.t.Fatal("no host follows readers")
	return nil
}

// Guards against a follower that gives up each call at a full link before its response can arrive, and so stays behind
// for as long as callers fill the link.
func TestFollowerWithAFullLinkGetsChangesInTime(t *testing.T) {
	for name, hosts := range linkTestSizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := startedFleet(ctx, t, hosts)
				n := f.firstFollower()
				f.links.mu.Lock()
				f.links.hosts[n.cfg.Host.PeerListen].queue = fullLinkWait
				f.links.mu.Unlock()
				time.Sleep(configTime)
				f.changeThrice()
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a follower that loses the readers but not the log, and stays behind until it reaches a reader again.
func TestFollowerCutOffFromOtherHostsGetsChangesInTime(t *testing.T) {
	for name, hosts := range linkTestSizes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f := startedFleet(ctx, t, hosts)
				self := f.firstFollower().cfg.Host.PeerListen
				f.setCut(func(from, to string) bool { return from == self || to == self })
				f.changeThrice()
				f.setCut(func(from, to string) bool { return true })
				f.changeThrice()
				f.log.TakeLoad()
				f.setCut(nil)
				time.Sleep(startTime)
				f.changeThrice()
				is.Equal(f.log.TakeLoad().Refused, 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// setCut sets between which addresses packets are lost.
func (f *simulatedFleet) setCut(cut func(from, to string) bool) {
	f.links.mu.Lock()
	defer f.links.mu.Unlock()
	f.links.cut = cut
}
