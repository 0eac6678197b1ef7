package permit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkAskAndEnd measures what a request costs the scheduler of 10 and 100 targets, all places taken and 100
// requests waiting.
func BenchmarkAskAndEnd(b *testing.B) {
	for _, n := range []int{10, 100} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			s := newScheduler(now)
			now = now.Add(settleTime)
			named := append(targets(n, 4), targets(n, 4)...)
			var granted []permitKey
			id := uint64(0)
			ask := func() {
				id++
				key := permitKey{"h", id}
				from := rand.IntN(n)
				s.ask(key, Request{Targets: named[from : from+min(n, maxNamed)], MaxWait: time.Hour}, now, func(r Reply) {
					if r.Target != "" {
						granted = append(granted, key)
					}
				})
			}
			for _, t := range named[:n] {
				s.describe(t, now)
			}
			for range 4*n + 100 {
				ask()
			}
			b.ReportAllocs()
			for b.Loop() {
				ask()
				now = now.Add(maxGuard)
				if len(granted) == 0 {
					s.advance(now)
					continue
				}
				s.end(granted[0], Ended, now)
				granted = granted[1:]
			}
		})
	}
}

// maxNamed is how many targets a request names at most.
const maxNamed = 16
