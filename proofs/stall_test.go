package proofs

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/fold/view"
	"maststage.dev/proofs/fleet"
)

// stall describes which hosts stall, and whether the log is down, while a caller leaves its first host
// and resumes the stream at the next one.
type stall struct {
	name     string
	duration time.Duration
	// disconnectAfter is when the caller disconnects from its first host, after it sent the request.
	disconnectAfter time.Duration
	// beforeSend starts the stall before the first attempt, instead of when the stream is resumed.
	beforeSend bool
	// hosts returns the hosts that stall; logDown makes the log unavailable too.
	hosts   func(first, second int) []int
	logDown bool
	// ownedByFirst chooses ids that the first host owns.
	ownedByFirst bool
}

const (
	beforeFirstChunk = 8 * time.Millisecond
	afterFirstChunks = 300 * time.Millisecond
)

func allBut(spared ...int) []int {
	var rest []int
	for i := range 6 {
		if !slices.Contains(spared, i) {
			rest = append(rest, i)
		}
	}
	return rest
}

func allButSecond(_, second int) []int   { return allBut(second) }
func allButBoth(first, second int) []int { return allBut(first, second) }
func onlyFirst(first, _ int) []int       { return []int{first} }
func noHosts(int, int) []int             { return nil }
func (s stall) start(f *fleet.Fleet, hosts []int) (end func()) {
	for _, i := range hosts {
		f.Pause(i)
	}
	if s.logDown {
		f.Switch("log", "down=1")
	}
	done := make(chan struct{})
	time.AfterFunc(s.duration, func() {
		defer close(done)
		for _, i := range hosts {
			f.Resume(i)
		}
		if s.logDown {
			f.Switch("log", "down=0")
		}
	})
	return func() { <-done }
}

// ownedBy returns an id that begins with name and is owned by the given host.
func ownedBy(f *fleet.Fleet, host int, name string) string {
	var v view.View
	var want string
	for _, m := range f.View(host) {
		v.Members = append(v.Members, view.Member{Incarnation: m.Incarnation, Host: m.Name, Domain: m.Domain})
	}
	want = f.Hosts[host].Name
	for n := 0; ; n++ {
		id := fmt.Sprintf("%s-%d", name, n)
		if v.Replicas("org/"+id, "")[0].Host == want {
			return id
		}
	}
}

// runSeries sends a stream through each host and resumes it at the next one.
func (s stall) runSeries(t *testing.T, f *fleet.Fleet, name string) {
	for first := range f.Hosts {
		id := fmt.Sprintf("%s-%d", name, first)
		if s.ownedByFirst {
			id = ownedBy(f, first, id)
		}
		second := (first + 1) % len(f.Hosts)
		s.resume(t, f, id, first, second)
		f.Eventually("all are members again", func() bool { return len(f.View(second)) == len(f.Hosts) })
	}
}

func (s stall) resume(t *testing.T, f *fleet.Fleet, id string, first, second int) {
	is := is.New(t)
	ask := fleet.Request{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60}
	var end func()
	if s.beforeSend {
		end = s.start(f, s.hosts(first, second))
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.disconnectAfter)
	a := fleet.Stream(ctx, http.DefaultClient, f.Hosts[first].Listen, ask)
	cancel()
	if !s.beforeSend {
		end = s.start(f, s.hosts(first, second))
	}
	began := time.Now()
	ask.Attempt, ask.ResumeFrom = 2, a.Chunks
	b := f.Do(second, ask)
	t.Logf("%s resumed after chunk %d in %v", id, a.Chunks, time.Since(began))
	end()
	time.Sleep(500 * time.Millisecond)
	if b.Err != nil || f.Runs(account)["org/"+id] != 1 {
		f.Trace(id)
	}
	is.NoErr(b.Err)
	is.True(b.Whole)
	is.Equal(string(a.Data)+string(b.Data), string(wantOutput("chat", id, nil, 60)))
	is.Equal(f.Runs(account)["org/"+id], 1)
}

// Guards against a second run of a stream when hosts stall while the stream is resumed elsewhere: the
// entry host took a host's silence for the end of the run there.
func TestStreamRunsOnceThroughStalls(t *testing.T) {
	runStalls(t, 2, []stall{
		{name: "all but the second host, without a part", duration: 1600 * time.Millisecond, disconnectAfter: beforeFirstChunk, hosts: allButSecond},
		{name: "all but the second host, without a part, longer", duration: 2200 * time.Millisecond, disconnectAfter: beforeFirstChunk, hosts: allButSecond},
		{name: "all but both hosts, from before the first send", duration: 1800 * time.Millisecond, disconnectAfter: afterFirstChunks, beforeSend: true, hosts: allButBoth},
		{name: "the owner alone, which is evicted", duration: 2200 * time.Millisecond, disconnectAfter: afterFirstChunks, ownedByFirst: true, hosts: onlyFirst},
	})
	runStalls(t, 1, []stall{
		{name: "all but the second host, long", duration: 7 * time.Second, disconnectAfter: afterFirstChunks, hosts: allButSecond},
	})
}

// Guards against refusals for lack of tokens during a short outage of the log, in a fleet that has
// served requests: hosts held no tokens beyond what they had needed so far.
func TestStreamServedDuringShortLogOutage(t *testing.T) {
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	stall{disconnectAfter: afterFirstChunks, hosts: noHosts}.runSeries(t, f, "before")
	stall{duration: 2200 * time.Millisecond, disconnectAfter: afterFirstChunks, beforeSend: true, logDown: true, hosts: noHosts}.runSeries(t, f, "outage")
}

// runStalls runs each case on a fleet of its own, with the given number of series.
func runStalls(t *testing.T, series int, cases []stall) {
	for _, s := range cases {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			f := sixHosts(t, engines(10*time.Millisecond), "")
			f.Apply(declarations(ampleBudget))
			for n := range series {
				s.runSeries(t, f, fmt.Sprint("series-", n))
			}
		})
	}
}

// Guards against a second run of a stream whose owner shuts down gracefully: it owns no ids any more
// while it continues the run, and the next owner ran the stream again without asking it.
func TestStreamResumesWhileOwnerShutsDown(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	const owner, second = 0, 1
	id := ownedBy(f, owner, "stopping")
	ask := fleet.Request{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 300}
	ctx, cancel := context.WithTimeout(context.Background(), afterFirstChunks)
	a := fleet.Stream(ctx, http.DefaultClient, f.Hosts[owner].Listen, ask)
	cancel()
	f.Term(owner)
	f.Eventually("the owner is leaving", func() bool {
		return slices.ContainsFunc(f.View(second), func(h *maststagev1.Host) bool {
			return h.Name == f.Hosts[owner].Name && h.State == "draining"
		})
	})
	ask.Attempt, ask.ResumeFrom = 2, a.Chunks
	b := f.Do(second, ask)
	if b.Err != nil || f.Runs(account)["org/"+id] != 1 {
		f.Trace(id)
	}
	is.NoErr(b.Err)
	is.True(b.Whole)
	is.Equal(string(a.Data)+string(b.Data), string(wantOutput("chat", id, nil, 300)))
	is.Equal(f.Runs(account)["org/"+id], 1)
	is.NoErr(f.WaitExit(owner))
}
