package proofs

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"maststage.dev/proofs/fleet"
)

const ampleBudget = 1_000_000

func startSaves(f *fleet.Fleet, name string, interval time.Duration) *traffic {
	s := &traffic{f: f, class: "save", name: name, tokens: 1, interval: interval, idleTimeout: time.Second}
	s.start()
	return s
}

// Guards against a second run of a non-repeatable request: the caller retries through every other
// host while the first attempt runs, and all attempts get the same response.
func TestOnceRetryWhileRunning(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(500*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	var wg sync.WaitGroup
	answers := make([]fleet.Response, 6)
	for i := range answers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 50 * time.Millisecond)
			answers[i] = f.Do(i, fleet.Request{Key: key, ID: "renewal", Class: "save", Input: []byte("box"), Attempt: uint32(i + 1)})
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

// Hosts are killed under steady non-repeatable requests, so that owners die before, during and after
// dispatch. No request runs twice.
func TestOnceOwnersKilled(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(30*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	s := startSaves(f, "k", 5*time.Millisecond)
	for _, i := range []int{1, 2} {
		time.Sleep(800 * time.Millisecond)
		f.Kill(i)
		time.Sleep(2500 * time.Millisecond)
		f.StartHost(i)
	}
	time.Sleep(2 * time.Second)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests*9/10)
}

// An owner and its successor are killed together.
func TestOnceOwnerAndSuccessorKilled(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(30*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	s := startSaves(f, "t", 5*time.Millisecond)
	time.Sleep(800 * time.Millisecond)
	f.Kill(1)
	f.Kill(2)
	time.Sleep(6 * time.Second)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests/2)
}

// An owner is paused, evicted, and resumed without knowing of its eviction.
func TestOnceOwnerFrozen(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(30*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	s := startSaves(f, "z", 5*time.Millisecond)
	for range 2 {
		time.Sleep(700 * time.Millisecond)
		f.Pause(1)
		f.Eventually("eviction of h1", func() bool { return len(f.View(0)) == 5 })
		time.Sleep(500 * time.Millisecond)
		f.Resume(1)
		f.Eventually("h1 is back", func() bool { return len(f.View(0)) == 6 })
	}
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests*8/10)
}

// Two hosts lose the log and all other hosts, are evicted, and continue to serve callers with a stale
// view.
func TestOnceOldView(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	s := startSaves(f, "v", 5*time.Millisecond)
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
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests/2)
}

// One host loses only the log, another only its peers.
func TestOnceHalfCutOff(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	s := startSaves(f, "h", 5*time.Millisecond)
	time.Sleep(500 * time.Millisecond)
	f.CutLog(0)
	time.Sleep(2 * time.Second)
	f.HealLog(0)
	f.Cut([]int{1}, []int{0, 2, 3, 4, 5})
	time.Sleep(4 * time.Second)
	f.Heal([]int{1}, []int{0, 2, 3, 4, 5})
	time.Sleep(2 * time.Second)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests*8/10)
}

// The log is unavailable for several seconds; requests are still served, also after a host is killed meanwhile.
func TestOnceLogDown(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	warm := startSaves(f, "w", 10*time.Millisecond)
	time.Sleep(time.Second)
	checkCases(t, f, warm.finish(), ampleBudget)
	f.Switch("log", "down=1")
	time.Sleep(2500 * time.Millisecond)
	s := startSaves(f, "d", 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	f.Kill(4)
	time.Sleep(4 * time.Second)
	f.Switch("log", "down=0")
	time.Sleep(3 * time.Second)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests*9/10)
}

// A target executes a request and its response is lost: the caller gets the kind "unknown", also on a
// retry, and nothing runs twice.
func TestOnceTargetAnswerLost(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(5*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	f.Switch("s0", "losereply=1000000")
	f.Switch("s1", "losereply=1000000")
	for i := range 12 {
		id := fmt.Sprint("lost-", i)
		a := f.Do(i%6, fleet.Request{Key: key, ID: id, Class: "save"})
		is.Equal(a.Kind, "unknown")
		is.Equal(a.Ran, "unknown")
		b := f.Do((i+1)%6, fleet.Request{Key: key, ID: id, Class: "save", Attempt: 2})
		is.Equal(b.Kind, "unknown")
	}
	for id, n := range f.Runs(account) {
		is.Equal(n, 1) // for each id
		_ = id
	}
}

// A refusal before anything was sent reports that the request did not run, through every host, and a
// later attempt with the same id succeeds.
func TestOnceRefusalMeansNotRun(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(5*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	busy := func(on string) {
		f.Switch("s0", "busy="+on)
		f.Switch("s1", "busy="+on)
	}
	for i := range f.Hosts {
		id := fmt.Sprint("busy-", i)
		busy("1")
		a := f.Do(i, fleet.Request{Key: key, ID: id, Class: "save"})
		is.Equal(a.Kind, "overloaded")
		is.Equal(a.Ran, "no")
		is.True(a.RetryAfter > 0)
		is.Equal(f.Runs(account)["org/"+id], 0)
		busy("0")
		b := f.Do((i+1)%6, fleet.Request{Key: key, ID: id, Class: "save"})
		is.NoErr(b.Err)
		is.True(b.Whole)
		is.Equal(f.Runs(account)["org/"+id], 1)
	}
}

// The log responds slowly, and a host is killed: requests are still served, each at most once.
func TestOnceLogSlow(t *testing.T) {
	is := is.New(t)
	f := sixHosts(t, services(20*time.Millisecond), "")
	f.Apply(declarations(ampleBudget))
	f.Switch("log", "slow=700")
	s := startSaves(f, "slow", 10*time.Millisecond)
	time.Sleep(2 * time.Second)
	f.Kill(3)
	time.Sleep(4 * time.Second)
	c := checkCases(t, f, s.finish(), ampleBudget)
	is.True(c.Whole > c.Requests/2)
}
