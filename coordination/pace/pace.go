// Package pace keeps what replicas get that state how many requests a second they
// take from all instances together.
//
// A limit of one request a second can't be cut into parts for hundreds of
// instances. So each limited replica has one keeper, an instance that all others
// name by the same rule, and who sends has a turn from it first. Turns are spaced:
// what is not used is not saved up but for a moment. A new keeper doesn't know
// what the last one gave, and begins as if it had just given a turn. Where no
// keeper can be asked, an instance goes by its own part of the limit.
//
// A statement holds until the replica answers without it, whoever hears that: of
// several words of a life the newest counts, by ages and not by the time of day.
//
// The package is pure: event and time in, decision out.
package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Options are the book's constants.
type Options struct {
	Burst             time.Duration // that a turn may be given before it is due: so much of what was not used is kept
	MaxInterval       time.Duration // the longest time between two turns: a replica that gets nothing tells nobody that its limit has ended
	RemovedRetention  time.Duration // that an ended limit is remembered, so that an older word does not bring it back
	UnlistedRetention time.Duration // that a word of a life is kept which is not listed: entries that lapse with a silent store are back within seconds of its return
	MaxIncarnations   int           // lives; a bound against a peer that names many
	LogInterval       time.Duration // between two changes of one limit that are worth a log line, and a round of heartbeats of their own
}

// Standard returns the constants in use.
func Standard() Options {
	return Options{
		Burst:             250 * time.Millisecond,
		MaxInterval:       10 * time.Second,
		RemovedRetention:  10 * time.Second,
		UnlistedRetention: 2 * time.Minute,
		MaxIncarnations:   4096,
		LogInterval:       5 * time.Second,
	}
}

// Limit is what a replica states of how much it takes.
type Limit struct {
	PerSecond float64 // requests, from all instances together
	Stated    bool    // false: any number
}

// Word is a statement of a life, as one instance tells it to another.
type Report struct {
	Incarnation string
	Limit       Limit
	Age         time.Duration // since the answer came
}

// Book is not safe for concurrent use. Replicas are named by their lives.
type Tracker struct {
	opts    Options
	rows    map[string]*row
	limited int // rows whose limit is stated
	turn    int // of the words, whose turn it is to be told
}

type row struct {
	limit  Limit
	heard  time.Duration // when the answer came that said so
	fresh  time.Duration // when this instance learned it
	listed time.Duration // when it was listed last
	noted  time.Duration // when a change was last worth a line; 0: none was

	keeps bool          // this instance gives the turns
	next  time.Duration // when the next turn is due
	known time.Duration // until when the keeper has none, as it said
	alone time.Duration // when the next turn is due where nobody can be asked; 0: not asked for yet
}

// New returns an empty book.
func New(o Options) *Tracker { return &Tracker{opts: o, rows: make(map[string]*row)} }

// Change is what a word has changed.
type Change int

// The changes.
const (
	Unchanged Change = iota
	Added
	Updated // to another number
	Removed
)

// Hear takes in what a life states, in an answer that came so long ago.
func (b *Tracker) Record(now time.Duration, w Report) Change {
	at := now - max(w.Age, 0)
	r := b.rows[w.Incarnation]
	switch {
	case r == nil && !w.Limit.Stated, r == nil && len(b.rows) >= b.opts.MaxIncarnations:
		return Unchanged
	case r == nil:
		r = &row{listed: now}
		b.rows[w.Incarnation] = r
	case at < r.heard:
		return Unchanged
	}
	was := r.limit
	r.limit, r.heard = w.Limit, at
	if was == w.Limit {
		return Unchanged
	}
	r.fresh = now
	begins := b.begins(now, w.Limit)
	r.next = min(r.next, begins)
	switch {
	case !was.Stated:
		b.limited++
		r.next = begins
		r.alone, r.known = 0, 0
		return Added
	case !w.Limit.Stated:
		b.limited--
		return Removed
	}
	return Updated
}

// WorthALine reports whether a change of a life's limit is worth a log line now, and
// counts it: a replica may state another limit in each answer.
func (b *Tracker) ShouldLog(now time.Duration, life string) bool {
	r := b.rows[life]
	if r == nil || r.noted != 0 && now-r.noted < b.opts.LogInterval {
		return false
	}
	r.noted = max(now, 1)
	return true
}

// gap is the time between two turns.
func (b *Tracker) gap(l Limit) time.Duration {
	if !l.Stated {
		return 0
	}
	return time.Duration(min(1/max(l.PerSecond, 0), b.opts.MaxInterval.Seconds()) * float64(time.Second))
}

// begins is when the first turn is due of who has given none: what the life got
// until now was not counted, or by another one.
func (b *Tracker) begins(now time.Duration, l Limit) time.Duration {
	return now + b.gap(l) + b.opts.Burst
}

// Any reports whether any limit is stated.
func (b *Tracker) HasLimits() bool { return b.limited > 0 }

// Empty reports whether nothing is known, ended limits included.
func (b *Tracker) Empty() bool { return len(b.rows) == 0 }

// Limit returns what a life states.
func (b *Tracker) Limit(life string) Limit {
	if r := b.rows[life]; r != nil {
		return r.limit
	}
	return Limit{}
}

// Gap returns the time between two turns at a life; 0: it takes any number.
func (b *Tracker) Interval(life string) time.Duration { return b.gap(b.Limit(life)) }

// Keep takes in whether this instance gives a life's turns. Who begins to does not
// know what was given, and gives none for the time of one.
func (b *Tracker) SetGrantor(now time.Duration, life string, keeps bool) {
	r := b.rows[life]
	if r == nil || r.keeps == keeps {
		return
	}
	r.keeps = keeps
	if keeps {
		r.next = max(r.next, b.begins(now, r.limit))
	}
}

// Free returns from when on a life may get a request, as far as is known here:
// now, or later.
func (b *Tracker) NextGrant(now time.Duration, life string) time.Duration {
	r := b.rows[life]
	switch {
	case r == nil || !r.limit.Stated:
		return now
	case r.keeps:
		return max(now, r.next-b.opts.Burst)
	}
	return max(now, r.known)
}

// Take gives a turn, which the keeper alone may, and reports whether there was one.
func (b *Tracker) TryGrant(now time.Duration, life string) bool {
	r := b.rows[life]
	if r == nil || !r.limit.Stated {
		return true
	}
	if !r.keeps || b.NextGrant(now, life) > now {
		return false
	}
	b.Consume(now, life)
	return true
}

// Spend counts a turn that is used whether it was due or not.
func (b *Tracker) Consume(now time.Duration, life string) {
	if r := b.rows[life]; r != nil && r.limit.Stated {
		r.next = max(r.next, now) + b.gap(r.limit)
	}
}

// None takes in that a life's keeper has no turn until then.
func (b *Tracker) RecordDenial(life string, until time.Duration) {
	if r := b.rows[life]; r != nil {
		r.known = until
	}
}

// TakeAlone gives a turn of the own part of a limit, for when the keeper can't be
// asked, among so many instances.
func (b *Tracker) TryLocalGrant(now time.Duration, life string, instances int) bool {
	r := b.rows[life]
	if r == nil || !r.limit.Stated {
		return true
	}
	part := time.Duration(max(instances, 1)) * b.gap(r.limit)
	if r.alone == 0 {
		r.alone = now + part
	}
	if now < r.alone {
		return false
	}
	r.alone = now + part
	return true
}

// News returns the words that are worth telling others, at most so many: those
// learned a moment ago, and the others in turn.
func (b *Tracker) Updates(now, fresh time.Duration, most int) []Report {
	var out, older []Report
	for life, r := range b.rows {
		w := Report{Incarnation: life, Limit: r.limit, Age: max(now-r.heard, 0)}
		switch {
		case now-r.fresh < fresh:
			out = append(out, w)
		case r.limit.Stated:
			older = append(older, w)
		}
	}
	byLife := func(x, y Report) int { return cmp.Compare(x.Incarnation, y.Incarnation) }
	slices.SortFunc(out, byLife)
	slices.SortFunc(older, byLife)
	for range min(len(older), max(most-len(out), 0), olderTold) {
		b.turn = (b.turn + 1) % len(older)
		out = append(out, older[b.turn])
	}
	return out[:min(len(out), most)]
}

// Words returns what is known of a life: one word, none where it stated nothing.
func (b *Tracker) Reports(now time.Duration, life string) []Report {
	r := b.rows[life]
	if r == nil {
		return nil
	}
	return []Report{{Incarnation: life, Limit: r.limit, Age: max(now-r.heard, 0)}}
}

// olderTold is how many words that are not new one heartbeat tells.
const olderTold = 4

// Sweep forgets what is of no use any more: ended limits after a while, and words of
// lives that have not been listed for long.
func (b *Tracker) Sweep(now time.Duration, listed func(life string) bool) {
	for life, r := range b.rows {
		if listed(life) {
			r.listed = now
		}
		if now-r.listed > b.opts.UnlistedRetention || !r.limit.Stated && now-r.fresh > b.opts.RemovedRetention {
			b.forget(life)
		}
	}
}

func (b *Tracker) forget(life string) {
	if b.rows[life].limit.Stated {
		b.limited--
	}
	delete(b.rows, life)
}

// Limited returns the lives that state a limit, and which.
func (b *Tracker) Limits() map[string]float64 {
	out := make(map[string]float64, b.limited)
	for life, r := range b.rows {
		if r.limit.Stated {
			out[life] = r.limit.PerSecond
		}
	}
	return out
}

// Lives returns the lives that state a limit, in order.
func (b *Tracker) LimitedIncarnations() []string { return slices.Sorted(maps.Keys(b.Limits())) }

// Proper reports whether a number can be a limit.
func IsValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }
