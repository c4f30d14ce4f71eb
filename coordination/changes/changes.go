// Package changes keeps the content of a topic (a key prefix that is watched) of
// the platform's store together with a bounded log of its recent changes, so that an
// instance can send a peer that is behind only the changes that it lacks (delta
// synchronization).
//
// Revisions are the store's: a single counter that increases with every change of any
// key, so two instances that read at different times hold the same content at
// different revisions. Whether an instance is behind therefore depends on the
// revision of the newest known change, not on the revision of the last read.
//
// Revisions hold for one era of the store (see package history). At a new era the topic is
// read whole, and the log starts anew; overlay.go tells what of the previous era holds on.
package changes

import (
	"bytes"
	"slices"
	"time"

	"quinceroad/coordination/history"
)

// Entry is the value of one key of the topic at a revision, or its deletion.
type Entry struct {
	ID       string
	Value    []byte
	Revision uint64 // within the era of the point that comes with it
	Deleted  bool
}

// Log holds a topic's content and its recent changes. It is not safe for concurrent
// use.
type Log struct {
	equal      func(a, b []byte) bool
	values     map[string][]byte // as the store holds them
	overlay    overlay
	changed    map[string]bool // keys changed since the last call of TakeChanged
	recent     []Entry         // changes, oldest first
	recentFrom uint64          // recent holds every change after this revision, except those in gaps
	gaps       []gap           // intervals whose intermediate changes are unknown
	era        uint64          // of all revisions here
	revision   uint64          // the content is complete up to this revision
	lastChange uint64          // revision of the newest known change
}

// gap is the open interval between the revisions of two full reads. Keys that were
// created and deleted within it are unknown.
type gap struct{ from, to uint64 }

// Bounds of the history; a peer that is further behind gets a full update.
const (
	minHistory     = 1024 // changes that are kept in any case
	historyDivisor = 4    // the part of the content for which changes are kept in a longer topic
	maxGaps        = 16   // gaps; the oldest ones are merged
)

// maxHistory returns the number of changes to keep. With more, a full update is hardly
// longer.
func (l *Log) maxHistory() int { return max(minHistory, len(l.values)/historyDivisor) }

// initialChange is the last change of a log whose topic has not changed since the
// first read. Only a peer that has read nothing yet is behind it.
const initialChange = 1

// New returns an empty log. equal reports whether two values of a key are equivalent,
// as some encoded values differ with every write.
func New(equal func(a, b []byte) bool) *Log {
	return &Log{equal: equal, values: make(map[string][]byte), changed: make(map[string]bool)}
}

// IsLoaded reports whether the topic has been read.
func (l *Log) IsLoaded() bool { return l.revision > 0 }

// LastChange returns the point of the newest known change: revision 0 if the topic has not
// been read, initialChange if nothing has changed since the first read.
func (l *Log) LastChange() history.Point { return history.Point{Era: l.era, Revision: l.lastChange} }

// CompleteSince returns the earliest point from which a peer that has all changes up to it
// lacks none, as far as this log knows.
func (l *Log) CompleteSince() history.Point {
	return history.Point{Era: l.era, Revision: max(l.lastChange, l.recentFrom)}
}

// At returns the point up to which the content is complete.
func (l *Log) At() history.Point { return history.Point{Era: l.era, Revision: l.revision} }

// IsBehind reports whether a peer whose newest change is at the given point has changes that
// this log lacks.
func (l *Log) IsBehind(lastChange history.Point) bool { return lastChange.After(l.At()) }

// Value returns the value of a key that is in force, or false if there is none.
func (l *Log) Value(id string) (value []byte, ok bool) {
	if l.overlay.hides(id) {
		return nil, false
	}
	if value, ok = l.values[id]; ok {
		return value, true
	}
	return l.overlay.kept(id)
}

// TakeChanged returns the keys whose values may have changed since the last call.
func (l *Log) TakeChanged() map[string]bool {
	changed := l.changed
	l.changed = make(map[string]bool)
	return changed
}

// Replace sets the content to a full read of the topic at a point. The differences
// are recorded as changes, as peers may have missed them too. Further changes may
// have come and gone between the two reads, so a peer whose revision lies between
// them gets a full update rather than the differences. A read older than the current
// content is ignored.
func (l *Log) Replace(now time.Duration, values map[string][]byte, at history.Point) {
	if at.Before(l.At()) {
		return
	}
	if l.IsLoaded() && at.Era > l.era {
		l.startEra(now, values, at)
		return
	}
	l.era = at.Era
	revision := at.Revision
	previous := l.revision
	changed := l.diff(values, revision)
	loaded := l.IsLoaded()
	l.values, l.revision = values, revision
	for _, e := range changed {
		l.changed[e.ID] = true
		l.overlay.end(e.ID)
	}
	if !loaded {
		l.lastChange = initialChange
	}
	if !loaded || len(changed) > l.maxHistory() {
		if loaded && len(changed) > 0 {
			l.lastChange = revision
		}
		l.recentFrom, l.recent, l.gaps = revision, nil, nil
		return
	}
	l.recordGap(gap{previous, revision})
	for _, e := range changed {
		l.recordChange(e)
	}
}

// startEra replaces the content by a full read in a new era. Peers of earlier eras get a full
// update.
func (l *Log) startEra(now time.Duration, values map[string][]byte, at history.Point) {
	for _, e := range l.diff(values, at.Revision) {
		l.changed[e.ID] = true
	}
	l.overlay.startEra(now, l.values, values, l.recent)
	l.values = values
	l.era, l.revision, l.lastChange = at.Era, at.Revision, at.Revision
	l.recentFrom, l.recent, l.gaps = at.Revision, nil, nil
}

// Expire ends what holds on of the previous era when its time is over, and reports whether
// any value has changed.
func (l *Log) Expire(now time.Duration) bool {
	ended := l.overlay.expire(now)
	for _, id := range ended {
		l.changed[id] = true
	}
	return len(ended) > 0
}

// recordGap records a gap. At maxGaps, the two oldest gaps are merged.
func (l *Log) recordGap(g gap) {
	if len(l.gaps) == maxGaps {
		l.gaps[1].from = l.gaps[0].from
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}
	l.gaps = append(l.gaps, g)
}

// diff returns the changes that lead from the current content to values.
func (l *Log) diff(values map[string][]byte, revision uint64) []Entry {
	var out []Entry
	for id, value := range values {
		if old, ok := l.values[id]; !ok || !bytes.Equal(old, value) && !l.equal(old, value) {
			out = append(out, Entry{ID: id, Value: value, Revision: revision})
		}
	}
	for id := range l.values {
		if _, ok := values[id]; !ok {
			out = append(out, Entry{ID: id, Revision: revision, Deleted: true})
		}
	}
	return out
}

// ApplyChanges applies changes in their order; the content is then complete up to
// the given point. It returns how many of the changes were new. Changes of another era than
// the content's are ignored.
func (l *Log) ApplyChanges(entries []Entry, at history.Point) int {
	if at.Era != l.era {
		return 0
	}
	applied := 0
	for _, e := range entries {
		if e.Revision <= l.revision {
			continue
		}
		applied++
		l.changed[e.ID] = true
		l.overlay.end(e.ID)
		if e.Deleted {
			delete(l.values, e.ID)
		} else {
			l.values[e.ID] = e.Value
		}
		l.recordChange(e)
	}
	l.revision = max(l.revision, at.Revision)
	return applied
}

func (l *Log) recordChange(e Entry) {
	l.lastChange = max(l.lastChange, e.Revision)
	l.recent = append(l.recent, e)
	if keep := l.maxHistory(); len(l.recent) >= 2*keep { // rarely, so that a change costs no copy of the history
		l.dropRecent(len(l.recent) - keep)
	}
}

// dropRecent drops the oldest n changes of the history.
func (l *Log) dropRecent(n int) {
	l.recentFrom = l.recent[n-1].Revision
	l.recent = slices.Clone(l.recent[n:])
	l.gaps = slices.DeleteFunc(l.gaps, func(g gap) bool { return g.to <= l.recentFrom })
}

// Update is the response to an instance that is behind.
type Update struct {
	Full       bool // Entries is the whole content
	HasGap     bool // if not Full: Entries lacks keys that were created and deleted within a gap
	Entries    []Entry
	At         history.Point // up to which the receiver has all changes then
	LastChange history.Point
}

// UpdateSince returns what an instance lacks whose content is complete up to a point.
func (l *Log) UpdateSince(have history.Point) Update {
	u := Update{At: l.At(), LastChange: l.LastChange()}
	revision := have.Revision
	if have.Era == l.era && revision >= l.recentFrom && revision > 0 && !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < revision && revision < g.to }) {
		for _, e := range l.recent {
			if e.Revision > revision {
				u.Entries = append(u.Entries, e)
			}
		}
		u.HasGap = slices.ContainsFunc(l.gaps, func(g gap) bool { return g.to > revision })
		return u
	}
	u.Full = true
	for id, value := range l.values {
		u.Entries = append(u.Entries, Entry{ID: id, Value: value, Revision: l.revision})
	}
	return u
}

// ApplyUpdate applies the response of another instance.
func (l *Log) ApplyUpdate(now time.Duration, u Update) {
	if u.At.Before(l.At()) {
		return
	}
	if !u.Full {
		if u.HasGap && u.At.Era == l.era {
			l.recordGap(gap{l.revision, u.At.Revision})
		}
		l.ApplyChanges(u.Entries, u.At)
		return
	}
	values := make(map[string][]byte, len(u.Entries))
	for _, e := range u.Entries {
		values[e.ID] = e.Value
	}
	l.Replace(now, values, u.At)
	l.lastChange = max(l.lastChange, u.LastChange.Revision)
}
