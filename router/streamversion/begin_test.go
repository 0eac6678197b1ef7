package streamversion

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"maststage.dev/router/eventlog"
	"maststage.dev/standin/memlog"
)

// Guards against streams whose first events reach their callers before the log knows their version: after the loss of all
// hosts they went on at another one.
func TestStreamsBeginOnceTheirVersionIsRecorded(t *testing.T) {
	for _, hosts := range []int{6, 87, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := newHistoryFleet(hosts)
			defer f.stopAll()
			f.list("v1", true)
			time.Sleep(time.Minute)
			appends, _ := f.log.Calls()
			f.list("v2", true)
			synctest.Wait()
			began := time.Now()
			for i, h := range f.hosts {
				go func() {
					k, o := KeyOf("org", fmt.Sprint("new", i)), Origin{service, "v2"}
					h.directory.Began(k, route, o, time.Minute)
					h.directory.Await(context.Background(), route, o)
					_, recorded := f.log.Get(eventlog.Partition{Topic: pastUses}, Use{Service: service, Version: "v2"}.key())
					f.mu.Lock()
					defer f.mu.Unlock()
					f.begun = append(f.begun, pastStream{k, o, time.Now()})
					if !recorded {
						t.Errorf("%d hosts: a stream has begun at a version that is not recorded", hosts)
					}
				}()
			}
			time.Sleep(recordWait / 2)
			f.mu.Lock()
			if len(f.begun) < hosts {
				t.Errorf("%d hosts: only %d streams have begun", hosts, len(f.begun))
			}
			slowest := time.Duration(0)
			for _, s := range f.begun {
				slowest = max(slowest, s.at.Sub(began))
			}
			f.mu.Unlock()
			after, _ := f.log.Calls()
			t.Logf("%d hosts: the first events wait %v at most; %d appends", hosts, slowest, after-appends)
		})
	}
}

// Guards against streams that wait for a log that is away.
func TestStreamsBeginWithoutTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHistoryFleet(2)
		defer f.stopAll()
		f.list("v1", true)
		time.Sleep(time.Minute)
		f.log.SetFault("", memlog.Fault{Silent: true})
		for n, want := range []time.Duration{recordWait, 0} {
			began := time.Now()
			f.hosts[0].directory.Await(t.Context(), route, Origin{service, "v2"})
			if took := time.Since(began); took != want {
				t.Errorf("stream %d waited %v", n, took)
			}
		}
	})
}

// Guards against streams of a service with one version that no other host knows, though they began after the log was
// restored and all hosts were lost: hosts that can't tell whether there was one version refused them for a minute.
func TestStreamsAreFoundThoughThePastIsNot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newHistoryFleet(24)
		defer f.stopAll()
		f.list("v1", true)
		time.Sleep(time.Minute)
		copied := f.log.Snapshot()
		f.loseAll(time.Second, func() { f.log.Restore(copied) })
		time.Sleep(time.Second)
		for lost := range 2 {
			var keys []Key
			for i, h := range f.hosts {
				k := KeyOf("org", fmt.Sprint("later", lost, i))
				h.directory.Began(k, route, Origin{service, "v1"}, time.Minute)
				keys = append(keys, k)
			}
			time.Sleep(time.Second)
			if lost == 1 {
				f.loseAll(time.Second, func() {})
				time.Sleep(time.Second)
			}
			for i, k := range keys {
				for _, h := range f.hosts {
					if found := h.directory.Find(t.Context(), k, route, []string{service}); found.Verdict != Found {
						t.Errorf("a stream of %s is not known to %s: %+v", f.hosts[i].name, h.name, found)
					}
				}
			}
		}
	})
}

// Guards against a conclusion from what a host knew before it had the records, drawn because it has them by now.
func TestRecordsThatAreLoadedMeanwhileVouchForNothing(t *testing.T) {
	for _, later := range []string{"records", "list"} {
		var looked bool // the origins were looked up, and what comes later is there
		d := New(Options{
			Versions: func(string) []string {
				if looked {
					return []string{"v1", "v2"}
				}
				looked = true
				return []string{"v1"}
			},
			Covers:         func() bool { return looked || later != "records" },
			ConfirmedSince: func(time.Time) bool { return looked || later != "list" },
			Count:          func(string) {}, Go: func(_ string, run func()) { go run() },
		})
		f := &historyFleet{}
		d.SetPeers(&historyHost{fleet: f})
		if found := d.Find(t.Context(), KeyOf("org", "a"), route, []string{service}); found.Source == FromOwnList {
			t.Errorf("%s: %+v", later, found)
		}
	}
}
