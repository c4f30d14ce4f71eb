// Package quarantine tells requests that crash the replicas which run them (a
// query of death, a poison message) from those that ran beside one.
//
// What speaks against a request is that a replica ended while it ran there, one
// life of a replica at a time; what speaks for it is a whole answer, since a
// request that crashes its replica never gets one. A request under which some
// have ended is suspect: it is tried at one place at a time, apart from other
// suspects. One under which as many as Options.Condemns have ended is condemned
// and is not sent any more.
//
// What instances know is merged by union, in any order, and needs no clocks
// that agree. A Book is pure: events and time in, verdicts and news out.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Life names one life of a replica among those that a book knows.
type Incarnation uint32

// LifeOf returns the name of a replica's life.
func IncarnationOf(replica string) Incarnation { return Incarnation(xxhash.Sum64String(replica)) }

// Verdict is what a book holds of a request.
type Verdict int

// The verdicts.
const (
	Unsuspected Verdict = iota
	Suspect             // replicas have ended under it; it may be tried where nothing else is at stake
	Quarantined         // it is not sent any more
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"unsuspected", "suspect", "condemned"}[v]
}

// Options are a book's constants.
type Options struct {
	QuarantineAt         int           // replicas that end under a request before it is condemned
	MaxEndDelay          time.Duration // that an answer's breaking off and a replica's end may lie apart
	SuccessTTL           time.Duration // that a whole answer speaks for all tries of a request, whatever ends beside them
	SuspectTTL           time.Duration // without news, after which a suspect is forgotten
	QuarantineTTL        time.Duration // without a try, after which a condemned one is
	MaxCases             int           // cases; those with least against them give way
	MaxIncarnations      int           // kept of a case, on each side
	Announcements        int           // times that changed cases are told
	MaxChangedPerMessage int           // changed cases in a message
	MaxPerSnapshot       int           // cases in a message to an instance that has just started
	RepeatsPerMessage    int           // condemned cases in a message besides, in their turn, for instances that were suspended or cut off
}

// Standard returns the constants in use.
func DefaultOptions() Options {
	return Options{
		QuarantineAt:         3,                // as many as the users' rule leaves; with two, one that was beside another twice is condemned
		MaxEndDelay:          5 * time.Second,  // a replica's entry goes about 3 s after its end
		SuccessTTL:           10 * time.Second, // a request that many ask for is answered more often than that
		SuspectTTL:           time.Minute,      // longer than callers repeat a request that failed
		QuarantineTTL:        time.Hour,
		MaxCases:             4096, // about 0.5 MB
		MaxIncarnations:      8,
		Announcements:        6, // rounds of heartbeats: all of 390 instances hear in five
		MaxChangedPerMessage: 16,
		MaxPerSnapshot:       200, // some 8 KB, half of the longest datagram
		RepeatsPerMessage:    8,
	}
}

// Case is what is known of one request.
type Case struct {
	Fingerprint   Fingerprint
	Ended         []Incarnation // that ended under it
	Cleared       []Incarnation // that ended beside it: it has had a whole answer since
	LastRequested time.Duration

	told int
}

// Entry is a case as instances tell it each other.
type Entry struct {
	Fingerprint Fingerprint
	Ended       []Incarnation
	Cleared     []Incarnation
	Age         time.Duration // since it was last asked for or changed, as far as the sender knows
}

// Change is what an event has changed of a request.
type Change struct {
	Fingerprint   Fingerprint
	Before, After Verdict
	Ended         int // replicas under it
}

// brokenAnswer is an answer that broke off, of which it is not known yet why.
type brokenAnswer struct {
	fingerprint Fingerprint
	life        Incarnation
	at          time.Duration
	answers     bool // the replica took a connection after it
}

// Book is not safe for concurrent use.
type Tracker struct {
	opts   Options
	cases  map[Fingerprint]*Case
	order  []*Case // the same, by when they came
	turn   int
	broken []brokenAnswer
	ended  map[Incarnation]time.Duration // lives that ended lately
	good   goodAnswers
}

// New returns an empty book. Books that begin at different turns tell condemned
// cases in different order, so that who hears of several learns all soon.
func New(o Options, turn int) *Tracker {
	return &Tracker{opts: o, turn: turn, cases: make(map[Fingerprint]*Case), ended: make(map[Incarnation]time.Duration), good: newGoodAnswers(o.SuccessTTL)}
}

// Verdict returns what is held of a request that a caller asks for.
func (b *Tracker) Check(now time.Duration, f Fingerprint) Verdict {
	c := b.cases[f]
	if c == nil {
		return Unsuspected
	}
	c.LastRequested = now
	return b.verdict(c)
}

func (b *Tracker) verdict(c *Case) Verdict {
	switch {
	case len(c.Ended) == 0:
		return Unsuspected
	case len(c.Ended) < b.opts.QuarantineAt:
		return Suspect
	}
	return Quarantined
}

// Broke takes in that an answer to a request broke off at a replica, which may
// have ended; whether it has, the next or the last seconds show.
func (b *Tracker) RecordBroken(now time.Duration, f Fingerprint, life Incarnation) []Change {
	if at, ok := b.ended[life]; ok && now-at <= b.opts.MaxEndDelay {
		return b.against(now, f, life)
	}
	b.dropBroken(func(x brokenAnswer) bool { return now-x.at > b.opts.MaxEndDelay })
	b.broken = append(b.broken, brokenAnswer{fingerprint: f, life: life, at: now})
	return nil
}

// Ended takes in that a replica's life is over without a word: it speaks against
// all requests whose answers broke off there.
func (b *Tracker) RecordEnd(now time.Duration, life Incarnation) []Change {
	return b.end(now, life, func(brokenAnswer) bool { return true })
}

// Gone takes in that a replica is no longer told of, which it may have survived:
// it speaks against requests whose answers broke off there, unless the replica
// has taken a connection since.
func (b *Tracker) RecordRemoval(now time.Duration, life Incarnation) []Change {
	return b.end(now, life, func(x brokenAnswer) bool { return !x.answers })
}

func (b *Tracker) end(now time.Duration, life Incarnation, counts func(brokenAnswer) bool) []Change {
	b.ended[life] = now
	var out []Change
	for _, x := range b.broken {
		if x.life == life && now-x.at <= b.opts.MaxEndDelay && counts(x) {
			out = append(out, b.against(now, x.fingerprint, life)...)
		}
	}
	b.dropBroken(func(x brokenAnswer) bool { return x.life == life })
	return out
}

// HasEnded reports whether a replica's life was over lately.
func (b *Tracker) HasEnded(life Incarnation) bool {
	_, ok := b.ended[life]
	return ok
}

// Answers takes in that a replica takes connections after answers broke off
// there: it has not ended, or is back already in another life.
func (b *Tracker) RecordConnection(life Incarnation) {
	for i := range b.broken {
		if b.broken[i].life == life {
			b.broken[i].answers = true
		}
	}
}

func (b *Tracker) dropBroken(of func(brokenAnswer) bool) { b.broken = slices.DeleteFunc(b.broken, of) }

// Good takes in that a request got a whole answer.
func (b *Tracker) RecordSuccess(now time.Duration, f Fingerprint) []Change {
	b.good.note(now, f)
	return b.Release(now, f)
}

// Acquit takes in that a request had no part in the ends that are known.
func (b *Tracker) Release(now time.Duration, f Fingerprint) []Change {
	c := b.cases[f]
	if c == nil || len(c.Ended) == 0 {
		return nil
	}
	return b.change(now, c, func() {
		c.Cleared = b.newest(append(c.Cleared, c.Ended...))
		c.Ended = nil
	})
}

// against counts a replica's end under a request.
func (b *Tracker) against(now time.Duration, f Fingerprint, life Incarnation) []Change {
	if b.good.has(now, f) {
		return nil
	}
	c := b.open(now, f)
	if slices.Contains(c.Cleared, life) || slices.Contains(c.Ended, life) || len(c.Ended) >= b.opts.MaxIncarnations {
		return nil
	}
	return b.change(now, c, func() { c.Ended = append(c.Ended, life) })
}

// change applies an edit to a case, which is then told to others.
func (b *Tracker) change(now time.Duration, c *Case, edit func()) []Change {
	before := b.verdict(c)
	edit()
	c.LastRequested, c.told = now, 0
	return []Change{{Fingerprint: c.Fingerprint, Before: before, After: b.verdict(c), Ended: len(c.Ended)}}
}

// newest returns the last of the lives, as many as are kept.
func (b *Tracker) newest(lives []Incarnation) []Incarnation {
	if len(lives) <= b.opts.MaxIncarnations {
		return lives
	}
	return slices.Clone(lives[len(lives)-b.opts.MaxIncarnations:])
}

// open returns the case of a request, a new one if there is none.
func (b *Tracker) open(now time.Duration, f Fingerprint) *Case {
	c := b.cases[f]
	if c == nil {
		if len(b.order) >= b.opts.MaxCases {
			b.giveWay()
		}
		c = &Case{Fingerprint: f, LastRequested: now, told: b.opts.Announcements}
		b.cases[f] = c
		b.order = append(b.order, c)
	}
	return c
}

// giveWay drops the case with least against it; of equals the one that was not
// asked for the longest.
func (b *Tracker) giveWay() {
	least := b.order[0]
	for _, c := range b.order {
		if len(c.Ended) < len(least.Ended) || len(c.Ended) == len(least.Ended) && c.LastRequested < least.LastRequested {
			least = c
		}
	}
	b.drop(func(c *Case) bool { return c == least })
}

func (b *Tracker) drop(of func(*Case) bool) {
	b.order = slices.DeleteFunc(b.order, func(c *Case) bool {
		if !of(c) {
			return false
		}
		delete(b.cases, c.Fingerprint)
		return true
	})
}

// keepFor is how long a case is kept without news.
func (b *Tracker) keepFor(ended int) time.Duration {
	if ended >= b.opts.QuarantineAt {
		return b.opts.QuarantineTTL
	}
	return b.opts.SuspectTTL
}

// Forget drops what is old, and returns the suspects and condemned ones among it.
func (b *Tracker) Expire(now time.Duration) []Change {
	var out []Change
	b.drop(func(c *Case) bool {
		if now-c.LastRequested <= b.keepFor(len(c.Ended)) {
			return false
		}
		if before := b.verdict(c); before != Unsuspected {
			out = append(out, Change{Fingerprint: c.Fingerprint, Before: before, After: Unsuspected})
		}
		return true
	})
	b.dropBroken(func(x brokenAnswer) bool { return now-x.at > b.opts.MaxEndDelay })
	for life, at := range b.ended {
		if now-at > b.opts.MaxEndDelay {
			delete(b.ended, life)
		}
	}
	return out
}

// All returns what is known, by when it came.
func (b *Tracker) All(now time.Duration) []Entry {
	out := make([]Entry, 0, len(b.order))
	for _, c := range b.order {
		out = append(out, c.entry(now))
	}
	return out
}

// Held returns what is held of a request, without its being asked for.
func (b *Tracker) Verdict(f Fingerprint) Verdict {
	if c := b.cases[f]; c != nil {
		return b.verdict(c)
	}
	return Unsuspected
}
