package node

import (
	"errors"
	"sync"
	"time"

	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	tellEach = 20 * time.Millisecond // between messages for changes alone: what a replica's end changes comes within a few ms

	quarantineTurns = 1000 // among how many the instances' first turns are spread
)

var errCondemned = errors.New(event.WhyCondemned)

// quarantined is what an instance knows of requests that crash replicas.
type quarantined struct {
	mu     sync.Mutex
	book   *quarantine.Tracker
	told   time.Duration                                  // when others were last told of a change alone
	looks  map[string]*look                               // by life
	ends   map[string]*lifeEnds                           // by listed life
	trials map[quarantine.Fingerprint]chan struct{}       // under way, as their arbiter; closed when one ends
	places map[string]map[quarantine.Fingerprint]struct{} // by replica: suspects that this instance runs there
}

func newQuarantined(spread float64) *quarantined {
	return &quarantined{
		book:   quarantine.New(quarantine.DefaultOptions(), int(spread*quarantineTurns)),
		looks:  make(map[string]*look),
		ends:   make(map[string]*lifeEnds),
		trials: make(map[quarantine.Fingerprint]chan struct{}),
		places: make(map[string]map[quarantine.Fingerprint]struct{}),
	}
}

// verdict returns what is held of a request.
func (n *Node) verdict(f quarantine.Fingerprint) quarantine.Verdict {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.book.Check(n.now(), f)
}

// endedUnder returns how many replicas have ended under a request.
func (n *Node) endedUnder(f quarantine.Fingerprint) int {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	e, _ := q.book.Lookup(n.now(), f)
	return len(e.Ended)
}

// noteQuarantine runs one event of the book, logs what it changes and tells the others.
func (n *Node) noteQuarantine(why string, step func(b *quarantine.Tracker, now time.Duration) []quarantine.Change) {
	q := n.quarantine
	q.mu.Lock()
	changes := step(q.book, n.now())
	q.mu.Unlock()
	for _, c := range changes {
		n.logQuarantine(c, why)
	}
	if len(changes) > 0 && why != fromPeer {
		n.tellQuarantine()
	}
}

// tellQuarantine tells others at once, as the next replica may end within less
// than a round of heartbeats; of many changes in a row the first, the rest goes
// with the next round.
func (n *Node) tellQuarantine() {
	q := n.quarantine
	now := n.now()
	q.mu.Lock()
	due := now-q.told >= tellEach
	if due {
		q.told = now
	}
	q.mu.Unlock()
	if due {
		n.tell()
	}
}

// What a change of the quarantine follows from, for logs.
const (
	fromEnd      = "a replica's end"
	fromAnswer   = "a whole answer"
	fromOperator = "an operator"
	fromPeer     = "a peer"
	fromAge      = "age"
)

func (n *Node) logQuarantine(c quarantine.Change, why string) {
	if c.Before == c.After && c.After != quarantine.Suspect {
		return
	}
	switch c.After {
	case quarantine.Unsuspected:
		event.NodeAcquits.Log(n.log, "fingerprint", c.Fingerprint, "was", c.Before, "why", why)
	case quarantine.Suspect:
		event.NodeSuspects.Log(n.log, "fingerprint", c.Fingerprint, "ended", c.Ended, "why", why)
	case quarantine.Quarantined:
		event.NodeCondemns.Log(n.log, "fingerprint", c.Fingerprint, "ended", c.Ended, "why", why)
	}
}

// answeredWhole takes in that a request got a whole answer.
func (n *Node) answeredWhole(f quarantine.Fingerprint) {
	n.noteQuarantine(fromAnswer, func(b *quarantine.Tracker, now time.Duration) []quarantine.Change { return b.RecordSuccess(now, f) })
}

// quarantineNews is what a heartbeat tells of suspects and condemned requests.
func (n *Node) quarantineNews() []*pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return casesOf(q.book.Updates(n.now()))
}

// allOfQuarantine is what an instance that has just started is told.
func (n *Node) allOfQuarantine() []*pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return casesOf(q.book.Snapshot(n.now()))
}

func casesOf(entries []quarantine.Entry) []*pb.QuarantineCase {
	var out []*pb.QuarantineCase
	for _, e := range entries {
		out = append(out, caseOf(e))
	}
	return out
}

func (n *Node) takeQuarantine(cases []*pb.QuarantineCase) {
	for _, c := range cases {
		n.noteQuarantine(fromPeer, func(b *quarantine.Tracker, now time.Duration) []quarantine.Change { return b.Merge(now, entryOf(c)) })
	}
}

func caseOf(e quarantine.Entry) *pb.QuarantineCase {
	c := &pb.QuarantineCase{Fingerprint: uint64(e.Fingerprint), AgeS: uint32(e.Age.Seconds())}
	for _, life := range e.Ended {
		c.Ended = append(c.Ended, uint32(life))
	}
	for _, life := range e.Cleared {
		c.Cleared = append(c.Cleared, uint32(life))
	}
	return c
}

func entryOf(c *pb.QuarantineCase) quarantine.Entry {
	e := quarantine.Entry{Fingerprint: quarantine.Fingerprint(c.GetFingerprint()), Age: time.Duration(c.GetAgeS()) * time.Second}
	for _, life := range c.GetEnded() {
		e.Ended = append(e.Ended, quarantine.Incarnation(life))
	}
	for _, life := range c.GetCleared() {
		e.Cleared = append(e.Cleared, quarantine.Incarnation(life))
	}
	return e
}

// forgetQuarantine drops what is old.
func (n *Node) forgetQuarantine() {
	n.noteQuarantine(fromAge, func(b *quarantine.Tracker, now time.Duration) []quarantine.Change { return b.Expire(now) })
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	for id, l := range q.looks {
		if n.now()-l.began > lookHolds {
			delete(q.looks, id)
		}
	}
	for id, e := range q.ends {
		if n.now()-e.last > forgetAfter {
			delete(q.ends, id)
		}
	}
}

// runsSuspect notes where this instance runs a suspect; the returned function
// ends that.
func (n *Node) runsSuspect(f quarantine.Fingerprint, replica string) (ends func()) {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.places[replica] == nil {
		q.places[replica] = make(map[quarantine.Fingerprint]struct{})
	}
	q.places[replica][f] = struct{}{}
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		delete(q.places[replica], f)
		if len(q.places[replica]) == 0 {
			delete(q.places, replica)
		}
	}
}

// apart returns the replicas at which this instance runs no suspect, if there
// are any: whoever is beside a request that ends its replica is lost with it.
func (n *Node) apart(all []catalog.Replica) []catalog.Replica {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.places) == 0 {
		return all
	}
	var out []catalog.Replica
	for _, r := range all {
		if len(q.places[r.ID]) == 0 {
			out = append(out, r)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}
