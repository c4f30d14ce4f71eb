package node

import (
	"sync"
	"time"

	"quinceroad/protocol/pb"
)

const (
	packFrom    = 1400 // bytes from which an answer is compressed: what one packet holds
	mostMade    = 64   // answers that are kept
	tellShare   = 0.25 // of the link, for what is told to peers that are behind: the rest is the clients'
	tellingFree = 4096 // bytes up to which an answer is never refused
)

// telling bounds what this instance tells peers that are behind, and makes each
// answer once: when all start, hundreds ask those few who know the list of
// replicas, and whoever has been told can tell others.
type telling struct {
	mu      sync.Mutex
	changed uint64 // revision of the newest change that the answers hold
	answers map[uint64]madeAnswer
	left    float64 // bytes that may be told now; below 0: owed
	at      time.Duration
}

// madeAnswer is what who knows all up to a revision is told.
type madeAnswer struct {
	message *pb.ReplicaChanges
	size    int // bytes
}

// made returns an answer that was made since the newest change; nil: there is none.
func (t *telling) made(have, changed uint64) (*pb.ReplicaChanges, int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.changed != changed {
		return nil, 0
	}
	a := t.answers[have]
	return a.message, a.size
}

// keep keeps an answer until the next change.
func (t *telling) keep(have, changed uint64, message *pb.ReplicaChanges, size int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.answers == nil || t.changed != changed || len(t.answers) >= mostMade { // nil: a peer asks before any list is known
		t.changed, t.answers = changed, make(map[uint64]madeAnswer)
	}
	t.answers[have] = madeAnswer{message, size}
}

// may reports whether an answer of that size may go out over a link of so many
// bytes a second, and counts it. One that is too large for the moment goes out
// when nothing is owed.
func (t *telling) may(now time.Duration, size int, link float64) bool {
	if size <= tellingFree {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	rate := link * tellShare
	t.left = min(t.left+rate*(now-t.at).Seconds(), rate*tellingAhead.Seconds())
	t.at = now
	if t.left < 0 {
		return false
	}
	t.left -= float64(size)
	return true
}

// tellingAhead is for how long what was not told is kept to tell.
const tellingAhead = 200 * time.Millisecond
