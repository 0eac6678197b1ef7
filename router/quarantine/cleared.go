package quarantine

// clearedGeneration is how many whole answers a generation of the memory has. Two are kept,
// so that the newest 2,048 at least are known: over a minute at 30 requests a second, for
// 150 KB. A request that many callers repeat is remembered anew each time.
const clearedGeneration = 2048

// clearedSet remembers the digests of requests that came whole of late: they ran and did
// not crash their target. It is not safe for concurrent use.
type clearedSet struct {
	newer, older map[Digest]struct{}
}

func newClearedSet() *clearedSet {
	return &clearedSet{newer: map[Digest]struct{}{}, older: map[Digest]struct{}{}}
}

func (s *clearedSet) add(d Digest) {
	if len(s.newer) >= clearedGeneration {
		s.older, s.newer = s.newer, make(map[Digest]struct{}, clearedGeneration)
	}
	s.newer[d] = struct{}{}
}

func (s *clearedSet) has(d Digest) bool {
	if _, ok := s.newer[d]; ok {
		return true
	}
	_, ok := s.older[d]
	return ok
}
