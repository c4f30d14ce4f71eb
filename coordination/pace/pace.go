// Package pace enforces the rate limits that replicas state, in requests per second
// from all instances together.
//
// A limit of one request per second can't be divided among hundreds of instances. Each
// limited replica therefore has one grantor, an instance that all others select by the
// same rule, and a sender obtains a grant from it before each request. Grants are
// spaced evenly (generic cell rate algorithm); unused grants accumulate for
// Options.Burst only. A new grantor doesn't know what its predecessor granted, so it
// starts as if it had just issued a grant. An instance that can't reach the grantor
// uses its own fraction of the limit.
//
// A limit holds until the replica answers without it, whichever instance receives that
// answer. Among several reports on an incarnation the newest wins, compared by age
// rather than by wall clock time.
//
// The package is pure: it maps events and times to decisions.
package pace

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Options are the settings of a Tracker.
type Options struct {
	Burst time.Duration // time by which a grant may be issued before it is due; bounds the unused grants that accumulate
	// MaxInterval is the longest time between two grants: only an answer can tell that a
	// limit has been removed, so a replica with a limit of 0 still gets requests.
	MaxInterval      time.Duration
	RemovedRetention time.Duration // how long a removed limit is remembered, so that an older report doesn't restore it
	// UnlistedRetention is how long the limit of an unlisted incarnation is kept. Entries
	// that expire while the store is unavailable reappear within seconds of its return.
	UnlistedRetention time.Duration
	MaxIncarnations   int           // bounds memory against a peer that reports many incarnations
	LogInterval       time.Duration // minimum time between two changes of one limit that are logged and trigger extra heartbeats
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		Burst:             250 * time.Millisecond,
		MaxInterval:       10 * time.Second,
		RemovedRetention:  10 * time.Second,
		UnlistedRetention: 2 * time.Minute,
		MaxIncarnations:   4096,
		LogInterval:       5 * time.Second,
	}
}

// Limit is the request rate that a replica accepts.
type Limit struct {
	PerSecond float64 // requests per second from all instances together
	Stated    bool    // false: no limit
}

// Report is the limit of one incarnation, as exchanged between instances.
type Report struct {
	Incarnation string
	Limit       Limit
	Age         time.Duration // time since the replica's answer arrived
}

// Tracker holds the limits of replicas, by incarnation, and schedules their send
// grants. It is not safe for concurrent use.
type Tracker struct {
	opts         Options
	entries      map[string]*entry
	limitedCount int // entries with a stated limit
	cursor       int // position of the report repeated last
}

type entry struct {
	limit      Limit
	answeredAt time.Duration // when the answer that stated the limit arrived
	learnedAt  time.Duration // when this instance learned of the limit
	listedAt   time.Duration // when the incarnation was last listed
	loggedAt   time.Duration // when a change was last logged; 0: never

	isGrantor      bool          // this instance issues the grants
	nextGrant      time.Duration // when the next grant is due; it may be issued Options.Burst earlier
	deniedUntil    time.Duration // the grantor reported that it has no grant before this time
	nextLocalGrant time.Duration // when the next grant without the grantor is due; 0: none requested yet
}

// New returns an empty tracker.
func New(o Options) *Tracker { return &Tracker{opts: o, entries: make(map[string]*entry)} }

// Change is the effect of a report on a limit.
type Change int

// Possible changes.
const (
	Unchanged Change = iota
	Added
	Updated // to another rate
	Removed
)

// Record processes the limit that a replica stated in an answer of the given age.
func (t *Tracker) Record(now time.Duration, report Report) Change {
	answeredAt := now - max(report.Age, 0)
	r := t.entries[report.Incarnation]
	switch {
	case r == nil && !report.Limit.Stated, r == nil && len(t.entries) >= t.opts.MaxIncarnations:
		return Unchanged
	case r == nil:
		r = &entry{listedAt: now}
		t.entries[report.Incarnation] = r
	case answeredAt < r.answeredAt:
		return Unchanged
	}
	previous := r.limit
	r.limit, r.answeredAt = report.Limit, answeredAt
	if previous == report.Limit {
		return Unchanged
	}
	r.learnedAt = now
	firstGrant := t.firstGrant(now, report.Limit)
	r.nextGrant = min(r.nextGrant, firstGrant)
	switch {
	case !previous.Stated:
		t.limitedCount++
		r.nextGrant = firstGrant
		r.nextLocalGrant, r.deniedUntil = 0, 0
		return Added
	case !report.Limit.Stated:
		t.limitedCount--
		return Removed
	}
	return Updated
}

// ShouldLog reports whether to log a change of an incarnation's limit now, and counts
// the log line: a replica may state a different limit in each answer.
func (t *Tracker) ShouldLog(now time.Duration, incarnation string) bool {
	r := t.entries[incarnation]
	if r == nil || r.loggedAt != 0 && now-r.loggedAt < t.opts.LogInterval {
		return false
	}
	r.loggedAt = max(now, 1)
	return true
}

// interval is the time between two grants.
func (t *Tracker) interval(l Limit) time.Duration {
	if !l.Stated {
		return 0
	}
	return time.Duration(min(1/max(l.PerSecond, 0), t.opts.MaxInterval.Seconds()) * float64(time.Second))
}

// firstGrant is when a new grantor may issue its first grant: requests sent before were
// not counted, or were counted by another grantor.
func (t *Tracker) firstGrant(now time.Duration, l Limit) time.Duration {
	return now + t.interval(l) + t.opts.Burst
}

// HasLimits reports whether any limit is in force.
func (t *Tracker) HasLimits() bool { return t.limitedCount > 0 }

// Empty reports whether there are no entries, removed limits included.
func (t *Tracker) Empty() bool { return len(t.entries) == 0 }

// Limit returns the limit of an incarnation.
func (t *Tracker) Limit(incarnation string) Limit {
	if r := t.entries[incarnation]; r != nil {
		return r.limit
	}
	return Limit{}
}

// Interval returns the time between two grants for an incarnation; 0: no limit.
func (t *Tracker) Interval(incarnation string) time.Duration { return t.interval(t.Limit(incarnation)) }

// SetGrantor sets whether this instance issues an incarnation's grants. A new grantor
// doesn't know what was granted before and waits for one interval.
func (t *Tracker) SetGrantor(now time.Duration, incarnation string, isGrantor bool) {
	r := t.entries[incarnation]
	if r == nil || r.isGrantor == isGrantor {
		return
	}
	r.isGrantor = isGrantor
	if isGrantor {
		r.nextGrant = max(r.nextGrant, t.firstGrant(now, r.limit))
	}
}

// NextGrant returns the earliest time, now or later, at which an incarnation may
// receive a request, as far as this instance knows.
func (t *Tracker) NextGrant(now time.Duration, incarnation string) time.Duration {
	r := t.entries[incarnation]
	switch {
	case r == nil || !r.limit.Stated:
		return now
	case r.isGrantor:
		return max(now, r.nextGrant-t.opts.Burst)
	}
	return max(now, r.deniedUntil)
}

// TryGrant issues a grant if one is due. Only the grantor may issue any.
func (t *Tracker) TryGrant(now time.Duration, incarnation string) bool {
	r := t.entries[incarnation]
	if r == nil || !r.limit.Stated {
		return true
	}
	if !r.isGrantor || t.NextGrant(now, incarnation) > now {
		return false
	}
	t.Consume(now, incarnation)
	return true
}

// Consume counts a request as a grant, whether or not one was due.
func (t *Tracker) Consume(now time.Duration, incarnation string) {
	if r := t.entries[incarnation]; r != nil && r.limit.Stated {
		r.nextGrant = max(r.nextGrant, now) + t.interval(r.limit)
	}
}

// RecordDenial records that the grantor has reported no grant before the given time.
func (t *Tracker) RecordDenial(incarnation string, until time.Duration) {
	if r := t.entries[incarnation]; r != nil {
		r.deniedUntil = until
	}
}

// TryLocalGrant issues a grant from this instance's own fraction of the limit, for when
// the grantor can't be reached; instances is the number that share the limit.
func (t *Tracker) TryLocalGrant(now time.Duration, incarnation string, instances int) bool {
	r := t.entries[incarnation]
	if r == nil || !r.limit.Stated {
		return true
	}
	localInterval := time.Duration(max(instances, 1)) * t.interval(r.limit)
	if r.nextLocalGrant == 0 {
		r.nextLocalGrant = now + localInterval
	}
	if now < r.nextLocalGrant {
		return false
	}
	r.nextLocalGrant = now + localInterval
	return true
}

// Updates returns at most maxReports reports to announce: those learned less than fresh
// ago, and some of the others in turn.
func (t *Tracker) Updates(now, fresh time.Duration, maxReports int) []Report {
	var out, repeated []Report
	for incarnation, r := range t.entries {
		w := Report{Incarnation: incarnation, Limit: r.limit, Age: max(now-r.answeredAt, 0)}
		switch {
		case now-r.learnedAt < fresh:
			out = append(out, w)
		case r.limit.Stated:
			repeated = append(repeated, w)
		}
	}
	byIncarnation := func(x, y Report) int { return cmp.Compare(x.Incarnation, y.Incarnation) }
	slices.SortFunc(out, byIncarnation)
	slices.SortFunc(repeated, byIncarnation)
	for range min(len(repeated), max(maxReports-len(out), 0), maxRepeated) {
		t.cursor = (t.cursor + 1) % len(repeated)
		out = append(out, repeated[t.cursor])
	}
	return out[:min(len(out), maxReports)]
}

// Reports returns the report on one incarnation, or none if it never stated a limit.
func (t *Tracker) Reports(now time.Duration, incarnation string) []Report {
	r := t.entries[incarnation]
	if r == nil {
		return nil
	}
	return []Report{{Incarnation: incarnation, Limit: r.limit, Age: max(now-r.answeredAt, 0)}}
}

// maxRepeated is the number of older reports that one heartbeat repeats.
const maxRepeated = 4

// Expire removes limits that ended RemovedRetention ago and entries of incarnations that
// have been unlisted for UnlistedRetention.
func (t *Tracker) Expire(now time.Duration, listed func(incarnation string) bool) {
	for incarnation, r := range t.entries {
		if listed(incarnation) {
			r.listedAt = now
		}
		if now-r.listedAt > t.opts.UnlistedRetention || !r.limit.Stated && now-r.learnedAt > t.opts.RemovedRetention {
			t.forget(incarnation)
		}
	}
}

func (t *Tracker) forget(incarnation string) {
	if t.entries[incarnation].limit.Stated {
		t.limitedCount--
	}
	delete(t.entries, incarnation)
}

// Limits returns the limits in force by incarnation, in requests per second.
func (t *Tracker) Limits() map[string]float64 {
	out := make(map[string]float64, t.limitedCount)
	for incarnation, r := range t.entries {
		if r.limit.Stated {
			out[incarnation] = r.limit.PerSecond
		}
	}
	return out
}

// LimitedIncarnations returns the incarnations that state a limit, sorted.
func (t *Tracker) LimitedIncarnations() []string { return slices.Sorted(maps.Keys(t.Limits())) }

// IsValidRate reports whether a number is a possible limit.
func IsValidRate(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }
