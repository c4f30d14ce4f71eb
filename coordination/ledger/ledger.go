// Package ledger starts each numbered request at most once (deduplication by
// idempotency key).
//
// A ledger belongs to one incarnation of one entry and is lost with it, unless it is
// handed over to a successor. It needs neither the platform nor synchronized clocks:
// only numbers of its own incarnation start here, and a number whose record may have
// been dropped gets an unknown outcome instead of being started.
package ledger

import "time"

// Verdict is the decision of Begin on a numbered request.
type Verdict int

// The verdicts of Begin.
const (
	Start      Verdict = iota // the caller, and no other, may run the request
	Join                      // already started: wait for its answer
	Foreign                   // the number belongs to another incarnation
	Expired                   // too old: it may have run, and its record may be gone
	Full                      // too many records: refuse the request as not run
	HandedOver                // the ledger was handed over and starts no more requests
	Reused                    // the number was used for a different request
)

// Answer is the final response of a request.
type Answer struct {
	Status int
	Body   []byte
}

// Record is the state of one numbered request.
type Record struct {
	done   chan struct{} // closed when answer is set
	answer Answer
	issued time.Duration // when its prefix was issued, on this ledger's clock
	digest uint64        // digest of the request
}

// Done returns a channel that is closed when the answer is available.
func (r *Record) Done() <-chan struct{} { return r.done }

// Answer returns the answer; it is valid once Done is closed.
func (r *Record) Answer() Answer { return r.answer }

// Ledger holds the records of numbered requests. It is not safe for concurrent use;
// the owner holds a lock of rank table.RankLedger.
type Ledger struct {
	opts        Options
	incarnation uint64
	records     map[string]*Record       // by Number.Key
	adopted     map[uint64]time.Duration // by incarnation: offset from each predecessor's clock to this ledger's
	sealed      bool                     // handed over: starts no more requests
	lastSweep   time.Duration            // when expire last dropped records
}

// New returns the empty ledger of an incarnation.
func New(incarnation uint64, opts ...Option) *Ledger {
	return &Ledger{
		opts:        newOptions(opts),
		incarnation: incarnation,
		records:     make(map[string]*Record),
		adopted:     make(map[uint64]time.Duration),
	}
}

// Owns reports whether numbers of the given incarnation may start here.
func (l *Ledger) Owns(incarnation uint64) bool {
	_, adopted := l.adopted[incarnation]
	return incarnation == l.incarnation || adopted
}

// Number identifies a numbered request.
type Number struct {
	Key         string        // see ticket.Key
	Incarnation uint64        // ledger incarnation named by the prefix
	Issued      time.Duration // when the prefix was issued, on that ledger's clock
	Digest      uint64        // digest of the request, to detect a number that is reused for another request
}

// Begin decides whether a numbered request may run; now is the time since this
// ledger's start.
func (l *Ledger) Begin(n Number, now time.Duration) (Verdict, *Record) {
	if !l.Owns(n.Incarnation) {
		return Foreign, nil
	}
	l.expire(now)
	if r, ok := l.records[n.Key]; ok {
		if r.digest != n.Digest {
			return Reused, nil
		}
		return Join, r
	}
	issued := n.Issued + l.adopted[n.Incarnation]
	switch {
	case now-issued > l.opts.Horizon:
		return Expired, nil
	case l.sealed:
		return HandedOver, nil
	case len(l.records) >= l.opts.MaxRecords:
		return Full, nil
	}
	r := &Record{done: make(chan struct{}), issued: issued, digest: n.Digest}
	l.records[n.Key] = r
	return Start, r
}

// Finish sets the final answer of a request; only the first call has an effect.
func (l *Ledger) Finish(r *Record, a Answer) {
	select {
	case <-r.done:
	default:
		r.answer = a
		close(r.done)
	}
}

// Len returns the number of records.
func (l *Ledger) Len() int { return len(l.records) }

// Pending returns the number of requests that are started and not finished.
func (l *Ledger) Pending() int {
	n := 0
	for _, r := range l.records {
		select {
		case <-r.done:
		default:
			n++
		}
	}
	return n
}

// expire drops records that are no longer needed, as Begin now returns Expired for
// their prefixes.
func (l *Ledger) expire(now time.Duration) {
	if now-l.lastSweep < l.opts.Horizon/16 {
		return
	}
	l.lastSweep = now
	for k, r := range l.records {
		if now-r.issued > l.opts.Horizon+l.opts.Grace {
			delete(l.records, k)
		}
	}
}
