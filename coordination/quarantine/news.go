package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Tell returns what a message to other instances holds: the cases that have
// changed lately, and some condemned ones in their turn.
func (b *Tracker) Announce(now time.Duration) []Entry {
	var out []Entry
	for _, c := range b.changed() {
		c.told++
		out = append(out, c.entry(now))
	}
	inTurn := 0
	for range b.order {
		b.turn++
		c := b.order[b.turn%len(b.order)]
		if b.verdict(c) != Quarantined || c.told < b.opts.Announcements {
			continue
		}
		out = append(out, c.entry(now))
		if inTurn++; inTurn == b.opts.RepeatsPerMessage {
			break
		}
	}
	return out
}

// changed returns the cases that are to be told now: what is condemned before
// those that ran beside it, which may be many, and of equals the one that was told
// least.
func (b *Tracker) changed() []*Case {
	var out []*Case
	for _, c := range b.order {
		if c.told < b.opts.Announcements {
			out = append(out, c)
		}
	}
	if len(out) <= b.opts.MaxChangedPerMessage {
		return out
	}
	slices.SortStableFunc(out, func(x, y *Case) int {
		return cmp.Or(cmp.Compare(b.verdict(y), b.verdict(x)), cmp.Compare(x.told, y.told), cmp.Compare(len(y.Ended), len(x.Ended)))
	})
	return out[:b.opts.MaxChangedPerMessage]
}

// TellAll returns what an instance that has just started is told: what is
// condemned and suspected, as much as a message holds.
func (b *Tracker) Snapshot(now time.Duration) []Entry {
	var out []Entry
	for _, least := range []Verdict{Quarantined, Suspect} {
		for _, c := range b.order {
			if b.verdict(c) == least && len(out) < b.opts.MaxPerSnapshot {
				out = append(out, c.entry(now))
			}
		}
	}
	return out
}

// Known returns what is known of a request, as it is told.
func (b *Tracker) Lookup(now time.Duration, f Fingerprint) (Entry, bool) {
	c := b.cases[f]
	if c == nil {
		return Entry{}, false
	}
	return c.entry(now), true
}

func (c *Case) entry(now time.Duration) Entry {
	return Entry{Fingerprint: c.Fingerprint, Ended: slices.Clone(c.Ended), Cleared: slices.Clone(c.Cleared), Age: now - c.LastRequested}
}

// Merge takes in what another instance tells. What is older than such a case is
// kept is passed over: or two instances would remind each other of it for ever.
func (b *Tracker) Merge(now time.Duration, e Entry) []Change {
	known := b.cases[e.Fingerprint]
	if known == nil && (e.Age > b.keepFor(len(e.Ended)) || len(e.Ended) == 0) {
		return nil
	}
	c := b.open(now, e.Fingerprint)
	if known == nil {
		c.LastRequested = now - e.Age
	}
	ended, cleared := b.merged(now, c, e)
	if len(ended) == len(c.Ended) && len(cleared) == len(c.Cleared) {
		c.LastRequested = max(c.LastRequested, now-e.Age)
		return nil
	}
	asked := max(c.LastRequested, now-e.Age)
	out := b.change(now, c, func() { c.Ended, c.Cleared = ended, cleared })
	c.LastRequested = asked
	return out
}

// merged returns the lives of a case after another's word: what one of the two
// has cleared is cleared.
func (b *Tracker) merged(now time.Duration, c *Case, e Entry) (ended, cleared []Incarnation) {
	cleared = slices.Clone(c.Cleared)
	for _, life := range e.Cleared {
		if !slices.Contains(cleared, life) {
			cleared = append(cleared, life)
		}
	}
	good := b.good.has(now, c.Fingerprint)
	for _, life := range slices.Concat(c.Ended, e.Ended) {
		switch {
		case slices.Contains(cleared, life) || slices.Contains(ended, life):
		case good:
			cleared = append(cleared, life)
		case len(ended) < b.opts.MaxIncarnations:
			ended = append(ended, life)
		}
	}
	return ended, b.newest(cleared)
}
