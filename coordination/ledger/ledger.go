// Package ledger starts each numbered request at most once.
//
// A ledger belongs to one incarnation of one entry and dies with it, unless it
// is handed to an heir. It never needs the platform or a clock that agrees
// with another machine's: only its own incarnation's numbers start here, and a
// number whose record may have been dropped is answered Unknown, not started.
package ledger

import "time"

// Verdict is what Begin says of a numbered request.
type Verdict int

// The verdicts of Begin.
const (
	Start      Verdict = iota // this call, and no other, may run the request
	Join                      // it was started before: wait for or take its answer
	Foreign                   // another incarnation's number
	Expired                   // too old: it may have run, its record is gone
	Full                      // no room for a record: refuse it as not run
	HandedOver                // this ledger was handed on and starts nothing more
	Reused                    // the number was used for another request
)

// Answer is the final answer of a request: the status and body a caller got.
type Answer struct {
	Status int
	Body   []byte
}

// Record is one numbered request.
type Record struct {
	done   chan struct{}
	answer Answer
	issued time.Duration
	digest uint64 // of the request
}

// Done is closed when the answer is known.
func (r *Record) Done() <-chan struct{} { return r.done }

// Answer is valid once Done is closed.
func (r *Record) Answer() Answer { return r.answer }

// Ledger is not safe for concurrent use; its owner guards it (table.RankLedger).
type Ledger struct {
	opts     Options
	own      uint64
	records  map[string]*Record
	adopted  map[uint64]time.Duration // predecessor -> what to add to its issue times
	handedOn bool
	swept    time.Duration
}

// New returns the empty ledger of an incarnation.
func New(incarnation uint64, opts ...Option) *Ledger {
	return &Ledger{
		opts:    newOptions(opts),
		own:     incarnation,
		records: make(map[string]*Record),
		adopted: make(map[uint64]time.Duration),
	}
}

// Owns reports whether numbers of that incarnation may start here.
func (l *Ledger) Owns(incarnation uint64) bool {
	_, heir := l.adopted[incarnation]
	return incarnation == l.own || heir
}

// Number is a numbered request.
type Number struct {
	Key         string        // see ticket.Key
	Incarnation uint64        // of the ledger that the prefix names
	Issued      time.Duration // the prefix's time, on that ledger's clock
	Digest      uint64        // of the request, so that a number names one request only
}

// Begin decides on a numbered request; now is since this ledger's start.
func (l *Ledger) Begin(n Number, now time.Duration) (Verdict, *Record) {
	if !l.Owns(n.Incarnation) {
		return Foreign, nil
	}
	l.sweep(now)
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
	case l.handedOn:
		return HandedOver, nil
	case len(l.records) >= l.opts.MaxRecords:
		return Full, nil
	}
	r := &Record{done: make(chan struct{}), issued: issued, digest: n.Digest}
	l.records[n.Key] = r
	return Start, r
}

// Finish gives the request its final answer; only the first call counts.
func (l *Ledger) Finish(r *Record, a Answer) {
	select {
	case <-r.done:
	default:
		r.answer = a
		close(r.done)
	}
}

// Len returns the number of records held.
func (l *Ledger) Len() int { return len(l.records) }

// Pending returns the number of requests started and not finished.
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

// sweep drops records that no number can match any more: Begin answers Expired
// for their prefixes from here on.
func (l *Ledger) sweep(now time.Duration) {
	if now-l.swept < l.opts.Horizon/16 {
		return
	}
	l.swept = now
	for k, r := range l.records {
		if now-r.issued > l.opts.Horizon+l.opts.Grace {
			delete(l.records, k)
		}
	}
}
