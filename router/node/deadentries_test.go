package node

import (
	"fmt"
	"net"
	"testing"
	"time"

	"maststage.dev/router/target"
	"maststage.dev/standin/backend"
)

// deadPrefix begins the ids of entries at addresses where nobody listens.
const deadPrefix = "dead-"

// listDead lists sound entries at addresses where nobody listens.
func (f *cutFleet) listDead(service string, first, count int) {
	f.t.Helper()
	for i := first; i < first+count; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		f.is.NoErr(err)
		address := l.Addr().String()
		f.is.NoErr(l.Close())
		f.list(target.Entry{ID: fmt.Sprintf("%s%s%d", deadPrefix, service, i), Service: service, Address: address, Domain: "z1", Slots: 4})
	}
}

// expectMostServed sends streams to each host, one after the other, and expects nearly all of them whole.
func (f *cutFleet) expectMostServed(streams int) {
	f.t.Helper()
	for _, h := range f.hosts {
		served := 0
		for range streams {
			if got := f.call(h, "/e/", ""); got.status == 200 && got.err == nil {
				served++
			}
		}
		if served*10 < streams*9 {
			f.t.Errorf("%s served %d of %d streams", h.name, served, streams)
		}
	}
}

// Guards against targets that are listed at addresses where nobody listens, or crashed and stayed listed, and that have all
// hosts take the whole service for out of reach, so that the sound targets beside them get no requests either.
func TestSoundTargetsServeBesideDeadEntries(t *testing.T) {
	const streams = 10
	for _, c := range []struct {
		name string
		dead func(f *cutFleet)
	}{
		{"five never listened", func(f *cutFleet) { f.listDead("e", 0, 5) }},
		{"twelve never listened", func(f *cutFleet) { f.listDead("e", 0, 12) }},
		{"some more each second", func(f *cutFleet) {
			for i := range 4 {
				f.listDead("e", 3*i, 3)
				time.Sleep(time.Second)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newCutFleet(t)
			for _, b := range f.backends {
				b.SetBehaviour(func(backend.Run) backend.Behaviour {
					return backend.Behaviour{Body: "whole", Events: 5, Gap: time.Millisecond}
				})
			}
			c.dead(f)
			for range 3 {
				time.Sleep(2 * time.Second)
				f.expectMostServed(streams)
			}
		})
	}
}
