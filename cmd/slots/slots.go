// Package slots runs one scheduler (package scheduler) per service for concurrent use. A
// slot is the capacity of a replica for one concurrent request. In a coord the schedulers
// assign the slots of the services that this coord owns; in an entry they are the
// fallback for services whose owner can't be reached.
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

const tickInterval = 20 * time.Millisecond // between the schedulers' time-based decisions

// Deliver passes an action to its holder. It is called without locks held.
type Deliver func(service string, a scheduler.Action)

// Host runs one scheduler per service. It is safe for concurrent use.
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

// New returns a host without services. policy returns the scheduling policy that this
// process uses under a configuration.
func New(policy func(*fleet.Fleet) scheduler.Policy, d Deliver) *Host {
	return &Host{
		start:    time.Now(),
		policy:   policy,
		deliver:  d,
		services: table.New[string, *service](table.RankScheduler),
		quit:     make(chan struct{}),
	}
}

// Start starts the schedulers' ticks.
func (h *Host) Start() { go h.tickLoop() }

// Stop stops the schedulers' ticks.
func (h *Host) Stop() { close(h.quit) }

// Now returns the time on the host's clock, which the deadlines of tasks refer to.
func (h *Host) Now() time.Duration { return time.Since(h.start) }

// Configure applies the configuration, the replicas, and the share of their slots that
// this process may use. A service whose policy changes gets a new scheduler.
func (h *Host) Configure(f *fleet.Fleet, all []replicas.Replica, share float64) {
	policy := h.policy(f)
	for _, s := range f.Services {
		slots := make(map[string]int)
		for _, r := range all {
			if r.Service == s.Name && !r.Leaving {
				slots[r.ID] = s.Slots
			}
		}
		create := func() *service { return newService(policy, f.ShedSlackFactor) }
		svc := h.services.GetOrPut(s.Name, create)
		if svc.policy != policy {
			svc = create()
			h.services.Put(s.Name, svc)
		}
		h.withScheduler(s.Name, func(sc *scheduler.Scheduler, now time.Duration) []scheduler.Action {
			sc.Configure(scheduler.WithShedSlackFactor(f.ShedSlackFactor), scheduler.WithShare(share))
			return sc.SetReplicas(now, slots)
		})
	}
}

func newService(p scheduler.Policy, shed float64) *service {
	opts := []scheduler.Option{scheduler.WithPolicy(p), scheduler.WithShedSlackFactor(shed)}
	if p == scheduler.RoundRobin || p == scheduler.LeastInflight {
		opts = append(opts, scheduler.WithSlowRatio(0))
	}
	return &service{policy: p, sched: scheduler.New(rand.Uint64(), opts...)}
}

// Submit passes a task to the service's scheduler. It reports whether the service is
// configured here and whether the task was answered at once; otherwise it is queued.
func (h *Host) Submit(name string, a scheduler.Task) (found, answered bool) {
	found = h.withScheduler(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
		actions := s.Submit(now, a)
		for _, x := range actions {
			answered = answered || (x.Task == a.ID && x.Holder == a.Holder)
		}
		return actions
	})
	return found, answered
}

// Announce passes an announcement to the service's scheduler, which answers it at once.
// It returns false if the service isn't configured here.
func (h *Host) Announce(name string, a scheduler.Task, ready time.Duration) bool {
	return h.withScheduler(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action { return s.Announce(now, a, ready) })
}

// Release returns a permit's slot; a took of zero means that the permit was not used.
func (h *Host) Release(name string, permit uint64, took time.Duration, failed bool) {
	h.withScheduler(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
		return s.Release(now, permit, took, failed)
	})
}

// Cancel removes a task, or frees its slot if it was granted meanwhile.
func (h *Host) Cancel(name string, id uint64, holder string) {
	h.withScheduler(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
		return s.Cancel(now, id, holder)
	})
}

// DropHolder cancels all tasks and releases all permits of a holder.
func (h *Host) DropHolder(holder string) {
	for name := range h.services.Rows() {
		h.withScheduler(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action { return s.DropHolder(now, holder) })
	}
}

// Stats returns the schedulers' states by service.
func (h *Host) Stats() map[string]scheduler.Stats {
	out := make(map[string]scheduler.Stats)
	for name := range h.services.Rows() {
		h.withScheduler(name, func(s *scheduler.Scheduler, now time.Duration) []scheduler.Action {
			out[name] = s.Stats()
			return nil
		})
	}
	return out
}

// withScheduler runs f under the service's lock and delivers its actions after unlocking.
func (h *Host) withScheduler(name string, f func(*scheduler.Scheduler, time.Duration) []scheduler.Action) bool {
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

func (h *Host) tickLoop() {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-h.quit:
			return
		case <-t.C:
		}
		for name := range h.services.Rows() {
			h.withScheduler(name, tick)
		}
	}
}
