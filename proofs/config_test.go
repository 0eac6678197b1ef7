package proofs

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"

	maststagev1 "maststage.dev/api/maststage/v1"
	"maststage.dev/proofs/fleet"
)

func publish(f *fleet.Fleet, host int, base uint64, text string) (uint64, error) {
	got, err := f.Operator(host).Publish(context.Background(), connect.NewRequest(&maststagev1.PublishRequest{BaseVersion: base, Text: text}))
	if err != nil {
		return 0, err
	}
	return got.Msg.Version, nil
}

// watchVersions notes whether a host's version ever goes back.
func watchVersions(f *fleet.Fleet, stop <-chan struct{}) (wait func() []string) {
	var mu sync.Mutex
	var back []string
	var wg sync.WaitGroup
	for i := range f.Hosts {
		wg.Go(func() {
			var last uint64
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				v := f.VersionAt(i)
				if v != 0 && v < last {
					mu.Lock()
					back = append(back, fmt.Sprintf("h%d went from %d to %d", i, last, v))
					mu.Unlock()
				}
				last = max(last, v)
			}
		})
	}
	return func() []string { wg.Wait(); return back }
}

// Operators race through all hosts, and replies of the log are lost: one wins
// each version, the others are told, and no host ever goes back.
func TestConfigOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, nil, "")
	f.Apply(declarations(plenty))
	stop := make(chan struct{})
	wait := watchVersions(f, stop)
	f.Switch("log", "losepercent=40")
	for round := range 4 {
		base := uint64(round + 1)
		var wg sync.WaitGroup
		var mu sync.Mutex
		won, lost := 0, 0
		for i := range 6 {
			wg.Go(func() {
				_, err := publish(f, i, base, declarations(plenty+uint64(10*round+i)))
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					won++
				} else if connect.CodeOf(err) == connect.CodeFailedPrecondition {
					lost++
				}
			})
		}
		wg.Wait()
		is.Equal(won, 1)
		is.Equal(lost, 5)
		for i := range f.Hosts {
			f.Eventually("the version everywhere", func() bool { return f.VersionAt(i) == base+1 })
		}
	}
	close(stop)
	is.Equal(len(wait()), 0)
}

// A host that is cut off from the log gets an accepted configuration from its
// peers; one that is cut off from all gets it when it is back.
func TestConfigReachesCutOffHosts(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, nil, "")
	f.Apply(declarations(plenty))
	f.CutLog(3)
	f.CutLog(5)
	rest := []int{0, 1, 2, 3, 4}
	f.Cut([]int{5}, rest)
	f.Apply(declarations(plenty+1), rest...)
	is.Equal(f.VersionAt(5), uint64(1))
	f.Heal([]int{5}, rest)
	f.HealLog(5)
	f.Eventually("the version on h5", func() bool { return f.VersionAt(5) == 2 })
}

// The log goes down right after a configuration is accepted: it is in force on
// all hosts, and on one that starts during the outage, through its peers.
func TestConfigHostStartsDuringOutage(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(time.Millisecond), "")
	f.Apply(declarations(plenty))
	v, err := publish(f, 0, 1, declarations(plenty+7))
	is.NoErr(err)
	f.Switch("log", "down=1")
	for i := range f.Hosts {
		f.Eventually("the version everywhere", func() bool { return f.VersionAt(i) == v })
	}
	f.Kill(2)
	f.StartHost(2)
	f.Eventually("the version on the host that started", func() bool { return f.VersionAt(2) == v })
	a := f.Do(2, fleet.Ask{Key: key, ID: "during", Class: "chat", MaxTokens: 5})
	is.True(a.Whole || a.Kind == "budget") // it holds no tokens yet, its peers may
	f.Switch("log", "down=0")
	f.Eventually("six members again", func() bool { return len(f.View(0)) == 6 })
	is.Equal(f.VersionAt(2), v)
}

// The log keeps few records: a host cut off past its retention and a whole
// fleet that starts anew find state in snapshots and peers, never an old one.
func TestConfigPastRetention(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Options{Hosts: 3, Domains: 3, Retain: 60, Targets: engines(time.Millisecond), Settings: "[platform]\nsnapshot_every = 15\n"})
	f.Apply(declarations(50_000))
	f.CutLog(2)
	f.Cut([]int{2}, []int{0, 1})
	s := &storm{f: f, class: "chat", name: "r", tokens: 20, every: 10 * time.Millisecond, hosts: []int{0, 1}}
	s.begin()
	v, err := publish(f, 0, 1, declarations(60_000))
	is.NoErr(err)
	time.Sleep(6 * time.Second) // far more than 60 appends
	s.end()
	f.Heal([]int{2}, []int{0, 1})
	f.HealLog(2)
	f.Eventually("h2 is level again", func() bool { return f.VersionAt(2) == v })
	time.Sleep(2 * time.Second) // a snapshot is due
	billed := f.Budget(0, account).Billed
	is.True(billed > 0)
	for i := range f.Hosts {
		f.Kill(i)
	}
	for i := range f.Hosts {
		f.StartHost(i)
	}
	for i := range f.Hosts {
		f.Eventually("the version after a start of all", func() bool { return f.VersionAt(i) == v })
	}
	is.True(f.Budget(0, account).Billed >= billed)
	is.True(f.Used(account) <= 60_000)
}
