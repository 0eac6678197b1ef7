package node

import (
	"fmt"
	"testing"
	"time"

	"maststage.dev/router/rollout"
	"maststage.dev/standin/backend"
)

// loseAll kills all hosts and starts them again after a while.
func (f *testFleet) loseAll(hosts []*host, down time.Duration) (next []*host) {
	for _, h := range hosts {
		h.kill()
		<-h.done
	}
	time.Sleep(down)
	for i := range hosts {
		next = append(next, f.start(f.settings(fmt.Sprint("h", i))))
	}
	for _, h := range next {
		f.ready(h)
	}
	return next
}

// Guards against a version that is done though no host has seen an outcome of it: all hosts start late
// in the rollout.
func TestVersionIsNotDoneOnNoEvidenceAfterTheLossOfAllHosts(t *testing.T) {
	f, hosts, _ := rolloutFleet(t)
	const period = 8 * time.Second
	f.order("v2", period)
	f.versions("v2", 6, backend.Behaviour{Status: 500})
	f.eventually("it runs", func() bool { return f.state() == rollout.Running })
	f.loseAll(hosts, period*3/4)
	f.eventually("it is decided", func() bool { return f.state().Final() })
	f.is.Equal(f.state(), rollout.RolledBack)
}

// Guards against a good version that misses its deadline because the hosts that tried it were lost.
func TestGoodVersionIsDoneAfterTheLossOfAllHosts(t *testing.T) {
	f, hosts, _ := rolloutFleet(t)
	const period = 12 * time.Second
	began := time.Now()
	f.order("v2", period)
	f.versions("v2", 6, backend.Behaviour{Delay: 5 * time.Millisecond})
	f.eventually("it runs", func() bool { return f.state() == rollout.Running })
	hosts = f.loseAll(hosts, period/3)
	l := f.load(5*time.Millisecond, hosts...)
	f.eventually("it is decided", func() bool { return f.state().Final() })
	f.is.Equal(f.state(), rollout.Done)
	f.is.True(time.Since(began) < period)
	l.stop()
	f.is.Equal(l.failed.Load(), int64(0))
}
