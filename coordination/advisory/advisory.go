// Package advisory tracks what replicas announce about themselves in their answers:
// that they are draining, that they want senders to back off, and that they are brittle.
//
// What is inferred about a replica (package health) may be wrong, so its effect is
// bounded: it never takes more than half of a service out of use. An announcement by
// the replica itself is a fact and is not bounded. A drain holds for one incarnation of
// the replica at all instances, whichever of them received it. A backoff holds for the
// instance that received it, until it expires. After a backoff the replica gets one
// request, then a few more: otherwise all requests that waited for the end of the
// backoff would overload it again at once.
//
// The package is pure: it maps events and times to decisions.
package advisory

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options are the settings of a Tracker.
type Options struct {
	// RampAnswers is the number of answers after a backoff at which the request limit
	// ends. Each answer raises the limit by one, so a replica has had about ten requests
	// by then.
	RampAnswers int
	// RampInterval is the time after the last request at which one more may be sent
	// although none was answered, so that long answers don't leave a replica idle.
	RampInterval time.Duration
	// UnlistedRetention is how long an incarnation is kept that is listed neither by this
	// instance nor by any peer that announces it. Entries that expire while the store is
	// unavailable reappear within seconds of its return.
	UnlistedRetention time.Duration
	// MaxUnlisted is the number of unlisted incarnations that are kept. It bounds memory
	// against a peer that announces many.
	MaxUnlisted int
	Brittle     BrittleOptions
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{RampAnswers: 4, RampInterval: 500 * time.Millisecond, UnlistedRetention: 2 * time.Minute, MaxUnlisted: 4096, Brittle: DefaultBrittleOptions()}
}

// Tracker holds the drains and backoffs of replicas by incarnation. It is not safe for
// concurrent use.
type Tracker struct {
	opts    Options
	entries map[string]*entry
	brittle map[string]*brittleService // by service
	cursor  int                        // position of the drain repeated last
}

type entry struct {
	draining      bool
	drainingSince time.Duration // when this instance learned of the drain
	backoffUntil  time.Duration
	backingOff    bool // the end at backoffUntil has not been reported yet
	ramp          *ramp
	brittle       *brittleWindow // of requests without a slot lease; nil: there were none
	grantor       grantorState
	listedAt      time.Duration // when this instance or a peer last listed it
	isListed      bool          // it was listed when Expire last ran
}

// ramp limits the requests to a replica after a backoff; nil: no limit.
type ramp struct {
	limit    int           // concurrent requests
	inFlight int           // requests started under this ramp that haven't ended
	answers  int           // since the backoff
	lastSent time.Duration // when a request was last started; 0: never
}

// New returns an empty tracker.
func New(o Options) *Tracker {
	return &Tracker{opts: o, entries: make(map[string]*entry), brittle: make(map[string]*brittleService)}
}

func (t *Tracker) entry(now time.Duration, incarnation string) *entry {
	r := t.entries[incarnation]
	if r == nil {
		r = &entry{listedAt: now}
		t.entries[incarnation] = r
	}
	return r
}

// RecordDrain records that an incarnation is draining, and reports whether that is new.
func (t *Tracker) RecordDrain(now time.Duration, incarnation string) bool {
	r := t.entry(now, incarnation)
	r.listedAt = now
	if r.draining {
		return false
	}
	r.draining, r.drainingSince = true, now
	return true
}

// IsDraining reports whether an incarnation has announced that it is draining.
func (t *Tracker) IsDraining(incarnation string) bool {
	r := t.entries[incarnation]
	return r != nil && r.draining
}

// RecordBackoff records that an incarnation wants no requests from this instance for
// the given duration, and reports whether it wasn't backing off already. The longest of
// several backoffs holds, as a later answer doesn't revoke an earlier one.
func (t *Tracker) RecordBackoff(now time.Duration, incarnation string, duration time.Duration) bool {
	r := t.entry(now, incarnation)
	isNew := !r.backingOff
	r.backoffUntil = max(r.backoffUntil, now+duration)
	r.backingOff = true
	r.ramp = &ramp{limit: 1}
	return isNew
}

// CanSend reports whether an incarnation may get a request now, and if not, from when
// on: Never while it drains, now if it may once another request is answered.
func (t *Tracker) CanSend(now time.Duration, incarnation string) (ok bool, from time.Duration) {
	r := t.entries[incarnation]
	if r == nil {
		return true, now
	}
	if ok, from := r.mayStart(now, t.opts.RampInterval); !ok {
		return false, from
	}
	if ok, from, decided := r.grantor.admits(now); decided {
		return ok, from
	}
	if w := r.window(); w != nil {
		return w.admits(now)
	}
	return true, now
}

// mayStart reports whether the incarnation's drain, backoff and ramp allow a request now, and
// if not, from when on.
func (r *entry) mayStart(now, rampInterval time.Duration) (ok bool, from time.Duration) {
	switch {
	case r.draining:
		return false, Never
	case now < r.backoffUntil:
		return false, r.backoffUntil
	case r.ramp != nil && r.ramp.inFlight >= r.ramp.limit && now < r.ramp.lastSent+rampInterval:
		return false, now
	}
	return true, now
}

// Never is the time that CanSend returns for a draining incarnation.
const Never = time.Duration(1<<63 - 1)

// BackoffUntil returns the end of an incarnation's backoff, or false if it has none.
func (t *Tracker) BackoffUntil(now time.Duration, incarnation string) (time.Duration, bool) {
	r := t.entries[incarnation]
	if r == nil || now >= r.backoffUntil {
		return 0, false
	}
	return r.backoffUntil, true
}

// Attempt is a request that may be sent. The caller reports its progress with
// RecordAnswer and End.
type Attempt struct {
	ramp   *ramp
	window *brittleWindow
	entry  *entry

	startedAt time.Duration
}

// Begin counts a request to an incarnation of a service right before it is sent, and returns
// false if it must not be sent.
func (t *Tracker) Begin(now time.Duration, incarnation, service string) (Attempt, bool) {
	if ok, _ := t.CanSend(now, incarnation); !ok {
		return Attempt{}, false
	}
	w := t.windowFor(now, incarnation, service)
	r := t.entries[incarnation]
	if r == nil || r.ramp == nil && w == nil {
		return Attempt{}, true
	}
	if w != nil {
		if ok, _ := w.admits(now); !ok {
			return Attempt{}, false
		}
		w.begin(now)
	}
	r.ramp.begin(now)
	return Attempt{ramp: r.ramp, window: w, entry: r, startedAt: now}, true
}

// begin counts a request that is sent now.
func (r *ramp) begin(now time.Duration) {
	if r == nil {
		return
	}
	r.inFlight++
	r.lastSent = now
}

// RecordAnswer records that the answer has begun and didn't reject the request.
func (t *Tracker) RecordAnswer(now time.Duration, a Attempt) {
	if a.window != nil {
		a.window.recordAnswer(now)
		if a.window.holdTime == 0 {
			a.window.recordHold(now - a.startedAt)
		}
	}
	if a.ramp == nil || a.entry.ramp != a.ramp { // another backoff has arrived since
		return
	}
	a.ramp.limit++
	a.ramp.answers++
	if a.ramp.answers >= t.opts.RampAnswers {
		a.entry.ramp = nil
	}
}

// End records that a request has ended.
func (t *Tracker) End(a Attempt) {
	if a.ramp != nil {
		a.ramp.inFlight--
	}
	if a.window != nil {
		a.window.inFlight--
	}
}

// Changes are the effects of Expire.
type Changes struct {
	BackoffEnded []string // incarnations whose backoff has ended
	Removed      []string // draining incarnations that were removed
}

// Empty reports whether no advisory or ramp is in force.
func (t *Tracker) Empty() bool { return len(t.entries) == 0 && len(t.brittle) == 0 }

// Expire removes obsolete entries and returns what has changed by the passage of time.
// isListed reports whether this instance lists an incarnation.
func (t *Tracker) Expire(now time.Duration, isListed func(incarnation string) bool) Changes {
	var out Changes
	unlisted := make(map[string]time.Duration)
	for incarnation, r := range t.entries {
		if r.backingOff && now >= r.backoffUntil {
			r.backingOff = false
			out.BackoffEnded = append(out.BackoffEnded, incarnation)
		}
		r.isListed = isListed(incarnation)
		switch {
		case r.isListed:
			r.listedAt = now
			if !r.draining && !r.backingOff && r.ramp == nil && r.window() == nil && r.grantor.isOver(now) {
				delete(t.entries, incarnation)
			}
		case now-r.listedAt > t.opts.UnlistedRetention:
			out.Removed = t.remove(out.Removed, incarnation)
		default:
			unlisted[incarnation] = r.listedAt
		}
	}
	if excess := len(unlisted) - t.opts.MaxUnlisted; excess > 0 {
		oldest := slices.SortedFunc(maps.Keys(unlisted), func(x, y string) int {
			return cmp.Or(cmp.Compare(unlisted[x], unlisted[y]), cmp.Compare(x, y))
		})
		for _, incarnation := range oldest[:excess] {
			out.Removed = t.remove(out.Removed, incarnation)
		}
	}
	slices.Sort(out.BackoffEnded)
	slices.Sort(out.Removed)
	return out
}

// remove deletes an entry and appends it to removed if it was draining.
func (t *Tracker) remove(removed []string, incarnation string) []string {
	if t.entries[incarnation].draining {
		removed = append(removed, incarnation)
	}
	delete(t.entries, incarnation)
	return removed
}

// Updates returns the draining incarnations to announce to peers: those learned less
// than fresh ago, and in turn some of the others that this instance lists, for peers
// that start later or were partitioned. While the store is unavailable, the list of
// replicas may not carry them. Incarnations that this instance doesn't list are not
// repeated: otherwise instances that had removed one would keep announcing it to each
// other forever.
func (t *Tracker) Updates(now, fresh time.Duration, maxUpdates int) []string {
	var out, repeated []string
	for incarnation, r := range t.entries {
		switch {
		case !r.draining:
		case now-r.drainingSince < fresh:
			out = append(out, incarnation)
		case r.isListed:
			repeated = append(repeated, incarnation)
		}
	}
	slices.Sort(out)
	slices.Sort(repeated)
	for range min(len(repeated), t.repeats(maxUpdates-len(out))) {
		t.cursor = (t.cursor + 1) % len(repeated)
		out = append(out, repeated[t.cursor])
	}
	return out[:min(len(out), maxUpdates)]
}

// maxRepeated is the number of older drains that one heartbeat repeats.
const maxRepeated = 2

// repeats returns how many older drains fit into a heartbeat that has space for the
// given number of incarnations.
func (t *Tracker) repeats(available int) int { return min(max(available, 0), maxRepeated) }

// Draining returns the draining incarnations, sorted.
func (t *Tracker) Draining() []string {
	var out []string
	for incarnation, r := range t.entries {
		if r.draining {
			out = append(out, incarnation)
		}
	}
	slices.Sort(out)
	return out
}

// Backoffs returns the ends of the backoffs in force, by incarnation.
func (t *Tracker) Backoffs(now time.Duration) map[string]time.Duration {
	var out map[string]time.Duration
	for incarnation, r := range t.entries {
		if now >= r.backoffUntil {
			continue
		}
		if out == nil {
			out = make(map[string]time.Duration)
		}
		out[incarnation] = r.backoffUntil
	}
	return out
}
