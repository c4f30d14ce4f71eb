package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Updates returns the entries of the next message to other instances: recently
// changed cases, and some quarantined ones repeated round-robin.
func (t *Tracker) Updates(now time.Duration) []Entry {
	var out []Entry
	for _, c := range t.unannounced() {
		c.announced++
		out = append(out, c.entry(now))
	}
	repeated := 0
	for range t.order {
		t.repeatCursor++
		c := t.order[t.repeatCursor%len(t.order)]
		if t.verdictOf(c) != Quarantined || c.announced < t.opts.Announcements {
			continue
		}
		out = append(out, c.entry(now))
		if repeated++; repeated == t.opts.RepeatsPerMessage {
			break
		}
	}
	return out
}

// unannounced returns the changed cases to announce next. If they exceed one message,
// quarantined requests go before suspects, of which there may be many that ran
// concurrently, then the least announced cases.
func (t *Tracker) unannounced() []*Case {
	var out []*Case
	for _, c := range t.order {
		if c.announced < t.opts.Announcements {
			out = append(out, c)
		}
	}
	if len(out) <= t.opts.MaxChangedPerMessage {
		return out
	}
	slices.SortStableFunc(out, func(x, y *Case) int {
		return cmp.Or(cmp.Compare(t.verdictOf(y), t.verdictOf(x)), cmp.Compare(x.announced, y.announced), cmp.Compare(len(y.Ended), len(x.Ended)))
	})
	return out[:t.opts.MaxChangedPerMessage]
}

// Snapshot returns the entries for an instance that has just started: quarantined
// requests, then suspects, at most MaxPerSnapshot.
func (t *Tracker) Snapshot(now time.Duration) []Entry {
	var out []Entry
	for _, verdict := range []Verdict{Quarantined, Suspect} {
		for _, c := range t.order {
			if t.verdictOf(c) == verdict && len(out) < t.opts.MaxPerSnapshot {
				out = append(out, c.entry(now))
			}
		}
	}
	return out
}

// Lookup returns the entry of a request.
func (t *Tracker) Lookup(now time.Duration, f Fingerprint) (Entry, bool) {
	c := t.cases[f]
	if c == nil {
		return Entry{}, false
	}
	return c.entry(now), true
}

func (c *Case) entry(now time.Duration) Entry {
	return Entry{Fingerprint: c.Fingerprint, Kind: c.Kind, Ended: slices.Clone(c.Ended), Tried: slices.Clone(c.Tried), Cleared: slices.Clone(c.Cleared), Age: now - c.LastRequested}
}

// Merge merges an entry of another instance. Entries older than the case's TTL are
// ignored; otherwise two instances would keep an expired case alive forever by sending
// it to each other.
func (t *Tracker) Merge(now time.Duration, e Entry) []Change {
	known := t.cases[e.Fingerprint]
	if known == nil && (e.Age > t.ttl(len(e.Ended)) || len(e.Ended) == 0) {
		return nil
	}
	c := t.caseFor(now, e.Fingerprint)
	if known == nil {
		c.LastRequested = now - e.Age
	}
	ended, cleared := t.mergeIncarnations(now, c, e)
	tried := mergeTried(c, e, ended)
	kind := max(c.Kind, e.Kind) // builds that do not know parts leave it out
	if len(ended) == len(c.Ended) && len(cleared) == len(c.Cleared) && len(tried) == len(c.Tried) && kind == c.Kind {
		c.LastRequested = max(c.LastRequested, now-e.Age)
		return nil
	}
	lastRequested := max(c.LastRequested, now-e.Age)
	out := t.update(now, c, func() { c.Kind, c.Ended, c.Tried, c.Cleared = kind, ended, tried, cleared })
	c.LastRequested = lastRequested
	return out
}

// mergeIncarnations returns the incarnations of a case merged with those of an entry.
// An incarnation that either side has cleared is cleared.
func (t *Tracker) mergeIncarnations(now time.Duration, c *Case, e Entry) (ended, cleared []Incarnation) {
	cleared = slices.Clone(c.Cleared)
	for _, inc := range e.Cleared {
		if !slices.Contains(cleared, inc) {
			cleared = append(cleared, inc)
		}
	}
	good := t.hasSucceeded(now, c.Fingerprint)
	for _, inc := range slices.Concat(c.Ended, e.Ended) {
		switch {
		case slices.Contains(cleared, inc) || slices.Contains(ended, inc):
		case good:
			cleared = append(cleared, inc)
		case len(ended) < t.opts.MaxIncarnations:
			ended = append(ended, inc)
		}
	}
	return ended, t.newest(cleared)
}

// mergeTried returns the merged incarnations that ended in trials, of those that still count.
func mergeTried(c *Case, e Entry, ended []Incarnation) []Incarnation {
	var out []Incarnation
	for _, inc := range ended {
		if slices.Contains(c.Tried, inc) || slices.Contains(e.Tried, inc) {
			out = append(out, inc)
		}
	}
	return out
}
