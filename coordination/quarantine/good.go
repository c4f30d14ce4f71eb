package quarantine

import "time"

// mostGood bounds what is kept of whole answers, in each half of the time.
const mostGood = 16384

// goodAnswers remembers for a while which requests got whole answers, in two
// halves of that time, the older of which is dropped as a whole.
type goodAnswers struct {
	half       time.Duration
	now, older map[Fingerprint]struct{}
	since      time.Duration
}

func newGoodAnswers(keep time.Duration) goodAnswers {
	return goodAnswers{half: keep / 2, now: make(map[Fingerprint]struct{}), older: make(map[Fingerprint]struct{})}
}

func (g *goodAnswers) turn(now time.Duration) {
	switch age := now - g.since; {
	case age > 2*g.half:
		g.older = make(map[Fingerprint]struct{})
	case age > g.half || len(g.now) >= mostGood:
		g.older = g.now
	default:
		return
	}
	g.now = make(map[Fingerprint]struct{})
	g.since = now
}

func (g *goodAnswers) note(now time.Duration, f Fingerprint) {
	g.turn(now)
	g.now[f] = struct{}{}
}

func (g *goodAnswers) has(now time.Duration, f Fingerprint) bool {
	g.turn(now)
	_, late := g.now[f]
	_, early := g.older[f]
	return late || early
}
