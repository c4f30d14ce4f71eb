// Package slotlease obtains and issues leases on the slots of brittle replicas, which fall
// over when they have to refuse too many requests. All instances that send to such a replica
// ask the same one, its grantor, for a lease before each request, so that all together send
// no more than it has slots for (see package advisory for the decisions).
//
// A lease is a stream to the grantor: the sender writes how the request has ended, and then
// closes it. Where no slot is free, the sender waits for one if it is to be free soon, and is
// denied one at once otherwise. A sender that doesn't reach the grantor asks its deputy, which
// forwards the request.
//
// Leases are soft state. Two grantors for a moment cost some refusals.
package slotlease

import (
	"context"
	"errors"
	"maps"
	"net"
	"sync"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/frame"
)

// advanceInterval is the interval at which it is looked for slots that became free by the
// passage of time.
const advanceInterval = 20 * time.Millisecond

// Errors of Acquire.
var (
	ErrNoGrantor = errors.New("no such grantor of the replica's slots")      // none of that rank is alive
	ErrElsewhere = errors.New("another instance leases the replica's slots") // as the one that was asked sees it
	ErrSlow      = errors.New("the grantor of the replica's slots is slow")  // it has answered lately, but not this time
)

// Peers opens streams to other instances.
type Peers interface {
	Open(address string, k frame.Kind, first proto.Message) (net.Conn, error)
}

// Options are what a Service uses of its instance.
type Options struct {
	Name  string // of this instance
	Now   func() time.Duration
	Peers Peers
	// Grantors returns the grantor of a replica and its deputies, as this instance sees it;
	// none if the replica is not listed.
	Grantors func(incarnation string) []gossip.Instance
	// LiveCount returns the number of instances that are considered alive.
	LiveCount func() int
	Log       hclog.Logger
	Registry  metrics.Registry
}

// Service obtains leases for this instance and issues those of the replicas of which it is
// the grantor.
type Service struct {
	opts Options

	mu      sync.Mutex // guards the fields below; no other lock is acquired under it
	leases  *advisory.SlotLeases
	waiting map[advisory.LeaseID]chan struct{} // closed when the lease is granted
	peak    livePeak

	answeredAt map[string]time.Duration // by instance: when it last answered a request for a lease

	granted, denied, forwarded metrics.Counter
}

// New returns a service without leases.
func New(o Options) *Service {
	counter := func(name string) metrics.Counter {
		return metrics.NewRegisteredCounter("node.slots."+name, o.Registry)
	}
	return &Service{
		opts:    o,
		leases:  advisory.NewSlotLeases(advisory.DefaultSlotLeaseOptions()),
		waiting: make(map[advisory.LeaseID]chan struct{}),

		answeredAt: make(map[string]time.Duration),

		granted:   counter("issued"),    // leases that this instance issued as grantor
		denied:    counter("denied"),    // those asked for while no slot was free
		forwarded: counter("forwarded"), // those that it asked the grantor for in place of a peer
	}
}

// Lease is the right to send one request to a replica.
type Lease struct{ end func(advisory.LeaseEnd) }

// End gives the lease back. Only the first call counts; a nil lease may be ended, too.
func (l *Lease) End(how advisory.LeaseEnd) {
	if l != nil {
		l.end(how)
	}
}

func newLease(end func(advisory.LeaseEnd)) *Lease {
	var once sync.Once
	return &Lease{end: func(how advisory.LeaseEnd) { once.Do(func() { end(how) }) }}
}

// Acquire asks a replica's grantor of the given rank for a lease, and waits for a slot for as
// long as ask allows. If there is none it returns no lease, and the time after which to ask
// again.
func (s *Service) Acquire(ctx context.Context, ask advisory.SlotAsk, rank int) (lease *Lease, wait time.Duration, err error) {
	grantors := s.opts.Grantors(ask.Incarnation)
	if rank >= len(grantors) {
		return nil, 0, ErrNoGrantor
	}
	grantor := &grantors[rank]
	if grantor.Name != s.opts.Name {
		timeout := askTimeout
		if rank > 0 {
			timeout = deputyTimeout
		}
		return s.acquireRemote(ctx, grantor, encodeAsk(ask, false), timeout, func() {})
	}
	if rank > 0 { // the grantor didn't answer this instance, which is its own deputy
		return nil, 0, ErrElsewhere
	}
	lease, wait = s.issue(ctx, ask, func() {})
	return lease, wait, nil
}

// Held returns the number of leases that this instance has issued, by incarnation.
func (s *Service) Held() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leases.Held()
}

// Sweep forgets the replicas of which this instance is not the grantor any more, or whose
// slots nobody asks for, and notes how many instances are alive.
func (s *Service) Sweep() {
	now, live := s.opts.Now(), s.opts.LiveCount()
	isGrantor := make(map[string]bool)
	for incarnation := range s.Held() {
		grantors := s.opts.Grantors(incarnation)
		isGrantor[incarnation] = len(grantors) > 0 && grantors[0].Name == s.opts.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peak.observe(now, live)
	maps.DeleteFunc(s.answeredAt, func(_ string, at time.Duration) bool { return now-at >= slowGrace })
	s.leases.Expire(now, func(incarnation string) bool { return isGrantor[incarnation] })
}

// issue issues a lease on a slot of a replica, or returns after which time to ask again. It
// calls queued before it waits for a slot.
func (s *Service) issue(ctx context.Context, ask advisory.SlotAsk, queued func()) (lease *Lease, wait time.Duration) {
	reply, granted := s.ask(ask)
	switch {
	case reply.Granted:
		return s.issued(ask.Incarnation, reply.ID), 0
	case !reply.Queued:
		s.denied.Inc(1)
		return nil, reply.Wait
	}
	queued()
	if s.awaitSlot(ctx, ask, granted) || s.takeBack(ask.Incarnation, reply.ID) {
		return s.issued(ask.Incarnation, reply.ID), 0
	}
	s.denied.Inc(1)
	return nil, 0
}

// ask asks the table for a lease. The channel is closed once one that is queued is granted.
func (s *Service) ask(ask advisory.SlotAsk) (advisory.SlotReply, <-chan struct{}) {
	now, live := s.opts.Now(), s.opts.LiveCount()
	s.mu.Lock()
	defer s.mu.Unlock()
	ask.Share = s.peak.observe(now, live)
	s.advance(now, ask.Incarnation)
	reply := s.leases.Ask(now, ask)
	if !reply.Queued {
		return reply, nil
	}
	granted := make(chan struct{})
	s.waiting[reply.ID] = granted
	return reply, granted
}

// advance tells those that wait for slots of a replica that they have one. The caller must
// hold the lock.
func (s *Service) advance(now time.Duration, incarnation string) {
	for _, id := range s.leases.Advance(now, incarnation) {
		if granted := s.waiting[id]; granted != nil {
			close(granted)
			delete(s.waiting, id)
		}
	}
}

// awaitSlot waits until a queued request is granted, and reports whether it was.
func (s *Service) awaitSlot(ctx context.Context, ask advisory.SlotAsk, granted <-chan struct{}) bool {
	timeout := time.NewTimer(ask.MaxWait)
	defer timeout.Stop()
	tick := time.NewTicker(advanceInterval)
	defer tick.Stop()
	for {
		select {
		case <-granted:
			return true
		case <-tick.C: // slots also become free as leases expire and pauses end
			s.mu.Lock()
			s.advance(s.opts.Now(), ask.Incarnation)
			s.mu.Unlock()
		case <-timeout.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// takeBack takes a queued request back, and reports whether it has been granted meanwhile.
func (s *Service) takeBack(incarnation string, id advisory.LeaseID) (isGranted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[id] == nil {
		return true
	}
	delete(s.waiting, id)
	s.leases.Release(s.opts.Now(), incarnation, id, advisory.LeaseUnused)
	return false
}

// issued returns the lease that this instance has issued.
func (s *Service) issued(incarnation string, id advisory.LeaseID) *Lease {
	s.granted.Inc(1)
	return newLease(func(how advisory.LeaseEnd) {
		now := s.opts.Now()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.leases.Release(now, incarnation, id, how)
		s.advance(now, incarnation)
	})
}
