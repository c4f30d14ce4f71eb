package quarantine

import "time"

// maxSuccessesPerHalf is the number of recorded successes at which the current
// generation is rotated early, which bounds the memory.
const maxSuccessesPerHalf = 16384

// successes records which requests got a complete answer recently. It keeps two
// generations of half the retention time each and drops the older one as a whole, so a
// success is kept for at least half of the retention time unless there are very many.
type successes struct {
	half              time.Duration // lifetime of a generation: half the retention time
	current, previous map[Fingerprint]struct{}
	currentSince      time.Duration
}

func newSuccesses(keep time.Duration) successes {
	return successes{half: keep / 2, current: make(map[Fingerprint]struct{}), previous: make(map[Fingerprint]struct{})}
}

func (s *successes) rotate(now time.Duration) {
	switch age := now - s.currentSince; {
	case age > 2*s.half:
		s.previous = make(map[Fingerprint]struct{})
	case age > s.half || len(s.current) >= maxSuccessesPerHalf:
		s.previous = s.current
	default:
		return
	}
	s.current = make(map[Fingerprint]struct{})
	s.currentSince = now
}

func (s *successes) record(now time.Duration, f Fingerprint) {
	s.rotate(now)
	s.current[f] = struct{}{}
}

func (s *successes) has(now time.Duration, f Fingerprint) bool {
	s.rotate(now)
	_, inCurrent := s.current[f]
	_, inPrevious := s.previous[f]
	return inCurrent || inPrevious
}
