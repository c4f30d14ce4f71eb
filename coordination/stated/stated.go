// Package stated keeps what replicas state of themselves in their answers: that
// they leave, and that they want a rest.
//
// What is inferred of a replica (package health) may be wrong, so it is bounded:
// never more than half of a service is left alone for it. A statement is a fact:
// no bound on shares and no other's choice takes it back. Leaving holds for that
// life of the replica, whoever heard it; a rest for whom it was said to, until it
// ends by the clock. After a rest the replica gets one request, then a few, as
// all that waited for its end would fill it at once again.
//
// The package is pure: event and time in, decision out.
package stated

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options are the book's constants.
type Options struct {
	RampAnswers       int           // answers after a rest, from which a replica gets any number of requests: with one more at once after each answer, some ten requests
	RampInterval      time.Duration // after the last request, one more may follow although none is answered: long answers must not keep a replica idle
	UnlistedRetention time.Duration // that a statement of a life is kept which neither this instance lists nor anybody who tells of it: entries that lapse with a silent store are back within seconds of its return
	MaxUnlisted       int           // lives that are not listed; a bound against a peer that names many
}

// Standard returns the constants in use.
func Standard() Options {
	return Options{RampAnswers: 4, RampInterval: 500 * time.Millisecond, UnlistedRetention: 2 * time.Minute, MaxUnlisted: 4096}
}

// Book is not safe for concurrent use. Replicas are named by their lives.
type Tracker struct {
	opts Options
	rows map[string]*row
	next int // of the lives that leave, whose turn it is to be told
}

type row struct {
	leaves bool
	since  time.Duration // that it leaves, as this instance knows
	restTo time.Duration
	rests  bool // restTo is not yet said to be over
	ramp   *ramp
	listed time.Duration // when it was listed last, or named by who lists it
	isHere bool          // it was listed at the last sweep
}

// ramp bounds what a replica gets after a rest; nil: nothing does.
type ramp struct {
	most    int // requests at once
	under   int // of those that were begun since
	answers int
	last    time.Duration // when one was begun; 0: none was
}

// New returns an empty book.
func New(o Options) *Tracker { return &Tracker{opts: o, rows: make(map[string]*row)} }

func (b *Tracker) row(now time.Duration, life string) *row {
	r := b.rows[life]
	if r == nil {
		r = &row{listed: now}
		b.rows[life] = r
	}
	return r
}

// Leaves takes in that a life says it leaves, and reports whether that is new.
func (b *Tracker) RecordDrain(now time.Duration, life string) bool {
	r := b.row(now, life)
	r.listed = now
	if r.leaves {
		return false
	}
	r.leaves, r.since = true, now
	return true
}

// HasLeft reports whether a life has said that it leaves.
func (b *Tracker) IsDraining(life string) bool {
	r := b.rows[life]
	return r != nil && r.leaves
}

// Rests takes in that a life wants nothing from this instance for so long, and
// reports whether it did not rest before. Of several rests the longest holds: each
// was said, and none takes another one back.
func (b *Tracker) RecordBackoff(now time.Duration, life string, length time.Duration) bool {
	r := b.row(now, life)
	isNew := !r.rests
	r.restTo = max(r.restTo, now+length)
	r.rests = true
	r.ramp = &ramp{most: 1}
	return isNew
}

// May reports whether a life may get a request now, and from when on where it may
// not: never where it leaves, now where it does once another one is answered.
func (b *Tracker) CanSend(now time.Duration, life string) (ok bool, from time.Duration) {
	r := b.rows[life]
	switch {
	case r == nil:
		return true, now
	case r.leaves:
		return false, Never
	case now < r.restTo:
		return false, r.restTo
	case r.ramp == nil || r.ramp.under < r.ramp.most || now >= r.ramp.last+b.opts.RampInterval:
		return true, now
	}
	return false, now
}

// Never is when a life that leaves may get a request again.
const Never = time.Duration(1<<63 - 1)

// RestsTo returns until when a life rests; false where it does not.
func (b *Tracker) BackoffUntil(now time.Duration, life string) (time.Duration, bool) {
	r := b.rows[life]
	if r == nil || now >= r.restTo {
		return 0, false
	}
	return r.restTo, true
}

// Turn is a request that may be sent. Answered and End must be called as it goes.
type Attempt struct {
	ramp *ramp
	row  *row
}

// Begin counts a request right before it is sent; false: it must not be.
func (b *Tracker) Begin(now time.Duration, life string) (Attempt, bool) {
	if ok, _ := b.CanSend(now, life); !ok {
		return Attempt{}, false
	}
	r := b.rows[life]
	if r == nil || r.ramp == nil {
		return Attempt{}, true
	}
	r.ramp.under++
	r.ramp.last = now
	return Attempt{ramp: r.ramp, row: r}, true
}

// Answered takes in that a request's answer has begun, and did not turn it away.
func (b *Tracker) RecordAnswer(t Attempt) {
	if t.ramp == nil || t.row.ramp != t.ramp { // another rest came meanwhile
		return
	}
	t.ramp.most++
	t.ramp.answers++
	if t.ramp.answers >= b.opts.RampAnswers {
		t.row.ramp = nil
	}
}

// End takes in that a request is over.
func (b *Tracker) End(t Attempt) {
	if t.ramp != nil {
		t.ramp.under--
	}
}

// Changes is what time has changed.
type Changes struct {
	BackoffEnded []string // lives whose rest is over
	Removed      []string // lives that had said that they leave, and are forgotten
}

// Empty reports whether nothing is stated.
func (b *Tracker) Empty() bool { return len(b.rows) == 0 }

// Sweep forgets what is of no use, and returns what has changed by time alone.
func (b *Tracker) Sweep(now time.Duration, listed func(life string) bool) Changes {
	var out Changes
	unlisted := make(map[string]time.Duration)
	for life, r := range b.rows {
		if r.rests && now >= r.restTo {
			r.rests = false
			out.BackoffEnded = append(out.BackoffEnded, life)
		}
		r.isHere = listed(life)
		switch {
		case r.isHere:
			r.listed = now
			if !r.leaves && !r.rests && r.ramp == nil {
				delete(b.rows, life)
			}
		case now-r.listed > b.opts.UnlistedRetention:
			out.Removed = b.forget(out.Removed, life)
		default:
			unlisted[life] = r.listed
		}
	}
	if over := len(unlisted) - b.opts.MaxUnlisted; over > 0 {
		oldest := slices.SortedFunc(maps.Keys(unlisted), func(x, y string) int {
			return cmp.Or(cmp.Compare(unlisted[x], unlisted[y]), cmp.Compare(x, y))
		})
		for _, life := range oldest[:over] {
			out.Removed = b.forget(out.Removed, life)
		}
	}
	slices.Sort(out.BackoffEnded)
	slices.Sort(out.Removed)
	return out
}

func (b *Tracker) forget(gone []string, life string) []string {
	if b.rows[life].leaves {
		gone = append(gone, life)
	}
	delete(b.rows, life)
	return gone
}

// News returns the lives that leave which are worth telling others: those known
// since a moment ago, and in turn the others that are listed here, for who starts
// later or was cut off. The list of replicas may not tell them for as long as the
// store is silent. Who lists a life no more tells nobody of it: instances that
// have forgotten it, one after the other, would remind each other for ever.
func (b *Tracker) Updates(now, fresh time.Duration, most int) []string {
	var out, older []string
	for life, r := range b.rows {
		switch {
		case !r.leaves:
		case now-r.since < fresh:
			out = append(out, life)
		case r.isHere:
			older = append(older, life)
		}
	}
	slices.Sort(out)
	slices.Sort(older)
	for range min(len(older), b.turns(most-len(out))) {
		b.next = (b.next + 1) % len(older)
		out = append(out, older[b.next])
	}
	return out[:min(len(out), most)]
}

// olderTold is how many lives that left long ago one heartbeat tells.
const olderTold = 2

func (b *Tracker) turns(room int) int { return min(max(room, 0), olderTold) }

// Left returns the lives that have said that they leave, in order.
func (b *Tracker) Draining() []string {
	var out []string
	for life, r := range b.rows {
		if r.leaves {
			out = append(out, life)
		}
	}
	slices.Sort(out)
	return out
}

// Resting returns the lives that rest, and until when.
func (b *Tracker) Backoffs(now time.Duration) map[string]time.Duration {
	var out map[string]time.Duration
	for life, r := range b.rows {
		if now >= r.restTo {
			continue
		}
		if out == nil {
			out = make(map[string]time.Duration)
		}
		out[life] = r.restTo
	}
	return out
}
