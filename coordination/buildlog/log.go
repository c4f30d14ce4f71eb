package buildlog

import (
	"iter"
	"maps"
	"slices"
	"time"
)

// Log is what one instance knows of the logs of all services. It is not safe for concurrent
// use.
type Log struct {
	known     Snapshot
	wanted    map[string]Wanted
	confirmed map[item]bool // of what is wanted, what a read since it is wanted has shown in the logs
	several   map[string]bool
	absent    map[absence]time.Duration // since when what a log holds has not been wanted here
	seen      map[string]sighting       // since when a service's entry has been as it is
	settledAt time.Duration             // last look at what may leave the logs
}

// item is a build or a route in the log of a service.
type item struct {
	service string
	build   string
	route   Route // "": a build
}

// absence is that of an item that is not wanted, before and after the log says that it
// retires.
type absence struct {
	item
	retiring bool
}

type sighting struct {
	revision uint64
	at       time.Duration
}

// New returns an empty log.
func New() *Log {
	return &Log{
		known:     Snapshot{Entries: make(map[string]Entry)},
		wanted:    make(map[string]Wanted),
		confirmed: make(map[item]bool),
		several:   make(map[string]bool),
		absent:    make(map[absence]time.Duration),
		seen:      make(map[string]sighting),
	}
}

// Observe takes in what the store returned. An answer of an earlier era, or an entry that is
// older than the known one, changes nothing.
func (l *Log) Observe(s *Snapshot) {
	if s.Era < l.known.Era {
		return
	}
	if s.Era > l.known.Era { // what was acknowledged in the earlier one may be lost, and revisions may be given out again
		l.known.Era = s.Era
		clear(l.known.Entries)
		clear(l.confirmed)
		clear(l.absent)
		clear(l.seen)
	}
	for service, e := range s.Entries {
		if e.Revision < l.known.Entries[service].Revision {
			continue
		}
		l.known.Entries[service] = e
		l.confirm(service, &e)
	}
	clear(l.several)
	sharing := l.known.sharing()
	for service, e := range l.known.Entries {
		l.several[service] = sharing[service] || e.Incomplete || e.Era != l.known.Era || len(e.Builds) != 1
	}
}

// confirm takes in which of the wanted builds and routes of a service its log holds.
func (l *Log) confirm(service string, e *Entry) {
	w := l.wanted[service]
	for i := range w.items(service) {
		if e.Era == l.known.Era && e.Has(i.wanted()) {
			l.confirmed[i] = true
		} else {
			delete(l.confirmed, i)
		}
	}
}

// Confirmed returns what is wanted and known to be in the logs. It proves that streams may
// begin, not that there are no other builds.
func (l *Log) Confirmed() *Snapshot {
	out := &Snapshot{Entries: make(map[string]Entry), Era: l.known.Era}
	for i := range l.confirmed {
		e := out.Entries[i.service]
		w := Wanted{e.Builds, e.Routes}.And(*i.wanted())
		out.Entries[i.service] = Entry{Builds: w.Builds, Routes: w.Routes, Incomplete: true, Era: l.known.Era}
	}
	return out
}

// ObserveConfirmed takes in what another instance knows to be in the logs. It changes nothing
// if that instance has seen an earlier era.
func (l *Log) ObserveConfirmed(s *Snapshot) {
	l.ObserveEra(s.Era)
	if s.Era != l.known.Era {
		return
	}
	for service, e := range s.Entries {
		w := l.wanted[service]
		for i := range w.items(service) {
			if e.Has(i.wanted()) {
				l.confirmed[i] = true
			}
		}
	}
}

// Era returns the highest era of the store that is known.
func (l *Log) Era() uint64 { return l.known.Era }

// ObserveEra takes in that the store is in an era.
func (l *Log) ObserveEra(era uint64) {
	if era > l.known.Era {
		l.Observe(&Snapshot{Era: era})
	}
}

// Want takes in which builds a service's listed replicas have, which routes go to it, and
// what else is wanted of its log. What is not among them has to be confirmed again when it is
// back, as it may have left the log meanwhile.
func (l *Log) Want(service string, w Wanted) {
	for i := range l.confirmed {
		if i.service == service && !w.has(i) {
			delete(l.confirmed, i)
		}
	}
	for a := range l.absent {
		if a.service == service && w.has(a.item) {
			delete(l.absent, a)
		}
	}
	l.wanted[service] = w
	if len(w.Builds)+len(w.Routes) == 0 {
		delete(l.wanted, service)
	}
}

// WantedServices returns the services of whose logs anything is wanted.
func (l *Log) WantedServices() []string { return slices.Collect(maps.Keys(l.wanted)) }

// Wants reports whether all of w is wanted already.
func (l *Log) Wants(service string, w Wanted) bool {
	all := l.wanted[service]
	return isSubset(w.Builds, all.Builds) && isSubset(w.Routes, all.Routes)
}

// items returns what is wanted, one by one.
func (w *Wanted) items(service string) iter.Seq[item] {
	return func(yield func(item) bool) {
		for _, build := range w.Builds {
			if !yield(item{service: service, build: build}) {
				return
			}
		}
		for _, route := range w.Routes {
			if !yield(item{service: service, route: route}) {
				return
			}
		}
	}
}

// wanted returns the item alone.
func (i item) wanted() *Wanted {
	w := &Wanted{}
	w.add(i)
	return w
}

func (w *Wanted) add(i item) {
	if i.route != "" {
		w.Routes = append(w.Routes, i.route)
	} else {
		w.Builds = append(w.Builds, i.build)
	}
}

func (w *Wanted) has(i item) bool {
	if i.route != "" {
		return slices.Contains(w.Routes, i.route)
	}
	return slices.Contains(w.Builds, i.build)
}

// Contains reports whether the store has acknowledged, in its present era, that a service's
// log holds a build and a route.
func (l *Log) Contains(service, build string, route Route) bool {
	return l.confirmed[item{service: service, build: build}] && l.confirmed[item{service: service, route: route}]
}

// Covers reports whether that is so for all that is wanted of a service's log.
func (l *Log) Covers(service string, w Wanted) bool {
	for i := range w.items(service) {
		if !l.confirmed[i] {
			return false
		}
	}
	return true
}

// Knows reports whether the log of a service was read.
func (l *Log) Knows(service string) bool {
	_, known := l.several[service]
	return known
}

// HasSeveral reports whether a stream of a service may have begun elsewhere than at one build
// of it, as far as is known: the store must hold records of streams then.
func (l *Log) HasSeveral(service string) bool {
	several, known := l.several[service]
	return several || !known
}

// Uncovered returns the entries that are to be changed while streams begin without the logs:
// none of them is complete any more.
func (l *Log) Uncovered() map[string]Entry {
	out := make(map[string]Entry)
	for service, e := range l.known.Entries {
		if e.Era == l.known.Era && !e.Incomplete {
			e.Incomplete = true
			out[service] = e
		}
	}
	return out
}

// Settle returns the entries that are to be changed: what has not been wanted for RetireTime
// retires, what has retired for SettleTime leaves, and one that has been as it is for as long
// and holds what is wanted is complete. wanted returns what is wanted of a service's log. Settle has to be called every
// few seconds, and only while that is up to date and all live instances use the logs; a longer
// pause begins all times anew.
func (l *Log) Settle(now time.Duration, wanted func(service string) Wanted) map[string]Entry {
	if now-l.settledAt > maxSettleGap {
		clear(l.absent)
		clear(l.seen)
	}
	l.settledAt = now
	out := make(map[string]Entry)
	current := make(map[absence]bool)
	for service, e := range l.known.Entries {
		w := wanted(service)
		settled, changed := l.settleEntry(now, service, &e, &w, current)
		if changed && e.Era == l.known.Era {
			out[service] = settled
		}
	}
	for a := range l.absent {
		if !current[a] {
			delete(l.absent, a)
		}
	}
	return out
}

func (l *Log) settleEntry(now time.Duration, service string, e *Entry, w *Wanted, current map[absence]bool) (Entry, bool) {
	out := Entry{Incomplete: e.Incomplete, Era: e.Era, Revision: e.Revision}
	var kept Wanted
	changed := false
	for i := range (&Wanted{e.Builds, e.Routes}).items(service) {
		isRetiring := e.Retiring.has(i)
		isDue := !w.has(i) && l.isAbsentLong(now, absence{i, isRetiring}, current)
		changed = changed || isDue
		if isRetiring && isDue {
			continue
		}
		kept.add(i)
		if isRetiring || isDue {
			out.Retiring.add(i)
		}
	}
	out.Builds, out.Routes = kept.Builds, kept.Routes
	if seen := l.seen[service]; seen.revision != e.Revision {
		l.seen[service] = sighting{e.Revision, now}
	} else if e.Incomplete && e.Has(w) && now-seen.at >= SettleTime {
		out.Incomplete, changed = false, true
	}
	return out, changed
}

// isAbsentLong reports whether what is not wanted has not been for long enough to retire, or to
// leave the log if it retires.
func (l *Log) isAbsentLong(now time.Duration, a absence, current map[absence]bool) bool {
	current[a] = true
	since, known := l.absent[a]
	if !known {
		l.absent[a] = now
		return false
	}
	if a.retiring {
		return now-since >= SettleTime
	}
	return now-since >= RetireTime
}
