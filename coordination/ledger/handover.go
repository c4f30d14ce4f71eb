package ledger

import "time"

// Entry is a finished record as it is sent to a successor.
type Entry struct {
	Key    string
	Answer Answer
	Digest uint64
	Age    time.Duration // time since its prefix was issued
}

// Seal permanently stops the ledger from starting requests. The caller waits for
// Pending to reach zero before it calls Export.
func (l *Ledger) Seal() { l.sealed = true }

// Sealed reports whether Seal was called.
func (l *Ledger) Sealed() bool { return l.sealed }

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

// Predecessor is a ledger whose numbers are started by a successor from now on.
type Predecessor struct {
	Incarnation uint64
	Elapsed     time.Duration // time since it started
}

// Lineage returns this ledger and those that it has adopted, for its successor.
func (l *Ledger) Lineage(now time.Duration) []Predecessor {
	out := []Predecessor{{Incarnation: l.incarnation, Elapsed: now}}
	for inc, offset := range l.adopted {
		out = append(out, Predecessor{Incarnation: inc, Elapsed: now - offset})
	}
	return out
}

// AdoptedIncarnations returns the incarnations whose ledgers this one has adopted.
func (l *Ledger) AdoptedIncarnations() []uint64 {
	out := make([]uint64, 0, len(l.adopted))
	for inc := range l.adopted {
		out = append(out, inc)
	}
	return out
}

// Adopt makes this ledger the successor of other incarnations. The caller must have
// verified in the platform's store that the succession names this incarnation.
// The predecessors' elapsed times map their issue times to this ledger's clock.
func (l *Ledger) Adopt(lineage []Predecessor, entries []Entry, now time.Duration) {
	for _, p := range lineage {
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
