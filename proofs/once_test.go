package proofs

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/proofs/fleet"
)

const plenty = 1_000_000

func saves(f *fleet.Fleet, name string, every time.Duration) *storm {
	s := &storm{f: f, class: "save", name: name, tokens: 1, every: every, silence: time.Second}
	s.begin()
	return s
}

// A caller asks again through each other host while the first run goes on.
func TestOnceRetryWhileRunning(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(500*time.Millisecond), "")
	f.Apply(declarations(plenty))
	var wg sync.WaitGroup
	answers := make([]fleet.Answer, 6)
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			answers[i] = f.Do(i, fleet.Ask{Key: key, ID: "renewal", Class: "save", Input: []byte("box"), Attempt: uint32(i + 1)})
		})
	}
	wg.Wait()
	for _, a := range answers {
		is.NoErr(a.Err)
		is.True(a.Whole)
		is.Equal(a.Data, answers[0].Data)
	}
	is.Equal(f.Runs(account), map[string]int{"org/renewal": 1})
	f.Eventually("one bill", func() bool { return f.Budget(0, account).Billed == 1 })
}

// Hosts are killed under a stream of saves: owners die before, during and
// after they dispatch.
func TestOnceOwnersKilled(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(30*time.Millisecond), "")
	f.Apply(declarations(plenty))
	s := saves(f, "k", 5*time.Millisecond)
	for _, i := range []int{1, 2} {
		time.Sleep(800 * time.Millisecond)
		f.Kill(i)
		time.Sleep(2500 * time.Millisecond)
		f.StartHost(i)
	}
	time.Sleep(2 * time.Second)
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests*9/10)
}

// An owner and a host that would take over die together.
func TestOnceOwnerAndSuccessorKilled(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(30*time.Millisecond), "")
	f.Apply(declarations(plenty))
	s := saves(f, "t", 5*time.Millisecond)
	time.Sleep(800 * time.Millisecond)
	f.Kill(1)
	f.Kill(2)
	time.Sleep(6 * time.Second)
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests/2)
}

// An owner is frozen, evicted, and woken unaware.
func TestOnceOwnerFrozen(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(30*time.Millisecond), "")
	f.Apply(declarations(plenty))
	s := saves(f, "z", 5*time.Millisecond)
	for range 2 {
		time.Sleep(700 * time.Millisecond)
		f.Freeze(1)
		f.Eventually("eviction of h1", func() bool { return len(f.View(0)) == 5 })
		time.Sleep(500 * time.Millisecond)
		f.Thaw(1)
		f.Eventually("h1 is back", func() bool { return len(f.View(0)) == 6 })
	}
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests*8/10)
}

// Two hosts are cut off from all others and from the log, are evicted, and go
// on serving callers with an old view.
func TestOnceOldView(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(plenty))
	s := saves(f, "v", 5*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	old, rest := []int{0, 1}, []int{2, 3, 4, 5}
	f.CutLog(old...)
	f.Cut(old, rest)
	f.Eventually("eviction of both", func() bool { return len(f.View(2)) == 4 })
	time.Sleep(2 * time.Second)
	f.Heal(old, rest)
	f.HealLog(old...)
	f.Eventually("both are back", func() bool { return len(f.View(2)) == 6 })
	time.Sleep(time.Second)
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests/2)
}

// One host loses the log only, another its peers only.
func TestOnceHalfCutOff(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(plenty))
	s := saves(f, "h", 5*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	f.CutLog(0)
	time.Sleep(2 * time.Second)
	f.HealLog(0)
	f.Cut([]int{1}, []int{0, 2, 3, 4, 5})
	time.Sleep(4 * time.Second)
	f.Heal([]int{1}, []int{0, 2, 3, 4, 5})
	time.Sleep(2 * time.Second)
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests*8/10)
}

// The log is down for long; saves go on, even when a host dies meanwhile.
func TestOnceLogDown(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(plenty))
	warm := saves(f, "w", 10*time.Millisecond)
	time.Sleep(time.Second)
	judge(t, f, warm.end(), plenty)
	f.Switch("log", "down=1")
	time.Sleep(2500 * time.Millisecond)
	s := saves(f, "d", 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	f.Kill(4)
	time.Sleep(4 * time.Second)
	f.Switch("log", "down=0")
	time.Sleep(3 * time.Second)
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests*9/10)
}

// The target acts and its answer is lost: the caller is told that it is not
// known, at once and again when it asks again, and nothing runs twice.
func TestOnceTargetAnswerLost(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(5*time.Millisecond), "")
	f.Apply(declarations(plenty))
	f.Switch("s0", "losereply=1000000")
	f.Switch("s1", "losereply=1000000")
	for i := range 12 {
		id := fmt.Sprint("lost-", i)
		a := f.Do(i%6, fleet.Ask{Key: key, ID: id, Class: "save"})
		is.Equal(a.Kind, "unknown")
		is.Equal(a.Ran, "unknown")
		b := f.Do((i+1)%6, fleet.Ask{Key: key, ID: id, Class: "save", Attempt: 2})
		is.Equal(b.Kind, "unknown")
	}
	for id, n := range f.Runs(account) {
		is.Equal(n, 1) // of each id
		_ = id
	}
}

// Refused before anything was sent is "not run", through every host, and a later
// try with the same id works at once.
func TestOnceNotRunIsTrue(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(5*time.Millisecond), "")
	f.Apply(declarations(plenty))
	busy := func(on string) {
		f.Switch("s0", "busy="+on)
		f.Switch("s1", "busy="+on)
	}
	for i := range f.Hosts {
		id := fmt.Sprint("busy-", i)
		busy("1")
		a := f.Do(i, fleet.Ask{Key: key, ID: id, Class: "save"})
		is.Equal(a.Kind, "overloaded")
		is.Equal(a.Ran, "no")
		is.True(a.After > 0)
		is.Equal(f.Runs(account)["org/"+id], 0)
		busy("0")
		b := f.Do((i+1)%6, fleet.Ask{Key: key, ID: id, Class: "save"})
		is.NoErr(b.Err)
		is.True(b.Whole)
		is.Equal(f.Runs(account)["org/"+id], 1)
	}
}

// The log answers, but slowly: saves are run once, and go on.
func TestOnceLogSlow(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(plenty))
	f.Switch("log", "slow=700")
	s := saves(f, "slow", 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	f.Kill(3)
	time.Sleep(4 * time.Second)
	c := judge(t, f, s.end(), plenty)
	is.True(c.Whole > c.Requests/2)
}
