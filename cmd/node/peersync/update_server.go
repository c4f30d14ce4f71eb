package peersync

import (
	"sync"
	"time"

	"quinceroad/coordination/history"
	"quinceroad/protocol/pb"
)

const (
	maxCachedUpdates    = 64
	updateLinkShare     = 0.25 // fraction of the link for updates to peers that are behind; the rest is for clients
	unmeteredUpdateSize = 4096 // bytes; updates up to this size are never refused
)

// UpdateServer limits the bandwidth of updates to peers that are behind, and caches the
// updates. When all instances start together, hundreds pull from the few that have the
// replica list. A refused peer can pull from any instance that has received it meanwhile.
type UpdateServer struct {
	mu         sync.Mutex
	lastChange history.Point // newest change that the cached updates contain
	cache      map[history.Point]cachedUpdate
	credit     float64 // bytes that may be sent now; negative after a large update
	creditedAt time.Duration
}

// cachedUpdate is the update for peers that have all changes up to a certain revision.
type cachedUpdate struct {
	message *pb.ReplicaChanges
	size    int // bytes
}

// Cached returns the update for a peer that has the changes up to have, or nil
// if none was built since the newest change.
func (s *UpdateServer) Cached(have, changed history.Point) (*pb.ReplicaChanges, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastChange != changed {
		return nil, 0
	}
	a := s.cache[have]
	return a.message, a.size
}

// Store caches an update until the next change.
func (s *UpdateServer) Store(have, changed history.Point, message *pb.ReplicaChanges, size int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The cache is nil if a peer asks before any list is loaded.
	if s.cache == nil || s.lastChange != changed || len(s.cache) >= maxCachedUpdates {
		s.lastChange, s.cache = changed, make(map[history.Point]cachedUpdate)
	}
	s.cache[have] = cachedUpdate{message, size}
}

// Allow reports whether an update of size bytes may be sent over a link of link bytes a
// second, and charges its size to the credit. Any credit that is not negative suffices,
// so an update may be larger than the credit.
func (s *UpdateServer) Allow(now time.Duration, size int, link float64) bool {
	if size <= unmeteredUpdateSize {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	rate := link * updateLinkShare
	s.credit = min(s.credit+rate*(now-s.creditedAt).Seconds(), rate*updateBurst.Seconds())
	s.creditedAt = now
	if s.credit < 0 {
		return false
	}
	s.credit -= float64(size)
	return true
}

// updateBurst is the time for which unused credit accumulates.
const updateBurst = 200 * time.Millisecond
