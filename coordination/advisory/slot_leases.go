package advisory

import (
	"math"
	"slices"
	"time"
)

// SlotLeaseOptions are the settings of SlotLeases.
type SlotLeaseOptions struct {
	// TakeoverTime is the time over which a grantor frees slots that are new to it: it doesn't
	// know the leases of its predecessor, nor the requests that were sent without one.
	TakeoverTime time.Duration
	// AbandonedHold is the longest time for which a replica is assumed to work on a request
	// whose end its sender has not seen; AbandonedHoldFactor bounds it by a multiple of the
	// mean time that a request takes.
	AbandonedHold       time.Duration
	AbandonedHoldFactor time.Duration
	MaxDenial           time.Duration // longest time until a denied sender may ask again, apart from pauses after refusals
	IdleRetention       time.Duration // how long a replica is kept after its last request for a lease
	Brittle             BrittleOptions
}

// DefaultSlotLeaseOptions returns the options used in production.
func DefaultSlotLeaseOptions() SlotLeaseOptions {
	return SlotLeaseOptions{
		TakeoverTime:        time.Second,
		AbandonedHold:       time.Second,
		AbandonedHoldFactor: 4,
		MaxDenial:           time.Second,
		IdleRetention:       time.Minute,
		Brittle:             DefaultBrittleOptions(),
	}
}

// SlotLeases issues leases on the slots of brittle replicas. All senders of a replica ask
// the same instance, its grantor, for a lease before each request, so that a request is sent
// only when a slot is free for it. It is not safe for concurrent use.
type SlotLeases struct {
	opts     SlotLeaseOptions
	replicas map[string]*leasedReplica // by incarnation
	lastID   LeaseID
	visited  int // leases that were checked for their expiry, for tests of its growth
}

// LeaseID identifies a lease at its grantor.
type LeaseID uint64

// leasedReplica is a replica whose slots are leased.
type leasedReplica struct {
	window      *brittleWindow
	leases      map[LeaseID]slotLease
	queue       []queuedAsk   // those that wait for a slot, the first one first
	taken       int           // slots that others may have used at takenAt
	takenAt     time.Duration // when this instance became the grantor, or that of more slots
	nextExpiry  time.Duration // no lease expires before
	nextAsk     time.Duration // when the sender that was denied last may ask again
	lastAskedAt time.Duration
}

type slotLease struct{ grantedAt, expiresAt time.Duration }

type queuedAsk struct {
	id   LeaseID
	hold time.Duration
}

// SlotAsk is a sender's request for a lease, with what it knows of the replica.
type SlotAsk struct {
	Incarnation string
	Tolerated   float64       // refusals per second that the replica survives
	Slots       int           // requests that the replica runs at a time
	Hold        time.Duration // longest time for which the sender needs the slot
	MaxWait     time.Duration // for which the sender would wait for a slot

	// Share is the fraction of the slots that this grantor may lease, one slot at least. It
	// keeps the two sides of a partition from leasing all slots twice.
	Share float64
}

// SlotReply is the answer to a SlotAsk. One that is neither granted nor queued is denied.
type SlotReply struct {
	ID      LeaseID       // if it is granted or queued
	Granted bool          // the slot may be used
	Queued  bool          // it will be granted once there is a slot, unless it is released before
	Wait    time.Duration // if it is denied: until the sender may ask again
}

// maxLeasedSlots bounds the leases of one replica.
const maxLeasedSlots = 4096

// leasable returns how many slots of the replica the grantor may lease.
func (a *SlotAsk) leasable() int {
	share := a.Share
	if !(share >= 0 && share <= 1) { // also if it is not a number
		share = 1
	}
	slots := min(a.Slots, maxLeasedSlots)
	return max(int(math.Round(float64(slots)*share)), 1)
}

// LeaseEnd is how a request that had a lease has ended.
type LeaseEnd int

// The possible ends.
const (
	LeaseCompleted LeaseEnd = iota // the whole answer has arrived
	LeaseRefused                   // the replica refused the request for want of room
	LeaseAbandoned                 // the replica may still work on the request
	LeaseUnused                    // nothing was sent
)

// NewSlotLeases returns an empty table.
func NewSlotLeases(o SlotLeaseOptions) *SlotLeases {
	return &SlotLeases{opts: o, replicas: make(map[string]*leasedReplica)}
}

// Ask answers a sender's request for a lease.
func (l *SlotLeases) Ask(now time.Duration, ask SlotAsk) SlotReply {
	r := l.replica(now, ask)
	l.visited += r.expire(now)
	free, from := l.admits(now, r)
	if free && len(r.queue) == 0 {
		l.lastID++
		r.grant(now, queuedAsk{id: l.lastID, hold: ask.Hold})
		return SlotReply{ID: l.lastID, Granted: true}
	}
	wait := max(from-now, 0) + time.Duration(len(r.queue)+1)*r.slotInterval()
	if wait > ask.MaxWait {
		return SlotReply{Wait: max(wait-ask.MaxWait, r.reserveAsk(now, l.opts.MaxDenial))}
	}
	l.lastID++
	r.queue = append(r.queue, queuedAsk{id: l.lastID, hold: ask.Hold})
	return SlotReply{ID: l.lastID, Queued: true}
}

// Advance grants leases to those that wait for slots of a replica, as far as there are slots,
// and returns the IDs.
func (l *SlotLeases) Advance(now time.Duration, incarnation string) []LeaseID {
	r := l.replicas[incarnation]
	if r == nil || len(r.queue) == 0 {
		return nil
	}
	l.visited += r.expire(now)
	var granted []LeaseID
	for len(r.queue) > 0 {
		if free, _ := l.admits(now, r); !free {
			break
		}
		first := r.queue[0]
		r.queue = r.queue[1:]
		r.grant(now, first)
		granted = append(granted, first.id)
	}
	return granted
}

// admits reports whether a replica has a free slot, and if not, from when on it may have one.
func (l *SlotLeases) admits(now time.Duration, r *leasedReplica) (ok bool, from time.Duration) {
	r.window.inFlight = len(r.leases) + r.unaccounted(now, l.opts.TakeoverTime)
	return r.window.admits(now)
}

func (r *leasedReplica) grant(now time.Duration, ask queuedAsk) {
	expiresAt := now + max(ask.hold, 0)
	if len(r.leases) == 0 {
		r.nextExpiry = expiresAt
	}
	r.nextExpiry = min(r.nextExpiry, expiresAt)
	r.leases[ask.id] = slotLease{grantedAt: now, expiresAt: expiresAt}
}

// slotInterval returns the mean time between two slots that become free.
func (r *leasedReplica) slotInterval() time.Duration {
	return r.window.expectedHold() / time.Duration(r.window.size)
}

// replica returns the entry for the replica of a request, updated with what the sender knows.
func (l *SlotLeases) replica(now time.Duration, ask SlotAsk) *leasedReplica {
	slots := ask.leasable()
	r := l.replicas[ask.Incarnation]
	if r == nil {
		service := &brittleService{opts: &l.opts.Brittle, senders: 1, slots: slots}
		r = &leasedReplica{window: newBrittleWindow(now, service), leases: make(map[LeaseID]slotLease), taken: slots, takenAt: now}
		l.replicas[ask.Incarnation] = r
	}
	if added := slots - r.window.slots; added > 0 {
		r.taken, r.takenAt = r.unaccounted(now, l.opts.TakeoverTime)+added, now
	}
	r.window.resize(slots)
	r.window.tolerated = ask.Tolerated
	r.lastAskedAt = now
	return r
}

// unaccounted returns how many slots may still be in use by requests without a lease of this
// grantor.
func (r *leasedReplica) unaccounted(now, takeoverTime time.Duration) int {
	left := r.takenAt + takeoverTime - now
	if left <= 0 {
		return 0
	}
	return int(float64(r.taken) * left.Seconds() / takeoverTime.Seconds())
}

// expire removes the leases that have expired. It visits the leases only when one may have
// expired since the last time, and returns how many.
func (r *leasedReplica) expire(now time.Duration) (visited int) {
	if len(r.leases) == 0 || now < r.nextExpiry {
		return 0
	}
	visited = len(r.leases)
	r.nextExpiry = Never
	for id, lease := range r.leases {
		if now >= lease.expiresAt {
			delete(r.leases, id)
			continue
		}
		r.nextExpiry = min(r.nextExpiry, lease.expiresAt)
	}
	return visited
}

// reserveAsk returns after how long a denied sender may ask again. Denied senders come back
// one after the other, as slots become free.
func (r *leasedReplica) reserveAsk(now, maxDenial time.Duration) time.Duration {
	r.nextAsk = max(r.nextAsk, now) + r.slotInterval()
	r.nextAsk = min(r.nextAsk, now+maxDenial)
	return r.nextAsk - now
}

// Release ends a lease, or takes back a request that waits for one.
func (l *SlotLeases) Release(now time.Duration, incarnation string, id LeaseID, end LeaseEnd) {
	r := l.replicas[incarnation]
	if r == nil {
		return
	}
	lease, ok := r.leases[id]
	if !ok {
		r.queue = slices.DeleteFunc(r.queue, func(q queuedAsk) bool { return q.id == id })
		return
	}
	r.window.inFlight = len(r.leases)
	switch end {
	case LeaseAbandoned:
		lease.expiresAt = min(lease.expiresAt, now+l.abandonedHold(r))
		r.leases[id] = lease
		r.nextExpiry = min(r.nextExpiry, lease.expiresAt)
		return
	case LeaseRefused:
		r.window.recordRefusal(now)
	case LeaseCompleted:
		r.window.recordAnswer(now)
		r.window.recordHold(now - lease.grantedAt)
	}
	delete(r.leases, id)
}

// abandonedHold returns how long a slot counts as used by an abandoned request.
func (l *SlotLeases) abandonedHold(r *leasedReplica) time.Duration {
	if r.window.holdTime == 0 {
		return l.opts.AbandonedHold
	}
	return min(l.opts.AbandonedHold, l.opts.AbandonedHoldFactor*r.window.holdTime)
}

// Held returns the number of leases in force by incarnation.
func (l *SlotLeases) Held() map[string]int {
	out := make(map[string]int, len(l.replicas))
	for incarnation, r := range l.replicas {
		out[incarnation] = len(r.leases)
	}
	return out
}

// Expire removes replicas that nobody has asked for lately, and those for which this
// instance is not the grantor any more. Who waits for a slot there gets none.
func (l *SlotLeases) Expire(now time.Duration, isGrantor func(incarnation string) bool) {
	for incarnation, r := range l.replicas {
		if now-r.lastAskedAt > l.opts.IdleRetention || !isGrantor(incarnation) {
			delete(l.replicas, incarnation)
		}
	}
}
