package streamversion

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// fixedPeers are three other hosts that give the same answer, or none.
type fixedPeers struct{ answer *Answer }

func (fixedPeers) Holders(Key) []string { return []string{"a", "b", "c"} }

func (fixedPeers) Tell(context.Context, string, []Announcement) error { return nil }

func (p fixedPeers) Ask(ctx context.Context, _ string, _ Question) (Answer, error) {
	if p.answer == nil {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return *p.answer, nil
}

// findWithOneVersion looks a stream up at a host whose list has one version, and is confirmed a while after the lookup began.
func findWithOneVersion(t *testing.T, peers Peers, confirmedAfter time.Duration) (f Finding, took time.Duration) {
	d := New(Options{
		Versions: func(string) []string { return []string{"v1"} }, Covers: func() bool { return true }, CatchUp: func() {}, Followed: func() bool { return true },
		ConfirmedSince: func(at time.Time) bool { return time.Since(at) >= confirmedAfter },
		Count:          func(string) {}, Go: func(_ string, run func()) { go run() },
	})
	d.SetPeers(peers)
	started := time.Now()
	f = d.Find(t.Context(), KeyOf("org", "a"), route, []string{service})
	return f, time.Since(started)
}

// Guards against a stream of a version that was listed a moment ago, which a host that is out of step takes for one of the only
// version that it knows.
func TestOneVersionInAnOldListIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Origin{service, "v2"}
		f, _ := findWithOneVersion(t, fixedPeers{&Answer{Origin: &o, KeepMs: 1000}}, time.Hour)
		if f.Verdict != Found || f.Origin != o {
			t.Errorf("%+v", f)
		}
	})
}

// Guards against take-ups that wait for hosts that have died, though the list has been confirmed.
func TestTakeUpDoesNotWaitForDeadHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, took := findWithOneVersion(t, fixedPeers{}, 20*time.Millisecond)
		if f.Source != FromOwnList || f.Origin.Version != "v1" || took > 30*time.Millisecond {
			t.Errorf("%+v after %v", f, took)
		}
	})
}

// Guards against a stream that goes on at the only version that a host knows, though it can reach nobody who could know more.
func TestHostThatReachesNobodyDoesNotConclude(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		if f, _ := findWithOneVersion(t, fixedPeers{}, time.Hour); f.Verdict != Unreachable {
			t.Errorf("%+v", f)
		}
	})
}

// peersThatKnow are three hosts that know a stream and answer after a while, and two that don't.
type peersThatKnow struct{ fixedPeers }

func (peersThatKnow) Holders(Key) []string { return []string{"a", "b", "c", "d", "e"} }

func (p peersThatKnow) Ask(_ context.Context, address string, _ Question) (Answer, error) {
	time.Sleep(50 * time.Millisecond)
	if address > "c" {
		return Answer{}, nil
	}
	return *p.answer, nil
}

// Guards against answers that are dropped as the list turns out to have a second version before they come.
func TestAnswersCountThoughTheListHasASecondVersionByThen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o, listed := Origin{service, "v2"}, time.Now().Add(20*time.Millisecond)
		d := New(Options{
			Versions: func(string) []string {
				if time.Now().Before(listed) {
					return []string{"v1"}
				}
				return []string{"v1", "v2"}
			},
			Covers: func() bool { return true }, CatchUp: func() {}, Followed: func() bool { return true },
			ConfirmedSince: func(time.Time) bool { return !time.Now().Before(listed) },
			Count:          func(string) {}, Go: func(_ string, run func()) { go run() },
		})
		d.SetPeers(peersThatKnow{fixedPeers{&Answer{Origin: &o, KeepMs: 1000}}})
		if f := d.Find(t.Context(), KeyOf("org", "a"), route, []string{service}); f.Verdict != Found || f.Origin != o {
			t.Errorf("%+v", f)
		}
	})
}
