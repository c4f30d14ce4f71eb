package node

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"syscall"
	"time"

	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	lookFor   = connectFor             // that a replica's port may take to answer a look
	lookWait  = 150 * time.Millisecond // that a request waits for it before it may go on elsewhere: a port that refuses does so in a way there and back
	lookHolds = 300 * time.Millisecond // that a look stands for all answers that break off there: a replica that ends is not back sooner
	tellEach  = 20 * time.Millisecond  // between messages for changes alone: what a replica's end changes comes within a few ms

	quarantineTurns = 1000 // among how many the instances' first turns are spread
)

var errCondemned = errors.New(event.WhyCondemned)

// quarantined is what an instance knows of requests that crash replicas.
type quarantined struct {
	mu     sync.Mutex
	book   *quarantine.Book
	told   time.Duration                                  // when others were last told of a change alone
	looks  map[string]*look                               // by life
	ends   map[string]*lifeEnds                           // by listed life
	trials map[quarantine.Fingerprint]chan struct{}       // under way, as their arbiter; closed when one ends
	places map[string]map[quarantine.Fingerprint]struct{} // by replica: suspects that this instance runs there
}

// look is a question whether a replica has ended.
type look struct {
	life  string
	done  chan struct{} // closed when it is known
	began time.Duration
}

func newQuarantined(spread float64) *quarantined {
	return &quarantined{
		book:   quarantine.New(quarantine.Standard(), int(spread*quarantineTurns)),
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
	return q.book.Verdict(n.now(), f)
}

// endedUnder returns how many replicas have ended under a request.
func (n *Node) endedUnder(f quarantine.Fingerprint) int {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	e, _ := q.book.Known(n.now(), f)
	return len(e.Ended)
}

// note runs one event of the book, logs what it changes and tells the others.
func (n *Node) noteQuarantine(why string, step func(b *quarantine.Book, now time.Duration) []quarantine.Change) {
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
	if c.Before == c.Now && c.Now != quarantine.Suspect {
		return
	}
	switch c.Now {
	case quarantine.Unsuspected:
		event.NodeAcquits.Log(n.log, "fingerprint", c.Fingerprint, "was", c.Before, "why", why)
	case quarantine.Suspect:
		event.NodeSuspects.Log(n.log, "fingerprint", c.Fingerprint, "ended", c.Ended, "why", why)
	case quarantine.Condemned:
		event.NodeCondemns.Log(n.log, "fingerprint", c.Fingerprint, "ended", c.Ended, "why", why)
	}
}

// brokeOff takes in that answers to requests broke off at a replica, to which
// they were sent so long after the process began, and has it looked at.
func (n *Node) brokeOff(r *catalog.Replica, sent time.Duration, requests ...quarantine.Fingerprint) *look {
	life := n.quarantine.lifeAt(r.ID, sent)
	n.noteQuarantine(fromEnd, func(b *quarantine.Book, now time.Duration) (changes []quarantine.Change) {
		for _, f := range requests {
			changes = append(changes, b.Broke(now, f, quarantine.LifeOf(life))...)
		}
		return changes
	})
	return n.look(r, life)
}

// awaitLook waits a little to hear whether a replica has ended, and reports that:
// until then another try would only be a guess.
func (n *Node) awaitLook(ctx context.Context, l *look) (ended bool) {
	wait := time.NewTimer(lookWait)
	defer wait.Stop()
	select {
	case <-l.done:
	case <-wait.C:
	case <-ctx.Done():
	}
	return n.quarantine.hasEnded(l.life)
}

// endedUnfinished takes in that this instance, or its client, ended a request
// before its answer was whole. If the replica ends within seconds, the request
// may be to blame: who sends one and leaves at once must not go unnoticed.
func (n *Node) endedUnfinished(replica string, sent time.Duration, f quarantine.Fingerprint) {
	life := quarantine.LifeOf(n.quarantine.lifeAt(replica, sent))
	n.noteQuarantine(fromEnd, func(b *quarantine.Book, now time.Duration) []quarantine.Change { return b.Broke(now, f, life) })
}

// lifeEnds counts the ends of a replica that this instance has seen before the
// list told of its next life.
type lifeEnds struct {
	count int
	last  time.Duration
}

// lifeAt names the life that a replica was in at a time: the listed one, or one
// after it that the list has not told of yet.
func (q *quarantined) lifeAt(listed string, at time.Duration) string {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.ends[listed]
	if e == nil {
		return listed
	}
	if at > e.last {
		return laterLife(listed, e.count)
	}
	return laterLife(listed, e.count-1)
}

func laterLife(listed string, after int) string {
	if after == 0 {
		return listed
	}
	return listed + "+" + strconv.Itoa(after)
}

func (q *quarantined) hasEnded(life string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.book.HasEnded(quarantine.LifeOf(life))
}

// sawEnd counts the end of a life, unless it is known.
func (q *quarantined) sawEnd(now time.Duration, listed, life string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	e := q.ends[listed]
	if e == nil {
		e = &lifeEnds{}
		q.ends[listed] = e
	}
	if laterLife(listed, e.count) == life {
		e.count++
		e.last = now
	}
}

// look asks whether a life of a replica has ended, unless that has just been asked.
func (n *Node) look(r *catalog.Replica, life string) *look {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.looks[life]
	if l != nil && n.now()-l.began < lookHolds {
		return l
	}
	l = &look{life: life, done: make(chan struct{}), began: n.now()}
	q.looks[life] = l
	go n.lookAt(*r, l)
	return l
}

// lookAt finds out whether a life has ended: the replica's port refuses, while
// one whose link is cut is silent, and one that only closed connections takes another.
func (n *Node) lookAt(r catalog.Replica, l *look) {
	defer close(l.done)
	life := l.life
	n.counters.looks.Inc(1)
	conn, err := n.clients.Dial(r.Address, lookFor)
	switch {
	case err == nil:
		conn.Close()
		n.noteQuarantine(fromEnd, func(b *quarantine.Book, _ time.Duration) []quarantine.Change {
			b.Answers(quarantine.LifeOf(life))
			return nil
		})
	case errors.Is(err, syscall.ECONNREFUSED):
		event.NodeReplicaEnded.Log(n.log, "replica", life, "service", r.Service, "sign", "its port refuses")
		n.quarantine.sawEnd(n.now(), r.ID, life)
		n.noteQuarantine(fromEnd, func(b *quarantine.Book, now time.Duration) []quarantine.Change {
			return b.Ended(now, quarantine.LifeOf(life))
		})
	}
}

// lifeOver takes in that a replica has begun another life.
func (n *Node) lifeOver(listed string) {
	life := n.quarantine.lifeAt(listed, n.now())
	n.noteQuarantine(fromEnd, func(b *quarantine.Book, now time.Duration) []quarantine.Change {
		return b.Ended(now, quarantine.LifeOf(life))
	})
}

// gone takes in that a replica is no longer listed, although nobody had heard
// that it would leave.
func (n *Node) gone(listed string) {
	life := n.quarantine.lifeAt(listed, n.now())
	n.noteQuarantine(fromEnd, func(b *quarantine.Book, now time.Duration) []quarantine.Change {
		return b.Gone(now, quarantine.LifeOf(life))
	})
}

// answeredWhole takes in that a request got a whole answer.
func (n *Node) answeredWhole(f quarantine.Fingerprint) {
	n.noteQuarantine(fromAnswer, func(b *quarantine.Book, now time.Duration) []quarantine.Change { return b.Good(now, f) })
}

// quarantineNews is what a heartbeat tells of suspects and condemned requests.
func (n *Node) quarantineNews() []*pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return casesOf(q.book.Tell(n.now()))
}

// allOfQuarantine is what an instance that has just started is told.
func (n *Node) allOfQuarantine() []*pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	return casesOf(q.book.TellAll(n.now()))
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
		n.noteQuarantine(fromPeer, func(b *quarantine.Book, now time.Duration) []quarantine.Change { return b.Merge(now, entryOf(c)) })
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
		e.Ended = append(e.Ended, quarantine.Life(life))
	}
	for _, life := range c.GetCleared() {
		e.Cleared = append(e.Cleared, quarantine.Life(life))
	}
	return e
}

// forgetQuarantine drops what is old.
func (n *Node) forgetQuarantine() {
	n.noteQuarantine(fromAge, func(b *quarantine.Book, now time.Duration) []quarantine.Change { return b.Forget(now) })
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
