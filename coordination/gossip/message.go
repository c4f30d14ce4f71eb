package gossip

import "time"

// Message is the payload of a gossip round: the sender's entry, full entries of some
// other instances, and only the counters of more.
type Message struct {
	Entries    []Instance // the sender's entry first
	Heartbeats []Heartbeat
}

// IsAnnouncement reports whether the message tells of its sender alone, as a starting
// instance does to the seeds. Whoever receives it answers with its view.
func (m *Message) IsAnnouncement() bool { return len(m.Entries) == 1 && len(m.Heartbeats) == 0 }

// Heartbeat is the counter of the incarnation with the given key.
type Heartbeat struct {
	Key   uint32
	Count uint64
}

// BuildMessage returns a message with recently changed entries and one more entry,
// round-robin, in full. Half of its counters are the most recently updated ones, the
// rest rotates through the other live instances. The work does not grow with the
// fleet.
func (v *View) BuildMessage(now time.Duration) Message {
	m := Message{Entries: []Instance{v.self}}
	if len(v.sorted) == 0 {
		return m
	}
	v.messages++
	v.cursor++
	m.addEntry(v, now, v.sorted[v.cursor%len(v.sorted)])
	for range min(len(v.pending), v.opts.FullEntries-1) {
		r := v.pending[0]
		v.pending = v.pending[1:]
		r.announcements++
		r.inPending = r.announcements < announcementsPerChange && v.rows[r.Name] == r
		if r.inPending {
			v.pending = append(v.pending, r)
		}
		m.addEntry(v, now, r)
	}
	v.addRecentCounters(now, &m)
	v.addRotatedCounters(now, &m)
	return m
}

func (m *Message) addEntry(v *View, now time.Duration, r *row) {
	if r.message != v.messages {
		r.message = v.messages
		m.Entries = append(m.Entries, r.entry(now))
	}
}

// addRecentCounters adds the counters that have increased last.
func (v *View) addRecentCounters(now time.Duration, m *Message) {
	visited := 0
	for r := v.recent.first; r != nil && visited < v.opts.MaxHeartbeats && len(m.Heartbeats) < v.opts.MaxHeartbeats/2; r = r.older {
		visited++
		v.addCounter(now, m, r)
	}
}

// addRotatedCounters adds the counters of the next live instances in turn.
func (v *View) addRotatedCounters(now time.Duration, m *Message) {
	for range min(len(v.sorted), 2*v.opts.MaxHeartbeats) {
		if len(m.Heartbeats) >= v.opts.MaxHeartbeats {
			return
		}
		v.rotation++
		v.addCounter(now, m, v.sorted[v.rotation%len(v.sorted)])
	}
}

func (v *View) addCounter(now time.Duration, m *Message, r *row) {
	if r.message == v.messages || !v.alive(now, r) {
		return
	}
	r.message = v.messages
	m.Heartbeats = append(m.Heartbeats, Heartbeat{Key: r.key, Count: r.HeartbeatCount})
}

// entry returns a row as it is announced. Without the age, a dead instance would
// look alive again to every receiver that has an older count of it, and through
// that receiver to others.
func (r *row) entry(now time.Duration) Instance {
	i := r.Instance
	i.HeartbeatAge = max(now-r.lastHeartbeat, 0)
	return i
}

// announcementsPerChange is how often a changed entry is announced in full.
const announcementsPerChange = 4
