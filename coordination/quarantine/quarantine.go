// Package quarantine distinguishes requests that crash their replicas (queries of
// death, poison messages) from requests that only ran concurrently with one.
//
// What crashes a replica is a feature of a request: the request as a whole, or a part that it
// shares with others, of its prompt or the key of its items. A feature is blamed for each replica incarnation that ended while running a request
// with it. A complete answer clears the features of its request, as one that crashes replicas
// never gets one. A request with a blamed feature is suspect: it is tried at one replica at a
// time, isolated from other suspects. A whole request that is blamed for Options.QuarantineAt
// incarnations is quarantined and not sent any more. A shared part is quarantined once one of
// these ended in a trial (see parts.go).
//
// The records of instances are merged by set union, so messages may arrive in any
// order and clocks need not agree. A Tracker does no I/O and reads no clock: events
// and times are passed in, verdicts and entries are returned.
package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Incarnation identifies one incarnation of a replica, as a hash of its name.
type Incarnation uint32

// IncarnationOf returns the identifier of a replica's incarnation.
func IncarnationOf(replica string) Incarnation { return Incarnation(xxhash.Sum64String(replica)) }

// Kind is what a feature is.
type Kind int

// The kinds of features.
const (
	WholeRequest Kind = iota
	SharedPart        // a part of prompts, or the key of items
)

// String returns the kind's name for logs.
func (k Kind) String() string { return [...]string{"request", "part"}[k] }

// Verdict is the state of a feature, or of a request by its features.
type Verdict int

// The verdicts.
const (
	Unsuspected Verdict = iota
	Suspect             // replicas ended while running it; it may be tried in isolation
	Quarantined         // it is not sent any more
)

// String returns the verdict's name for logs.
func (v Verdict) String() string {
	return [...]string{"unsuspected", "suspect", "condemned"}[v]
}

// Case is the record of one feature.
type Case struct {
	Fingerprint   Fingerprint
	Kind          Kind
	Ended         []Incarnation // ended while running it
	Tried         []Incarnation // those of them that ended in a trial; of parts only
	Cleared       []Incarnation // ended while running it, but a complete answer since has cleared the feature
	LastRequested time.Duration // time of the last attempt, or of the last change by an end or an answer

	triedAt   time.Duration // time at which the last end of Tried became known
	announced int           // messages that announced it since it changed
}

// Entry is a case as exchanged between instances.
type Entry struct {
	Fingerprint Fingerprint
	Kind        Kind
	Ended       []Incarnation
	Tried       []Incarnation
	Cleared     []Incarnation
	Age         time.Duration // since it was last requested or changed, as known to the sender
}

// Change is the effect of an event on a feature.
type Change struct {
	Fingerprint   Fingerprint
	Kind          Kind
	Before, After Verdict
	Ended         int // number of replicas that ended while running it
	Tried         int // those of them that ended in a trial
}

// brokenAnswer is an answer that broke off, while it is unknown whether its replica
// ended.
type brokenAnswer struct {
	fingerprint Fingerprint
	kind        Kind
	inTrial     bool
	incarnation Incarnation
	brokenAt    time.Duration
	reconnected bool // the replica has accepted a connection since
}

// Tracker records which replicas ended while running which requests. It is not safe
// for concurrent use.
type Tracker struct {
	opts         Options
	cases        map[Fingerprint]*Case
	order        []*Case // the same cases, oldest first
	repeatCursor int     // position in order of the case repeated last
	broken       []brokenAnswer
	ended        map[Incarnation]time.Duration // incarnations that ended recently, with the time of their end
	successes    successes
	sound        successes // parts of prompts
}

// New returns an empty tracker. repeatCursor should differ between instances: they then
// repeat quarantined cases in different order, so that an instance that receives
// messages of several learns all cases sooner.
func New(o Options, repeatCursor int) *Tracker {
	return &Tracker{opts: o, repeatCursor: repeatCursor, cases: make(map[Fingerprint]*Case), ended: make(map[Incarnation]time.Duration), successes: newSuccesses(o.SuccessTTL), sound: newSuccesses(o.PartSuccessTTL)}
}

// Check returns the verdict on a request that a caller sends and renews its case.
func (t *Tracker) Check(now time.Duration, f Fingerprint) Verdict {
	c := t.cases[f]
	if c == nil {
		return Unsuspected
	}
	c.LastRequested = now
	return t.verdictOf(c)
}

func (t *Tracker) verdictOf(c *Case) Verdict {
	if c.Kind == SharedPart {
		return t.partVerdict(c)
	}
	switch {
	case len(c.Ended) == 0:
		return Unsuspected
	case len(c.Ended) < t.opts.QuarantineAt:
		return Suspect
	}
	return Quarantined
}

// RecordBroken records that an answer broke off at a replica, which may have ended. The
// request is blamed if the replica's end is reported within MaxEndDelay, before or after.
func (t *Tracker) RecordBroken(now time.Duration, f Fingerprint, inc Incarnation) []Change {
	return t.recordBroken(brokenAnswer{fingerprint: f, incarnation: inc, brokenAt: now})
}

func (t *Tracker) recordBroken(x brokenAnswer) []Change {
	now := x.brokenAt
	if at, ok := t.ended[x.incarnation]; ok && now-at <= t.opts.MaxEndDelay {
		return t.blame(now, x)
	}
	t.dropOldBroken(now)
	t.broken = append(t.broken, x)
	return nil
}

// RecordEnd records that a replica's incarnation ended without an announcement. All
// requests whose answers broke off there within the last MaxEndDelay are blamed.
func (t *Tracker) RecordEnd(now time.Duration, inc Incarnation) []Change {
	return t.recordEnd(now, inc, func(brokenAnswer) bool { return true })
}

// RecordRemoval records that a replica is no longer listed, although it may still run.
// Requests whose answers broke off there are blamed unless the replica has accepted a
// connection since.
func (t *Tracker) RecordRemoval(now time.Duration, inc Incarnation) []Change {
	return t.recordEnd(now, inc, func(x brokenAnswer) bool { return !x.reconnected })
}

func (t *Tracker) recordEnd(now time.Duration, inc Incarnation, counts func(brokenAnswer) bool) []Change {
	t.ended[inc] = now
	var out []Change
	for _, x := range t.broken {
		if x.incarnation == inc && now-x.brokenAt <= t.opts.MaxEndDelay && counts(x) {
			out = append(out, t.blame(now, x)...)
		}
	}
	t.dropBroken(func(x brokenAnswer) bool { return x.incarnation == inc })
	return out
}

// HasEnded reports whether a replica's incarnation is recorded as ended; Expire drops
// ends older than MaxEndDelay.
func (t *Tracker) HasEnded(inc Incarnation) bool {
	_, ok := t.ended[inc]
	return ok
}

// RecordConnection records that a replica accepts connections after answers broke off
// there: it has not ended, or already runs in another incarnation.
func (t *Tracker) RecordConnection(inc Incarnation) {
	for i := range t.broken {
		if t.broken[i].incarnation == inc {
			t.broken[i].reconnected = true
		}
	}
}

func (t *Tracker) dropBroken(match func(brokenAnswer) bool) {
	t.broken = slices.DeleteFunc(t.broken, match)
}

// dropOldBroken drops the broken answers whose replicas were not reported as ended in time.
// They are in the order of time.
func (t *Tracker) dropOldBroken(now time.Duration) {
	old := 0
	for old < len(t.broken) && now-t.broken[old].brokenAt > t.opts.MaxEndDelay {
		old++
	}
	t.broken = t.broken[old:]
}

// RecordSuccess records that a request got a complete answer. It clears the request of
// the known ends and, for up to SuccessTTL, of later ones.
func (t *Tracker) RecordSuccess(now time.Duration, f Fingerprint) []Change {
	t.successes.record(now, f)
	return t.Release(now, f)
}

// Release clears a request of all known ends.
func (t *Tracker) Release(now time.Duration, f Fingerprint) []Change {
	c := t.cases[f]
	if c == nil || len(c.Ended) == 0 {
		return nil
	}
	return t.update(now, c, func() {
		c.Cleared = t.newest(append(c.Cleared, c.Ended...))
		c.Ended, c.Tried = nil, nil
	})
}

// blame counts the end of a replica against a feature of a request whose answer broke off.
func (t *Tracker) blame(now time.Duration, x brokenAnswer) []Change {
	if t.hasSucceeded(now, x.fingerprint) {
		return nil
	}
	c, inc := t.caseFor(now, x.fingerprint), x.incarnation
	c.Kind = max(c.Kind, x.kind)
	isNew := !slices.Contains(c.Ended, inc) && len(c.Ended) < t.opts.MaxIncarnations
	newlyTried := x.inTrial && !slices.Contains(c.Tried, inc) && len(c.Tried) < t.opts.MaxIncarnations
	if slices.Contains(c.Cleared, inc) || !isNew && !newlyTried {
		return nil
	}
	return t.update(now, c, func() {
		if isNew {
			c.Ended = append(c.Ended, inc)
		}
		if newlyTried {
			c.Tried = append(c.Tried, inc)
		}
	})
}

// hasSucceeded reports whether a request with a feature got a complete answer recently.
func (t *Tracker) hasSucceeded(now time.Duration, f Fingerprint) bool {
	return t.successes.has(now, f) || t.sound.has(now, f)
}

// update applies an edit to a case, which is then announced to others.
func (t *Tracker) update(now time.Duration, c *Case, edit func()) []Change {
	before, tried := t.verdictOf(c), len(c.Tried)
	edit()
	c.LastRequested, c.announced = now, 0
	if len(c.Tried) > tried {
		c.triedAt = now
	}
	return []Change{{Fingerprint: c.Fingerprint, Kind: c.Kind, Before: before, After: t.verdictOf(c), Ended: len(c.Ended), Tried: len(c.Tried)}}
}

// newest returns the last MaxIncarnations incarnations.
func (t *Tracker) newest(incarnations []Incarnation) []Incarnation {
	if len(incarnations) <= t.opts.MaxIncarnations {
		return incarnations
	}
	return slices.Clone(incarnations[len(incarnations)-t.opts.MaxIncarnations:])
}

// caseFor returns the case of a feature, a new one if there is none.
func (t *Tracker) caseFor(now time.Duration, f Fingerprint) *Case {
	c := t.cases[f]
	if c == nil {
		if len(t.order) >= t.opts.MaxCases {
			t.evict()
		}
		c = &Case{Fingerprint: f, LastRequested: now, announced: t.opts.Announcements}
		t.cases[f] = c
		t.order = append(t.order, c)
	}
	return c
}

// evict drops the case with the fewest ended replicas; of these the least recently
// requested one.
func (t *Tracker) evict() {
	least := t.order[0]
	for _, c := range t.order {
		if len(c.Ended) < len(least.Ended) || len(c.Ended) == len(least.Ended) && c.LastRequested < least.LastRequested {
			least = c
		}
	}
	t.drop(func(c *Case) bool { return c == least })
}

// drop deletes the matching cases.
func (t *Tracker) drop(match func(*Case) bool) {
	t.order = slices.DeleteFunc(t.order, func(c *Case) bool {
		if !match(c) {
			return false
		}
		delete(t.cases, c.Fingerprint)
		return true
	})
}

// ttl returns how long a case with this number of ended replicas is kept without
// attempts or changes.
func (t *Tracker) ttl(ended int) time.Duration {
	if ended >= t.opts.QuarantineAt {
		return t.opts.QuarantineTTL
	}
	return t.opts.SuspectTTL
}

// Expire drops expired cases and returns the suspects and quarantined ones among them.
func (t *Tracker) Expire(now time.Duration) []Change {
	var out []Change
	t.drop(func(c *Case) bool {
		if now-c.LastRequested <= t.ttl(len(c.Ended)) {
			return false
		}
		if before := t.verdictOf(c); before != Unsuspected {
			out = append(out, Change{Fingerprint: c.Fingerprint, Kind: c.Kind, Before: before, After: Unsuspected})
		}
		return true
	})
	t.dropOldBroken(now)
	for inc, at := range t.ended {
		if now-at > t.opts.MaxEndDelay {
			delete(t.ended, inc)
		}
	}
	return out
}

// All returns all cases, oldest first.
func (t *Tracker) All(now time.Duration) []Entry {
	out := make([]Entry, 0, len(t.order))
	for _, c := range t.order {
		out = append(out, c.entry(now))
	}
	return out
}

// Verdict returns the verdict on a request without renewing its case.
func (t *Tracker) Verdict(f Fingerprint) Verdict {
	if c := t.cases[f]; c != nil {
		return t.verdictOf(c)
	}
	return Unsuspected
}
