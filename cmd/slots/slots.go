// Package slots runs schedulers, one per service, for many goroutines: the
// coord's as the owner of slots, the entry's as its own fallback.
package slots

import (
	"math/rand/v2"
	"sync"
	"time"

	"quinceroad/coordination/replicas"
	"quinceroad/coordination/scheduler"
	"quinceroad/state/fleet"
	"quinceroad/state/table"
)

const tickEvery = 20 * time.Millisecond

// Deliver hands an action to the holder it is for. It is called without locks.
type Deliver func(service string, a scheduler.Action)

// Host runs the schedulers.
type Host struct {
	start    time.Time
	policy   func(*fleet.Fleet) scheduler.Policy
	deliver  Deliver
	services *table.Table[string, *service]
	quit     chan struct{}
}

type service struct {
	mu     sync.Mutex // table.RankScheduler
	sched  *scheduler.Scheduler
	policy scheduler.Policy
}

// New returns a host without services; policy tells which policy a
// configuration asks for here.
func New(policy func(*fleet.Fleet) scheduler.Policy, d Deliver) *Host {
	return &Host{
		start:    time.Now(),
		policy:   policy,
		deliver:  d,
		services: table.New[string, *service](table.RankScheduler),
		quit:     make(chan struct{}),
	}
}

// Start begins the ticks.
func (h *Host) Start() { go h.ticks() }

// Stop ends the ticks.
func (h *Host) Stop() { close(h.quit) }

// Now is the host's clock, which deadlines of asks are on.
func (h *Host) Now() time.Duration { return time.Since(h.start) }

// Configure takes in the configuration, the replicas, and the share of their
// slots that this process may fill.
func (h *Host) Configure(f *fleet.Fleet, all []replicas.Replica, share float64) {
	policy := h.policy(f)
	for _, s := range f.Services {
		slots := make(map[string]int)
		for _, r := range all {
			if r.Service == s.Name && !r.Leaving {
				slots[r.ID] = s.Slots
			}
		}
		fresh := func() *service { return newService(policy, f.ShedSlackFactor) }
		svc := h.services.GetOrPut(s.Name, fresh)
		if svc.policy != policy {
			svc = fresh()
			h.services.Put(s.Name, svc)
		}
		h.with(s.Name, func(sc *scheduler.Scheduler, now time.Duration) []scheduler.Action {
			sc.Configure(scheduler.Shed(f.ShedSlackFactor), scheduler.Share(share))
			return sc.SetReplicas(now, slots)
		})
	}
}

func newService(p scheduler.Policy, shed float64) *service {
	opts := []scheduler.Option{scheduler.WithPolicy(p), scheduler.Shed(shed)}
	if p == scheduler.RoundRobin || p == scheduler.LeastInflight {
		opts = append(opts, scheduler.SlowRatio(0))
	}
	return &service{policy: p, sched: scheduler.New(rand.Uint64(), opts...)}
}

// Ask passes an ask on. It tells whether the service is known here, and
// whether the ask has its answer already; else it waits in the queue.
func (h *Host) Submit(name string, a scheduler.Task) (known, answered bool) {
	known = h.with(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
		actions := s.Submit(now, a)
		for _, x := range actions {
			answered = answered || (x.Task == a.ID && x.Holder == a.Holder)
		}
		return actions
	})
	return known, answered
}

// Announce passes an announcement on; its answer comes at once. False when the
// service is not known here.
func (h *Host) Announce(name string, a scheduler.Task, ready time.Duration) bool {
	return h.with(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action { return s.Announce(now, a, ready) })
}

// Done returns a permit's slot; took of zero means that it was not used.
func (h *Host) Release(name string, permit uint64, took time.Duration, failed bool) {
	h.with(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
		return s.Release(now, permit, took, failed)
	})
}

// Cancel drops an ask, or frees its slot if it was granted meanwhile.
func (h *Host) Cancel(name string, id uint64, holder string) {
	h.with(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
		return s.Cancel(now, id, holder)
	})
}

// DropHolder ends everything a holder has.
func (h *Host) DropHolder(holder string) {
	for name := range h.services.Rows() {
		h.with(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action { return s.DropHolder(now, holder) })
	}
}

// Stats returns every scheduler's state.
func (h *Host) Stats() map[string]scheduler.Stats {
	out := make(map[string]scheduler.Stats)
	for name := range h.services.Rows() {
		h.with(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
			out[name] = s.Stats()
			return nil
		})
	}
	return out
}

// with runs f under the service's lock and delivers its actions after it.
func (h *Host) with(name string, f func(*scheduler.Scheduler, time.Duration) []scheduler.Action) bool {
	svc, ok := h.services.Get(name)
	if !ok {
		return false
	}
	svc.mu.Lock()
	actions := f(svc.sched, h.Now())
	svc.mu.Unlock()
	for _, a := range actions {
		h.deliver(name, a)
	}
	return true
}

func tick(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
	if s.Idle() {
		return nil
	}
	return s.Tick(now)
}

func (h *Host) ticks() {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	for {
		select {
		case <-h.quit:
			return
		case <-t.C:
		}
		for name := range h.services.Rows() {
			h.with(name, tick)
		}
	}
}
