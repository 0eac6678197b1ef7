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

// watchVersions polls the version of each host until stop is closed. wait returns each decrease seen.
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
					back = append(back, fmt.Sprintf("version on h%d decreased from %d to %d", i, last, v))
					mu.Unlock()
				}
				last = max(last, v)
			}
		})
	}
	return func() []string { wg.Wait(); return back }
}

// Operators publish concurrently through all hosts while responses of the log are lost: exactly one
// gets each version, the others get a conflict, and no host's version decreases.
func TestConfigOperatorsRace(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, nil, "")
	f.Apply(declarations(ampleBudget))
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
				_, err := publish(f, i, base, declarations(ampleBudget+uint64(10*round+i)))
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

// A host that can't reach the log gets an accepted configuration from its peers; one that can't
// reach the peers either gets it once it is connected again.
func TestConfigReachesCutOffHosts(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, nil, "")
	f.Apply(declarations(ampleBudget))
	f.CutLog(3)
	f.CutLog(5)
	rest := []int{0, 1, 2, 3, 4}
	f.Cut([]int{5}, rest)
	f.Apply(declarations(ampleBudget+1), rest...)
	is.Equal(f.VersionAt(5), uint64(1))
	f.Heal([]int{5}, rest)
	f.HealLog(5)
	f.Eventually("the version on h5", func() bool { return f.VersionAt(5) == 2 })
}

// The log becomes unavailable right after it accepted a configuration: all hosts apply it, also one
// that starts during the outage, which gets it from its peers.
func TestConfigHostStartsDuringOutage(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, engines(time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	v, err := publish(f, 0, 1, declarations(ampleBudget+7))
	is.NoErr(err)
	f.Switch("log", "down=1")
	for i := range f.Hosts {
		f.Eventually("the version everywhere", func() bool { return f.VersionAt(i) == v })
	}
	f.Kill(2)
	f.StartHost(2)
	f.Eventually("the version on the host that started", func() bool { return f.VersionAt(2) == v })
	a := f.Do(2, fleet.Request{Key: key, ID: "during", Class: "chat", MaxTokens: 5})
	is.True(a.Whole || a.Kind == "budget") // it holds no tokens yet, though its peers may
	f.Switch("log", "down=0")
	f.Eventually("six members again", func() bool { return len(f.View(0)) == 6 })
	is.Equal(f.VersionAt(2), v)
}

// The log retains few records. A host that was cut off for longer than the retention, and a fleet
// whose hosts are all restarted, recover current state from snapshots and peers, never old state.
func TestConfigPastRetention(t *testing.T) {
	is := is.New(t)
	f := fleet.Start(t, fleet.Options{Hosts: 3, Domains: 3, Retain: 60, Targets: engines(time.Millisecond), Settings: "[platform]\nsnapshot_every = 15\n"})
	f.Apply(declarations(50_000))
	f.CutLog(2)
	f.Cut([]int{2}, []int{0, 1})
	s := &traffic{f: f, class: "chat", name: "r", tokens: 20, interval: 10 * time.Millisecond, hosts: []int{0, 1}}
	s.start()
	v, err := publish(f, 0, 1, declarations(60_000))
	is.NoErr(err)
	time.Sleep(6 * time.Second) // many more appends than the 60 retained
	s.finish()
	f.Heal([]int{2}, []int{0, 1})
	f.HealLog(2)
	f.Eventually("h2 has caught up", func() bool { return f.VersionAt(2) == v })
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
		f.Eventually("the version after a restart of all", func() bool { return f.VersionAt(i) == v })
	}
	is.True(f.Budget(0, account).Billed >= billed)
	is.True(f.UsedTokens(account) <= 60_000)
}
