// Package changes keeps what a topic of the platform's store holds, together
// with the changes that led there, so that an instance can tell another that is
// behind just what it lacks.
//
// Revisions are the store's: a single counter that rises with every change of
// anything, so two instances that read at different times hold the same
// content under different revisions. Who is behind is told by the revision of
// the newest change that somebody knows of, not by when it was read.
package changes

import "slices"

// Entry is one key of the topic, or its end.
type Entry struct {
	ID       string
	Value    []byte
	Revision uint64
	Deleted  bool
}

// Log is a topic's content and its latest changes. It is not safe for
// concurrent use.
type Log struct {
	same    func(a, b []byte) bool
	values  map[string][]byte
	latest  []Entry // changes, oldest first
	since   uint64  // revision from which on latest is complete
	gaps    []gap   // but for who knows all up to a revision within one of these
	at      uint64  // up to this revision all is known
	changed uint64  // revision of the newest change known
}

// gap lies between two reads of the whole topic, both ends left out: what came
// and went in it is not known.
type gap struct{ from, to uint64 }

// What is kept at most; who is further behind is told all.
const (
	mostLatest = 1024 // changes: a third of a fleet's 3,000 replicas
	mostGaps   = 16   // chosen
)

// unchanged is a revision that is news only to who knows nothing.
const unchanged = 1

// New returns an empty log. same tells whether two values of a key say the
// same: some change with every write.
func New(same func(a, b []byte) bool) *Log {
	return &Log{same: same, values: make(map[string][]byte)}
}

// Known reports whether the topic was ever read.
func (l *Log) IsLoaded() bool { return l.at > 0 }

// Changed is the revision of the newest change that the log knows of; 0 when it
// knows nothing, unchanged when nothing has changed since it was first read.
func (l *Log) LastChange() uint64 { return l.changed }

// At is the revision up to which the log knows all.
func (l *Log) Revision() uint64 { return l.at }

// Behind reports whether somebody who knows of a change at that revision knows more.
func (l *Log) IsBehind(changed uint64) bool { return changed > l.at }

// Each calls f with every key and value.
func (l *Log) Each(f func(id string, value []byte)) {
	for id, value := range l.values {
		f(id, value)
	}
}

// Replace takes in the whole topic as it was read at a revision. What differs
// from before is a change that others may have missed as well. Changes may have
// come and gone in between: who knows some of what was between the two reads is
// told all, not just the differences. An older read than what is known changes
// nothing.
func (l *Log) Replace(values map[string][]byte, at uint64) {
	if at < l.at {
		return
	}
	before := l.at
	differences := l.differences(values, at)
	known := l.IsLoaded()
	l.values, l.at = values, at
	if !known {
		l.changed = unchanged
	}
	if !known || len(differences) > mostLatest {
		if known && len(differences) > 0 {
			l.changed = at
		}
		l.since, l.latest, l.gaps = at, nil, nil
		return
	}
	l.miss(gap{before, at})
	for _, e := range differences {
		l.note(e)
	}
}

// miss notes a gap; the oldest ones become one when there are many.
func (l *Log) miss(g gap) {
	if len(l.gaps) == mostGaps {
		l.gaps[1].from = l.gaps[0].from
		l.gaps = slices.Delete(l.gaps, 0, 1)
	}
	l.gaps = append(l.gaps, g)
}

// differences returns what leads from the content to other values.
func (l *Log) differences(values map[string][]byte, at uint64) []Entry {
	var out []Entry
	for id, value := range values {
		if before, ok := l.values[id]; !ok || !l.same(before, value) {
			out = append(out, Entry{ID: id, Value: value, Revision: at})
		}
	}
	for id := range l.values {
		if _, ok := values[id]; !ok {
			out = append(out, Entry{ID: id, Revision: at, Deleted: true})
		}
	}
	return out
}

// Apply takes in changes, in their order, after which all up to a revision is
// known. It returns how many were news.
func (l *Log) ApplyChanges(entries []Entry, at uint64) int {
	news := 0
	for _, e := range entries {
		if e.Revision <= l.at {
			continue
		}
		news++
		if e.Deleted {
			delete(l.values, e.ID)
		} else {
			l.values[e.ID] = e.Value
		}
		l.note(e)
	}
	l.at = max(l.at, at)
	return news
}

func (l *Log) note(e Entry) {
	l.changed = max(l.changed, e.Revision)
	if len(l.latest) == mostLatest {
		l.since = l.latest[0].Revision
		l.latest = append(l.latest[:0], l.latest[1:]...)
		l.gaps = slices.DeleteFunc(l.gaps, func(g gap) bool { return g.to <= l.since })
	}
	l.latest = append(l.latest, e)
}

// Answer is what an instance that is behind is told.
type Update struct {
	Full       bool // the entries are all there are
	HasGap     bool // else: what came and went meanwhile is not among them
	Entries    []Entry
	Revision   uint64
	LastChange uint64
}

// After returns what an instance lacks that knows all up to a revision.
func (l *Log) UpdateSince(have uint64) Update {
	a := Update{Revision: l.at, LastChange: l.changed}
	if have >= l.since && have > 0 && !slices.ContainsFunc(l.gaps, func(g gap) bool { return g.from < have && have < g.to }) {
		for _, e := range l.latest {
			if e.Revision > have {
				a.Entries = append(a.Entries, e)
			}
		}
		a.HasGap = slices.ContainsFunc(l.gaps, func(g gap) bool { return g.to > have })
		return a
	}
	a.Full = true
	for id, value := range l.values {
		a.Entries = append(a.Entries, Entry{ID: id, Value: value, Revision: l.at})
	}
	return a
}

// Take takes in what another instance answered.
func (l *Log) ApplyUpdate(a Update) {
	if a.Revision < l.at {
		return
	}
	if !a.Full {
		if a.HasGap {
			l.miss(gap{l.at, a.Revision})
		}
		l.ApplyChanges(a.Entries, a.Revision)
		return
	}
	values := make(map[string][]byte, len(a.Entries))
	for _, e := range a.Entries {
		values[e.ID] = e.Value
	}
	l.Replace(values, a.Revision)
	l.changed = max(l.changed, a.LastChange)
}
