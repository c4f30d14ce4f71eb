package node

import (
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/rollout"
	"quinceroad/state/catalog"
)

// move is a roll-out as requests are parted by it. It is never changed once made.
type move struct {
	order  uint64
	target string
	share  float64         // of this instance's requests, that the version gets
	newer  map[string]bool // replicas of the version
	chosen map[string]bool // those of them that get requests
	older  int             // replicas of other versions that are listed, but for those of versions that get nothing
}

// held is what this instance has under way at a replica.
type held struct {
	service string
	version string
	all     int
	bound   int // that can't go on elsewhere
}

// part puts the roll-outs into a world that is being made: what each service's
// version gets, and which replicas get nothing.
func (r *rollouts) part(now time.Duration, w *snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Empty() {
		return
	}
	w.rolloutByService = make(map[string]*move)
	clear(r.others)
	clear(r.moved)
	for _, s := range r.view.Active() {
		if s.IsFinished(now) {
			continue
		}
		m := &move{order: s.Revision, target: s.Target, share: s.Share(now, r.canary), newer: make(map[string]bool)}
		var ready []string
		for _, x := range w.replicas {
			switch {
			case x.Service != s.Service:
			case x.Version == s.Target:
				m.newer[x.ID] = true
				if x.AcceptsWork() {
					ready = append(ready, x.ID)
				}
			case !r.view.Withheld(x.Service, x.Version, false, false):
				m.older++
				r.others[s.Service] = r.others[s.Service] || x.AcceptsWork()
			}
		}
		m.chosen = s.SelectReplicas(now, r.canary, ready)
		w.rolloutByService[s.Service] = m
		r.moved[s.Service] = m.share >= 1
	}
	for i := range w.replicas {
		x := &w.replicas[i]
		x.HeldByRollout = r.view.Withheld(x.Service, x.Version, r.others[x.Service], r.moved[x.Service]) || r.poolHeld(w, x)
	}
}

// poolHeld reports whether a pool's scheduler is to pass over a new replica for now.
func (r *rollouts) poolHeld(w *snapshot, x *catalog.Replica) bool {
	m := w.rolloutByService[x.Service]
	if m == nil || m.older == 0 || m.share >= 1 || !m.newer[x.ID] || w.config == nil {
		return false
	}
	s := w.config.Services[x.Service]
	return s != nil && s.Pool != nil && (!m.chosen[x.ID] || !r.open[x.Service])
}

// withholds reports whether a replica gets nothing by a roll-out.
func (r *rollouts) withholds(x *catalog.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.view.Empty() && r.view.Withheld(x.Service, x.Version, r.others[x.Service], r.moved[x.Service])
}

// mayNewer reports whether so many requests on a route may go to a service's new
// version now.
func (r *rollouts) mayNewer(m *move, route string, n int) bool {
	if m == nil || len(m.chosen) == 0 {
		return false
	}
	if m.older == 0 {
		return true // there is nothing else
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Allows(m.order, route, m.share, n)
}

// maySend reports, right before the send, whether requests on a route may go to
// a replica, and counts them.
func (r *rollouts) maySend(m *move, route, replica string, n int) bool {
	if m == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	newer := m.newer[replica]
	if newer && m.older > 0 && !r.ledger.Allows(m.order, route, m.share, n) {
		return false
	}
	r.ledger.Record(m.order, route, m.share, n, newer)
	r.seen(m.order).own.Sent += n
	return true
}

// enter counts a request that is about to be sent to a replica; the function
// that it returns must be called when it has ended.
func (r *rollouts) enter(x *catalog.Replica, bound bool) (leave func()) {
	id, service, version := x.ID, x.Service, x.Version
	add := func(x int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		h := r.held[id]
		if h == nil {
			h = &held{service: service, version: version}
			r.held[id] = h
		}
		h.all += x
		if bound {
			h.bound += x
		}
		if h.all == 0 {
			delete(r.held, id)
		}
	}
	add(1)
	return func() { add(-1) }
}

// report returns what this life has to tell of an order. It needs mu.
func (r *rollouts) report(s *rollout.OrderState) rollout.Report {
	o := r.seen(s.Revision)
	o.own.Sequence++
	rep := o.own
	rep.FullyShifted = r.moved[s.Service]
	for _, h := range r.held {
		if h.service == s.Service && h.version != s.Target {
			rep.InFlight += h.all
			rep.Pinned += h.bound
		}
	}
	rep.Rows = maps.Clone(o.own.Rows)
	for k, t := range rep.Rows {
		c := *t
		rep.Rows[k] = &c
	}
	return rep
}

// sides parts replicas of the request's service in a roll-out: the new ones that
// it may go to, and the old ones.
func (s *requestHandler) sides(w *snapshot, all []catalog.Replica) (newer, older []catalog.Replica) {
	m := w.rolloutByService[s.service.Name]
	if m == nil {
		return nil, all
	}
	may := s.mayNewer(w)
	for _, r := range all {
		switch {
		case !m.newer[r.ID]:
			older = append(older, r)
		case may && m.chosen[r.ID]:
			newer = append(newer, r)
		}
	}
	return newer, older
}

// mayNewer reports whether the request may go to its service's new version. One
// that comes again goes to an old replica, where there is one.
func (s *requestHandler) mayNewer(w *snapshot) bool {
	m := w.rolloutByService[s.service.Name]
	if m == nil {
		return false
	}
	if m.share < 1 && m.older > 0 && len(s.tried)+len(s.avoid) > 0 {
		return false
	}
	return s.node.rollouts.mayNewer(m, s.route.Name, 1)
}

// aside returns the engines of a service that a request is kept from by a roll-out.
func (w *snapshot) aside(service string, newer bool) []string {
	m := w.rolloutByService[service]
	if m == nil || m.older == 0 {
		return nil
	}
	if !newer {
		return slices.Collect(maps.Keys(m.newer))
	}
	var out []string
	for _, r := range w.eligibleByService[service] {
		if !m.chosen[r.ID] {
			out = append(out, r.ID)
		}
	}
	return out
}
