package proofs

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/proofs/fleet"
)

// Guards against corrupt responses: engines repeatedly cut connections, go silent midway, respond to
// another request or respond late. Each response reported as complete is correct to the byte.
func TestAnswersOfFaultyEngines(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(2*time.Millisecond), "[targets]\nsilent_after = 300ms\n")
	f.Apply(declarations(ampleBudget))
	s := &traffic{f: f, class: "chat", name: "a", tokens: 40, interval: 20 * time.Millisecond, idleTimeout: 4 * time.Second}
	s.start()
	for _, fault := range []string{"cut=2", "silent=2", "crossed=2", "late=150", "late=0", "cut=3", "crossed=3"} {
		f.Switch("e0", fault)
		time.Sleep(200 * time.Millisecond)
		f.Switch("e1", fault)
		time.Sleep(300 * time.Millisecond)
	}
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.Equal(c.Whole, c.Requests)
}

// Plain services respond to another request, or execute a request and send no response. A request
// that may be retried gets its complete response from another target.
func TestAnswersOfFaultyServices(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(2*time.Millisecond), "[targets]\nsilent_after = 300ms\n")
	f.Apply(declarations(ampleBudget))
	s := &traffic{f: f, class: "ping", name: "p", tokens: 1, interval: 20 * time.Millisecond, idleTimeout: 6 * time.Second}
	s.start()
	for _, fault := range []string{"crossed=2", "losereply=2", "silent=1", "crossed=3"} {
		f.Switch("s0", fault)
		time.Sleep(500 * time.Millisecond)
		f.Switch("s1", fault)
		time.Sleep(500 * time.Millisecond)
	}
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.Equal(c.Whole, c.Requests)
}

// A caller loses its connection midway and resumes the stream through the next host: it gets the
// rest, from the same run.
func TestAnswerTakenUpElsewhere(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	for first := range f.Hosts {
		id := fmt.Sprint("resume-", first)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		a := fleet.Stream(ctx, http.DefaultClient, f.Hosts[first].Listen, fleet.Request{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60})
		cancel()
		is.True(!a.Whole)
		began := time.Now()
		b := f.Do((first+1)%6, fleet.Request{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60, Attempt: 2, ResumeFrom: a.Chunks})
		// An owner that does not respond for 1.5 s is given up, and another host runs the request again.
		t.Logf("resumed after chunk %d in %v", a.Chunks, time.Since(began))
		is.NoErr(b.Err)
		is.True(b.Whole)
		is.Equal(string(a.Data)+string(b.Data), string(wantOutput("chat", id, nil, 60)))
		is.Equal(f.Runs(account)["org/"+id], 1)
	}
}

// Guards against a second run when a caller resumes a stream while the owner is stalled for 2.2 s,
// as without a processor. The entry host gave up an owner after 1.5 s without a response, skipped
// those not heard from for as long, and had the next replica run the stream again: 4 of 6 streams,
// each correct to the byte and billed once, resumed in 1.6 to 2.4 s, the others in under 0.5 s.
// While the owner is a member, a run that the caller has a part of continues there.
func TestStreamResumesFromStalledOwner(t *testing.T) {
	const silence = 2200 * time.Millisecond
	is := is.New(t)
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	for first := range f.Hosts {
		id := fmt.Sprint("silent-", first)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		a := fleet.Stream(ctx, http.DefaultClient, f.Hosts[first].Listen, fleet.Request{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60})
		cancel()
		is.True(!a.Whole)
		entry := (first + 1) % 6
		for i := range f.Hosts {
			if i != entry {
				f.Pause(i)
			}
		}
		resume := time.AfterFunc(silence, func() {
			for i := range f.Hosts {
				if i != entry {
					f.Resume(i)
				}
			}
		})
		began := time.Now()
		b := f.Do(entry, fleet.Request{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60, Attempt: 2, ResumeFrom: a.Chunks})
		t.Logf("resumed after chunk %d in %v", a.Chunks, time.Since(began))
		time.Sleep(time.Until(began.Add(silence + 500*time.Millisecond)))
		resume.Stop()
		is.NoErr(b.Err)
		is.True(b.Whole)
		is.Equal(string(a.Data)+string(b.Data), string(wantOutput("chat", id, nil, 60)))
		is.Equal(f.Runs(account)["org/"+id], 1)
	}
}

// Entry hosts and owners are killed during open streams; callers resume them through other hosts.
func TestAnswersWhenHostsDie(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	s := &traffic{f: f, class: "chat", name: "d", tokens: 100, interval: 20 * time.Millisecond, timeout: 20 * time.Second}
	s.start()
	time.Sleep(1500 * time.Millisecond)
	f.Kill(0)
	time.Sleep(1500 * time.Millisecond)
	f.Kill(4)
	time.Sleep(1500 * time.Millisecond)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests*95/100)
}
