package node

import (
	"strings"
	"testing"
	"time"

	"maststage.dev/standin/backend"
	"maststage.dev/standin/memlog"
)

func TestServesAndFollowsTheConfiguration(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	f.is.Equal(f.waitStatus(h, "/r/x", 503), 503) // no configuration yet: not run
	f.publish(config(1, plainRoute, ""))
	b := f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "").body == "one" })
	f.is.True(len(b.Runs()) > 0)

	f.publish(config(5, strings.Replace(plainRoute, "/r/", "/new/", 1), ""))
	f.eventually("the new route", func() bool { return f.call(h, "/new/x", "").status == 200 })
	f.is.Equal(f.call(h, "/r/x", "").status, 404)

	// An older version and one that can't be read change nothing.
	f.publish(config(4, plainRoute, ""))
	f.publish("{")
	time.Sleep(100 * time.Millisecond)
	f.is.Equal(f.call(h, "/r/x", "").status, 404)
	f.is.Equal(f.call(h, "/new/x", "").status, 200)
}

func TestRevokedKeyIsRefused(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	f.publish(config(1, plainRoute, `,"organisations":[{"name":"o","keys":["k1","k2"]}]`))
	f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "k1").status == 200 })
	f.publish(config(2, plainRoute, `,"organisations":[{"name":"o","keys":["k2"]}]`))
	f.eventually("the key is refused", func() bool { return f.call(h, "/r/x", "k1").status == 401 })
	f.is.Equal(f.call(h, "/r/x", "k2").status, 200)
}

// A host that the log turns away takes configuration and list from others.
func TestOthersPassTheLogOn(t *testing.T) {
	for name, fault := range map[string]memlog.Fault{"refused": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			a := f.start(f.settings("a"))
			f.log.SetFault("b", fault)
			b := f.start(f.settings("b", a.cfg.Host.PeerListen))
			f.publish(config(1, plainRoute, ""))
			f.backend("t1", backend.Behaviour{Body: "one"})
			f.ready(a)
			f.ready(b) // though it never reached the log
			f.eventually("b serves", func() bool { return f.call(b, "/r/x", "").body == "one" })
			f.publish(config(2, strings.Replace(plainRoute, "/r/", "/new/", 1), ""))
			f.backend("t2", backend.Behaviour{Body: "two"})
			f.unlist("t1")
			f.eventually("b has the new route and target", func() bool { return f.call(b, "/new/x", "").body == "two" })
		})
	}
}

func TestGoesOnWithoutTheLog(t *testing.T) {
	f := newFleet(t)
	h := f.start(f.settings("h1"))
	f.publish(config(1, plainRoute, ""))
	f.backend("t1", backend.Behaviour{Body: "one"})
	f.ready(h)
	f.eventually("it serves", func() bool { return f.call(h, "/r/x", "").body == "one" })
	f.log.SetFault("", memlog.Fault{Silent: true})
	time.Sleep(500 * time.Millisecond)
	for range 5 {
		f.is.Equal(f.call(h, "/r/x", "").body, "one")
	}
	f.is.True(h.Ready())
}
