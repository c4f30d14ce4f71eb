package node

import (
	"context"
	"errors"
	"strconv"
	"syscall"
	"time"

	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

const (
	lookFor   = connectFor             // that a replica's port may take to answer a look
	lookWait  = 150 * time.Millisecond // that a request waits for it before it may go on elsewhere: a port that refuses does so in a way there and back
	lookLasts = 10 * time.Millisecond  // that a connection must stay open to show that its replica runs: one that is ending may still take it, as its port closes a moment after its connections
	mostLooks = 3                      // connections of one look, of which none stayed open: the replica runs, and takes no more
	lookHolds = 300 * time.Millisecond // that a look stands for all answers that break off there: a replica that ends is not back sooner
)

// look is a question whether a replica has ended.
type look struct {
	life  string
	done  chan struct{} // closed when it is known
	began time.Duration
}

// brokeOff takes in that answers to requests broke off at a replica, to which
// they were sent so long after the process began, and has it looked at.
func (n *Node) brokeOff(r *catalog.Replica, sent time.Duration, requests ...quarantine.Fingerprint) *look {
	life := n.quarantine.lifeAt(r.ID, sent)
	n.updateQuarantine(causeReplicaEnd, func(b *quarantine.Tracker, now time.Duration) (changes []quarantine.Change) {
		for _, f := range requests {
			changes = append(changes, b.RecordBroken(now, f, quarantine.IncarnationOf(life))...)
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
	life := quarantine.IncarnationOf(n.quarantine.lifeAt(replica, sent))
	n.updateQuarantine(causeReplicaEnd, func(b *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return b.RecordBroken(now, f, life)
	})
}

// lifeEnds counts the ends of a replica that this instance has seen before the
// list told of its next life.
type lifeEnds struct {
	count int
	last  time.Duration
}

// lifeAt names the life that a replica was in at a time: the listed one, or one
// after it that the list has not told of yet.
func (q *quarantineTracker) lifeAt(listed string, at time.Duration) string {
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

func (q *quarantineTracker) hasEnded(life string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.HasEnded(quarantine.IncarnationOf(life))
}

// sawEnd counts the end of a life, unless it is known.
func (q *quarantineTracker) sawEnd(now time.Duration, listed, life string) {
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
	l := q.probes[life]
	if l != nil && n.now()-l.began < lookHolds {
		return l
	}
	l = &look{life: life, done: make(chan struct{}), began: n.now()}
	q.probes[life] = l
	go n.lookAt(*r, l)
	return l
}

// lookAt finds out whether a life has ended: the replica's port refuses, while
// one whose link is cut is silent, and one that only closed connections takes another.
func (n *Node) lookAt(r catalog.Replica, l *look) {
	defer close(l.done)
	life := l.life
	n.counters.replicaProbes.Inc(1)
	err := n.lookOnce(r.Address)
	for tries := 1; errors.Is(err, errNotLasting) && tries < mostLooks; tries++ {
		err = n.lookOnce(r.Address)
	}
	switch {
	case err == nil, errors.Is(err, errNotLasting):
		n.updateQuarantine(causeReplicaEnd, func(b *quarantine.Tracker, _ time.Duration) []quarantine.Change {
			b.RecordConnection(quarantine.IncarnationOf(life))
			return nil
		})
	case errors.Is(err, syscall.ECONNREFUSED):
		event.NodeReplicaEnded.Log(n.log, "replica", life, "service", r.Service, "sign", "its port refuses")
		n.quarantine.sawEnd(n.now(), r.ID, life)
		n.updateQuarantine(causeReplicaEnd, func(b *quarantine.Tracker, now time.Duration) []quarantine.Change {
			return b.RecordEnd(now, quarantine.IncarnationOf(life))
		})
	}
}

// errNotLasting says that a replica took a connection and ended it at once.
var errNotLasting = errors.New("the connection was ended at once")

// lookOnce opens a connection to a replica and sees whether it lasts.
func (n *Node) lookOnce(address string) error {
	conn, err := n.clients.Dial(address, lookFor)
	if err != nil {
		return err
	}
	defer conn.Close()
	if !conn.Lasts(lookLasts) {
		return errNotLasting
	}
	return nil
}

// lifeOver takes in that a replica has begun another life.
func (n *Node) lifeOver(listed string) {
	life := n.quarantine.lifeAt(listed, n.now())
	n.updateQuarantine(causeReplicaEnd, func(b *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return b.RecordEnd(now, quarantine.IncarnationOf(life))
	})
}

// gone takes in that a replica is no longer listed, although nobody had heard
// that it would leave.
func (n *Node) gone(listed string) {
	life := n.quarantine.lifeAt(listed, n.now())
	n.updateQuarantine(causeReplicaEnd, func(b *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return b.RecordRemoval(now, quarantine.IncarnationOf(life))
	})
}
