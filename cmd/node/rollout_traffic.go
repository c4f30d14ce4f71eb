package node

import (
	"maps"
	"slices"
	"time"

	"quinceroad/coordination/history"
	"quinceroad/coordination/listing"
	"quinceroad/coordination/rollout"
	"quinceroad/state/catalog"
)

// trafficShift is the state of a rollout that a snapshot applies to requests. It is
// immutable.
type trafficShift struct {
	order          history.Point
	target         string
	share          float64         // share of this instance's requests that goes to the target version
	targetReplicas map[string]bool // replicas of the target version
	selected       map[string]bool // target replicas that get requests
	otherCount     int             // number of listed replicas of other versions, except versions that get no requests
}

// replicaInFlight counts the requests of this instance in flight at a replica.
type replicaInFlight struct {
	service string
	version string
	total   int
	pinned  int // requests that can't fail over to another replica
}

// apply returns the traffic share of each service's target version for the next snapshot,
// and updates in the index which replicas get no work. With any rollout this takes time
// linear in the number of replicas.
func (r *rollouts) apply(now time.Duration, config *catalog.Configuration, index *listing.Index) map[string]*trafficShift {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Empty() && !r.withholds {
		return nil
	}
	r.withholds = false
	shifts := make(map[string]*trafficShift)
	clear(r.othersReady)
	clear(r.fullyShifted)
	for _, s := range r.view.Active() {
		if s.IsFinished(now) {
			continue
		}
		shifts[s.Service] = r.shiftOf(now, &s, index.List())
		r.fullyShifted[s.Service] = shifts[s.Service].share >= 1
	}
	var changed []listing.Change
	for e := range index.List().All() {
		x := e.Replica
		x.HeldByRollout = r.view.Withheld(x.Service, x.Version, r.othersReady[x.Service], r.fullyShifted[x.Service]) || r.isWithheldFromPool(config, shifts[x.Service], &x)
		r.withholds = r.withholds || x.HeldByRollout
		if x.HeldByRollout != e.HeldByRollout {
			changed = append(changed, listing.Change{Incarnation: x.ID, Replica: &x})
		}
	}
	if len(changed) > 0 {
		index.Apply(changed)
	}
	return shifts
}

// shiftOf returns the traffic share of an order's target version, and records whether
// replicas of other versions accept work. The caller holds mu.
func (r *rollouts) shiftOf(now time.Duration, s *rollout.OrderState, list *listing.List) *trafficShift {
	shift := &trafficShift{order: s.At, target: s.Target, share: s.Share(now, r.canaryShare), targetReplicas: make(map[string]bool)}
	var ready []string
	for e := range list.OfService(s.Service) {
		x := e.Replica
		x.HeldByRollout = false
		switch {
		case x.Version == s.Target:
			shift.targetReplicas[x.ID] = true
			if x.AcceptsWork() {
				ready = append(ready, x.ID)
			}
		case !r.view.Withheld(x.Service, x.Version, false, false):
			shift.otherCount++
			r.othersReady[s.Service] = r.othersReady[s.Service] || x.AcceptsWork()
		}
	}
	shift.selected = s.SelectReplicas(now, r.canaryShare, ready)
	return shift
}

// isWithheldFromPool reports whether a pool's scheduler must not use a target replica for now.
func (r *rollouts) isWithheldFromPool(config *catalog.Configuration, shift *trafficShift, x *catalog.Replica) bool {
	if shift == nil || shift.otherCount == 0 || shift.share >= 1 || !shift.targetReplicas[x.ID] || config == nil {
		return false
	}
	s := config.Services[x.Service]
	return s != nil && s.Pool != nil && (!shift.selected[x.ID] || r.batchAllowed[x.Service] != shift.order)
}

// withholdsWork reports whether a rollout withholds all work from a replica.
func (r *rollouts) withholdsWork(x *catalog.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.view.Empty() && r.view.Withheld(x.Service, x.Version, r.othersReady[x.Service], r.fullyShifted[x.Service])
}

// allowsTarget reports whether count requests on a route may go to a service's
// target version now.
func (r *rollouts) allowsTarget(shift *trafficShift, route string, count int) bool {
	if shift == nil || len(shift.selected) == 0 {
		return false
	}
	if shift.otherCount == 0 {
		return true // no replicas of other versions exist
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.splitter.Allows(shift.order, route, shift.share, count)
}

// tryRecordSend reports whether requests on a route may go to a replica, and counts
// them if so. It is called right before they are sent.
func (r *rollouts) tryRecordSend(shift *trafficShift, route, replica string, count int) bool {
	if shift == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	toTarget := shift.targetReplicas[replica]
	if toTarget && shift.otherCount > 0 && !r.splitter.Allows(shift.order, route, shift.share, count) {
		return false
	}
	r.splitter.Record(shift.order, route, shift.share, count, toTarget)
	r.progress(shift.order).ownReport.Sent += count
	return true
}

// startRequest counts a request that is about to be sent to a replica. The caller
// must call finish when the request has ended.
func (r *rollouts) startRequest(x *catalog.Replica, pinned bool) (finish func()) {
	id, service, version := x.ID, x.Service, x.Version
	add := func(delta int) {
		r.mu.Lock()
		defer r.mu.Unlock()
		h := r.inFlight[id]
		if h == nil {
			h = &replicaInFlight{service: service, version: version}
			r.inFlight[id] = h
		}
		h.total += delta
		if pinned {
			h.pinned += delta
		}
		if h.total == 0 {
			delete(r.inFlight, id)
		}
	}
	add(1)
	return func() { add(-1) }
}

// buildReport returns this incarnation's next report on an order. The caller holds mu.
func (r *rollouts) buildReport(s *rollout.OrderState) rollout.Report {
	o := r.progress(s.At)
	o.ownReport.Sequence++
	rep := o.ownReport
	rep.FullyShifted = r.fullyShifted[s.Service]
	for _, h := range r.inFlight {
		if h.service == s.Service && h.version != s.Target {
			rep.InFlight += h.total
			rep.Pinned += h.pinned
		}
	}
	rep.Rows = maps.Clone(o.ownReport.Rows)
	for k, t := range rep.Rows {
		c := *t
		rep.Rows[k] = &c
	}
	return rep
}

// splitByTarget splits replicas of the request's service by its rollout: those of the
// target version that the request may go to, and those of other versions.
func (s *requestHandler) splitByTarget(snap *snapshot, replicas []catalog.Replica) (target, others []catalog.Replica) {
	shift := snap.rolloutByService[s.service.Name]
	if shift == nil {
		return nil, replicas
	}
	allowed := s.allowsTarget(snap)
	for _, r := range replicas {
		switch {
		case !shift.targetReplicas[r.ID]:
			others = append(others, r)
		case allowed && shift.selected[r.ID]:
			target = append(target, r)
		}
	}
	return target, others
}

// allowsTarget reports whether the request may go to its service's target version.
// Until all requests go there, a retry goes to a replica of another version if there is
// one.
func (s *requestHandler) allowsTarget(snap *snapshot) bool {
	shift := snap.rolloutByService[s.service.Name]
	if shift == nil {
		return false
	}
	if shift.share < 1 && shift.otherCount > 0 && len(s.tried)+len(s.avoid) > 0 {
		return false
	}
	return s.node.rollouts.allowsTarget(shift, s.route.Name, 1)
}

// excludedByRollout returns the engines of a service that a rollout excludes for a request.
func (snap *snapshot) excludedByRollout(service string, allowTarget bool) []string {
	shift := snap.rolloutByService[service]
	if shift == nil || shift.otherCount == 0 {
		return nil
	}
	if !allowTarget {
		return slices.Collect(maps.Keys(shift.targetReplicas))
	}
	var out []string
	for _, r := range snap.eligible(service) {
		if !shift.selected[r.ID] {
			out = append(out, r.ID)
		}
	}
	return out
}
