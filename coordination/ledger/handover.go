package ledger

import "time"

// Entry is a finished record on its way to an heir.
type Entry struct {
	Key    string
	Answer Answer
	Digest uint64
	Age    time.Duration // since its prefix was issued
}

// Seal stops the ledger from starting anything more, for good. The caller
// waits for Pending to reach zero, then exports.
func (l *Ledger) Seal() { l.handedOn = true }

// Sealed reports whether Seal was called.
func (l *Ledger) Sealed() bool { return l.handedOn }

// Export returns the finished records of a sealed ledger.
func (l *Ledger) Export(now time.Duration) []Entry {
	out := make([]Entry, 0, len(l.records))
	for k, r := range l.records {
		select {
		case <-r.done:
			out = append(out, Entry{Key: k, Answer: r.answer, Digest: r.digest, Age: now - r.issued})
		default:
		}
	}
	return out
}

// Predecessor is a ledger whose numbers start elsewhere from now on.
type Predecessor struct {
	Incarnation uint64
	Elapsed     time.Duration // since it started
}

// Line returns this ledger and those it took over, as its heir needs them.
func (l *Ledger) Lineage(now time.Duration) []Predecessor {
	out := []Predecessor{{Incarnation: l.own, Elapsed: now}}
	for inc, offset := range l.adopted {
		out = append(out, Predecessor{Incarnation: inc, Elapsed: now - offset})
	}
	return out
}

// Succeeds returns the incarnations that this ledger took over.
func (l *Ledger) AdoptedIncarnations() []uint64 {
	out := make([]uint64, 0, len(l.adopted))
	for inc := range l.adopted {
		out = append(out, inc)
	}
	return out
}

// Adopt makes this ledger the successor of another incarnation. The caller has
// read from the platform that the succession names this incarnation.
// The predecessors' ages map their issue times to this ledger's clock.
func (l *Ledger) Adopt(line []Predecessor, entries []Entry, now time.Duration) {
	for _, p := range line {
		if !l.Owns(p.Incarnation) {
			l.adopted[p.Incarnation] = now - p.Elapsed
		}
	}
	for _, e := range entries {
		if _, ok := l.records[e.Key]; ok {
			continue
		}
		r := &Record{done: make(chan struct{}), answer: e.Answer, issued: now - e.Age, digest: e.Digest}
		close(r.done)
		l.records[e.Key] = r
	}
}
