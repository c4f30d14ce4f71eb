// Package replicas merges all sources about upstream replicas into one list:
// the platform's listing, which lags, peers' updates, and what a replica's own
// answers report. Within an incarnation, leaving is final, so a stale listing
// can't bring a leaving replica back: an upstream that is leaving must receive
// no new work after a few seconds.
package replicas

import "sort"

// Replica is one replica of a service.
type Replica struct {
	ID           string
	Service      string
	Hall         string
	Address      string // IP:port
	Incarnation  uint64 // higher after each start of the replica
	Leaving      bool
	ChecksFences bool // it rejects orders with a fencing token older than the newest it has seen
}

// Set is the merged list of replicas. It is not safe for concurrent use; its
// owner guards it (table.RankReplicas).
type Set struct {
	rows    map[string]Replica
	leaving map[string]uint64 // by replica ID: highest incarnation known to be leaving
}

// New returns an empty set.
func New() *Set {
	return &Set{rows: make(map[string]Replica), leaving: make(map[string]uint64)}
}

// ReplaceAll applies a complete listing of the platform and reports whether the
// set changed. Replicas that are not listed are dropped.
func (s *Set) ReplaceAll(list []Replica) bool {
	changed := false
	seen := make(map[string]bool, len(list))
	for _, r := range list {
		seen[r.ID] = true
		changed = s.upsert(r) || changed
	}
	for id := range s.rows {
		if !seen[id] {
			delete(s.rows, id)
			changed = true
		}
	}
	return changed
}

func (s *Set) upsert(r Replica) bool {
	old, ok := s.rows[r.ID]
	if ok && r.Incarnation < old.Incarnation {
		return false
	}
	if r.Leaving {
		s.recordLeaving(r.ID, r.Incarnation)
	}
	r.Leaving = s.isLeaving(r)
	s.rows[r.ID] = r
	return !ok || old != r
}

// MarkLeaving records that an incarnation is leaving, and reports whether that
// was new.
func (s *Set) MarkLeaving(id string, incarnation uint64) bool {
	if !s.recordLeaving(id, incarnation) {
		return false
	}
	if r, ok := s.rows[id]; ok {
		r.Leaving = s.isLeaving(r)
		s.rows[id] = r
	}
	return true
}

func (s *Set) recordLeaving(id string, incarnation uint64) bool {
	if at, ok := s.leaving[id]; ok && at >= incarnation {
		return false
	}
	s.leaving[id] = incarnation
	return true
}

func (s *Set) isLeaving(r Replica) bool {
	at, ok := s.leaving[r.ID]
	return ok && r.Incarnation <= at
}

// All returns the replicas, sorted by ID.
func (s *Set) All() []Replica {
	out := make([]Replica, 0, len(s.rows))
	for _, r := range s.rows {
		out = append(out, r)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Get returns the replica with the given ID.
func (s *Set) Get(id string) (Replica, bool) {
	r, ok := s.rows[id]
	return r, ok
}
