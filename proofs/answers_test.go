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

// Engines cut, stop half way, answer for another request and are late, again
// and again; every answer that is called whole is the right one, to the byte.
func TestAnswersOfFaultyEngines(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(2*time.Millisecond), "[targets]\nsilent_after = 300ms\n")
	f.Apply(declarations(plenty))
	s := &storm{f: f, class: "chat", name: "a", tokens: 40, every: 20 * time.Millisecond, silence: 4 * time.Second}
	s.begin()
	for _, fault := range []string{"cut=2", "silent=2", "crossed=2", "late=150", "late=0", "cut=3", "crossed=3"} {
		f.Switch("e0", fault)
		time.Sleep(200 * time.Millisecond)
		f.Switch("e1", fault)
		time.Sleep(300 * time.Millisecond)
	}
	c := judge(t, f, s.end(), plenty)
	is.Equal(c.Whole, c.Requests)
}

// Plain services answer for another request, or act and stay silent; a call
// that may be repeated is answered whole by another.
func TestAnswersOfFaultyServices(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(2*time.Millisecond), "[targets]\nsilent_after = 300ms\n")
	f.Apply(declarations(plenty))
	s := &storm{f: f, class: "ping", name: "p", tokens: 1, every: 20 * time.Millisecond, silence: 6 * time.Second}
	s.begin()
	for _, fault := range []string{"crossed=2", "losereply=2", "silent=1", "crossed=3"} {
		f.Switch("s0", fault)
		time.Sleep(500 * time.Millisecond)
		f.Switch("s1", fault)
		time.Sleep(500 * time.Millisecond)
	}
	c := judge(t, f, s.end(), plenty)
	is.Equal(c.Whole, c.Requests)
}

// A caller loses its connection half way and takes the answer up again through
// each other host: it gets the rest, of the same run.
func TestAnswerTakenUpElsewhere(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(plenty))
	for first := range f.Hosts {
		id := fmt.Sprint("resume-", first)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		a := fleet.Stream(ctx, http.DefaultClient, f.Hosts[first].Listen, fleet.Ask{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60})
		cancel()
		is.True(!a.Whole)
		began := time.Now()
		b := f.Do((first+1)%6, fleet.Ask{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60, Attempt: 2, ResumeFrom: a.Chunks})
		// An owner that does not answer for 1.5 s is given up, and another host runs it again.
		t.Logf("taken up behind chunk %d in %v", a.Chunks, time.Since(began))
		is.NoErr(b.Err)
		is.True(b.Whole)
		is.Equal(string(a.Data)+string(b.Data), string(want("chat", id, nil, 60)))
		is.Equal(f.Runs(account)["org/"+id], 1)
	}
}

// A caller takes an answer up again while the host that owns the run says nothing for 2.2 s, as
// one that gets no processor. The entry host gave an owner up after 1.5 s without a word, passed
// over those that it had not heard of for as long, and had the next replica run the stream a
// second time: 4 of 6 answers, each right to the byte and billed once. "taken up ... in" showed
// 1.6 to 2.4 s for them and under 0.5 s for all others. Silence is no end: as long as the fleet
// counts the owner as a member, the run that the caller has a part of goes on there.
func TestAnswerTakenUpFromSilentOwner(t *testing.T) {
	const silence = 2200 * time.Millisecond
	is := is.New(t)
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(plenty))
	for first := range f.Hosts {
		id := fmt.Sprint("silent-", first)
		ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
		a := fleet.Stream(ctx, http.DefaultClient, f.Hosts[first].Listen, fleet.Ask{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60})
		cancel()
		is.True(!a.Whole)
		entry := (first + 1) % 6
		for i := range f.Hosts {
			if i != entry {
				f.Freeze(i)
			}
		}
		thaw := time.AfterFunc(silence, func() {
			for i := range f.Hosts {
				if i != entry {
					f.Thaw(i)
				}
			}
		})
		began := time.Now()
		b := f.Do(entry, fleet.Ask{Key: key, ID: id, Class: "chat", Input: []byte("q"), MaxTokens: 60, Attempt: 2, ResumeFrom: a.Chunks})
		t.Logf("taken up behind chunk %d in %v", a.Chunks, time.Since(began))
		time.Sleep(time.Until(began.Add(silence + 500*time.Millisecond)))
		thaw.Stop()
		is.NoErr(b.Err)
		is.True(b.Whole)
		is.Equal(string(a.Data)+string(b.Data), string(want("chat", id, nil, 60)))
		is.Equal(f.Runs(account)["org/"+id], 1)
	}
}

// Entry hosts and owners die under open streams; callers take them up again.
func TestAnswersWhenHostsDie(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(10*time.Millisecond), "")
	f.Apply(declarations(plenty))
	s := &storm{f: f, class: "chat", name: "d", tokens: 100, every: 20 * time.Millisecond, patience: 20 * time.Second}
	s.begin()
	time.Sleep(1500 * time.Millisecond)
	f.Kill(0)
	time.Sleep(1500 * time.Millisecond)
	f.Kill(4)
	time.Sleep(1500 * time.Millisecond)
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests*95/100)
}
