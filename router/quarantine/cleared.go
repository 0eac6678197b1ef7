package quarantine

// clearedGenerationSize is the number of completed requests in a generation. Two generations are kept,
// so that at least the newest 2,048 are known: over a minute at 30 requests per second, in 150 KB. A
// request that many callers repeat is added anew each time.
const clearedGenerationSize = 2048

// clearedSet remembers the digests of recently completed requests: they ran and did not crash their
// target. It is not safe for concurrent use.
type clearedSet struct {
	newer, older map[Digest]struct{}
}

func newClearedSet() *clearedSet {
	return &clearedSet{newer: map[Digest]struct{}{}, older: map[Digest]struct{}{}}
}

func (s *clearedSet) add(d Digest) {
	if len(s.newer) >= clearedGenerationSize {
		s.older, s.newer = s.newer, make(map[Digest]struct{}, clearedGenerationSize)
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
