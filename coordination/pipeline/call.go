package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// call is a running call to a replica.
type call struct {
	id          uint64
	pool        *pool
	replica     *replica
	items       []*stageItem
	sentAt      time.Duration
	dueAt       time.Duration // expected end
	resultBytes int64         // result memory reserved for its items
	overdue     bool          // it has taken too long, and its items were queued again
}

// updateSendGrants updates when rate-limited replicas may get their next calls. It returns at
// once while no replica has a rate limit.
func (s *Scheduler) updateSendGrants(now time.Duration) {
	t := s.opts.SendGrants
	if t == nil || !t.HasLimits() && !s.rateLimited {
		return
	}
	s.rateLimited = t.HasLimits()
	for _, p := range s.poolsByName {
		for _, r := range p.replicasByID {
			r.sendInterval, r.nextSendAt = t.Interval(r.ID), 0
			if r.sendInterval > 0 {
				r.nextSendAt = t.NextGrant(now, r.ID)
			}
		}
	}
}

func (s *Scheduler) dispatchAll(now time.Duration) {
	s.updateSendGrants(now)
	for _, p := range s.poolsByName {
		p.updateMemory(now)
	}
	for _, p := range s.poolsByName {
		s.dispatch(now, p)
	}
}

// dispatch sends calls to idle replicas while there are waiting items that they may run. The
// last idle replica only gets urgent items or a batch that is at least LastReplicaFill full.
func (s *Scheduler) dispatch(now time.Duration, p *pool) {
	if len(p.ready) == 0 {
		return
	}
	idle := p.idleReplicas(now)
	if len(idle) == 0 {
		return
	}
	p.sortReady()
	fill := p.targetFill(now, &s.opts)
	for i, r := range idle {
		if i == len(idle)-1 {
			fill = max(fill, s.opts.LastReplicaFill*float64(p.def.MaxBatch))
		}
		if !p.shouldCall(now, fill, &s.opts) {
			return
		}
		if batch := p.pickBatch(now, r, &s.opts); len(batch) > 0 {
			s.send(now, p, r, batch)
		}
	}
}

// idleReplicas returns the replicas that may get a call, the fastest first.
func (p *pool) idleReplicas(now time.Duration) []*replica {
	var out []*replica
	for _, r := range p.replicasByID {
		if r.isIdle(now) && p.allowsWarmUpCall(now, r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.slowdown, b.slowdown), cmp.Compare(a.heldBytes, b.heldBytes), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// hallState describes a pool's capacity in one hall.
type hallState struct {
	freeAt     time.Duration // when the first replica there is free
	capacity   int           // items that the next calls there can hold
	passedOver int           // items passed over so far that wait for this hall
}

func (p *pool) hallStates(now time.Duration) map[string]*hallState {
	out := make(map[string]*hallState)
	for _, r := range p.replicasByID {
		if !r.isServing(now) {
			continue
		}
		free := r.freeAt(now)
		h := out[r.Hall]
		if h == nil {
			h = &hallState{freeAt: free}
			out[r.Hall] = h
		}
		h.freeAt = min(h.freeAt, free)
		h.capacity += p.def.MaxBatch
	}
	return out
}

// pickBatch removes the items of a replica's next call from the ready queue in order, as many
// as fit into a batch and into its result memory. Items that prefer another hall are left for
// it unless they could be late there or more of them wait than its next calls hold. Large
// results that are not needed soon wait, and so do jobs that have not started, until there is
// memory for their results.
func (p *pool) pickBatch(now time.Duration, r *replica, o *Options) []*stageItem {
	freeBytes := p.def.ResultMemory - r.usedBytes(now, p.def.ResultTTL)
	halls := p.hallStates(now)
	slack := time.Duration(o.HallSlack * float64(p.def.BatchTime))
	var batch []*stageItem
	mates := batchMates{maxSuspects: o.MaxSuspectsPerCall}
	var blocked map[*pool]bool // pools that more urgent jobs wait for
	remaining := p.ready[:0]
	for _, x := range p.ready {
		if j := x.stage.job; j.isBlocked(blocked) || !j.mayStart() {
			blocked = j.addBlockedPools(blocked)
			remaining = append(remaining, x)
			continue
		}
		if len(batch) < p.def.MaxBatch && x.stage.def.ResultBytes <= freeBytes && !x.isPremature() && x.mayRunAt(r, halls[x.preferredHall], slack) && mates.admits(x.stage.job) {
			mates.add(x.stage.job)
			x.stage.job.start(now)
			freeBytes -= x.stage.def.ResultBytes
			batch = append(batch, x)
			continue
		}
		remaining = append(remaining, x)
	}
	clear(p.ready[len(remaining):])
	p.ready = remaining
	return batch
}

// mayRunAt reports whether an item may run at a replica, given the state of its preferred
// hall. It need not wait for that hall if it would start there less than slack before its
// latest start.
func (x *stageItem) mayRunAt(r *replica, preferred *hallState, slack time.Duration) bool {
	if x.preferredHall == "" || x.preferredHall == r.Hall || preferred == nil {
		return true
	}
	preferred.passedOver++
	return preferred.passedOver > preferred.capacity || preferred.freeAt+slack > x.stage.latestStart
}

func (s *Scheduler) send(now time.Duration, p *pool, r *replica, batch []*stageItem) {
	s.lastID++
	expected := time.Duration(float64(p.expectedCallTime(batch)) * r.slowdown)
	c := &call{id: s.lastID, pool: p, replica: r, items: batch, sentAt: now, dueAt: now + expected}
	items := make([]Item, 0, len(batch))
	for _, x := range batch {
		x.state = running
		x.attempts++
		x.removeFromLoad()
		if st := x.stage; !st.started {
			st.started, st.startedAt = true, now
		}
		c.resultBytes += x.stage.def.ResultBytes
		items = append(items, x.callItem(now))
	}
	if p.warmUpRate > 0 && now < r.WarmingUntil {
		p.warmUpCalls.Record(now, r.ID)
	}
	if r.sendInterval > 0 {
		s.opts.SendGrants.Consume(now, r.ID)
		r.nextSendAt = s.opts.SendGrants.NextGrant(now, r.ID)
	}
	r.call = c
	r.heldBytes += c.resultBytes
	s.calls[c.id] = c
	timeout := time.Duration(float64(expected)*2*s.opts.OverdueFactor) + 2*s.opts.OverdueSlack
	s.emit(Call{ID: c.id, Service: p.name, Replica: r.ID, Name: r.Name, Address: r.Address, Items: items, Timeout: timeout})
}

// FinishCall records the outcome of a call and, if it was answered, the results of its items in
// their order. An answer with the wrong number of results counts as a failure of the replica.
func (s *Scheduler) FinishCall(now time.Duration, id uint64, outcome Outcome, results []Result) []Action {
	c := s.calls[id]
	if c == nil {
		return s.takeActions()
	}
	delete(s.calls, id)
	r := c.replica
	if r.call == c {
		r.call = nil
	}
	r.heldBytes -= c.resultBytes
	if r.unlisted && r.call == nil {
		delete(c.pool.replicas, r.ID)
		c.pool.sortReplicas()
	}
	if outcome == Answered && len(results) == len(c.items) {
		s.recordResults(now, c, results)
	} else {
		s.recordFailedCall(now, c, outcome)
	}
	s.dispatchAll(now)
	return s.takeActions()
}

func (s *Scheduler) recordResults(now time.Duration, c *call, results []Result) {
	failed := slices.ContainsFunc(results, func(r Result) bool { return r.Handle == "" })
	c.pool.recordCallTime(c.replica, c, now-c.sentAt, !failed)
	c.replica.lastPause = 0
	var touched []*job
	for i, x := range c.items {
		s.recordResult(now, c, x, results[i])
		if !slices.Contains(touched, x.stage.job) {
			touched = append(touched, x.stage.job)
		}
	}
	for _, j := range touched {
		if s.jobs[j.id] == j {
			s.advance(now, j)
		}
	}
}

// recordResult records the result of one item of an answered call.
func (s *Scheduler) recordResult(now time.Duration, c *call, x *stageItem, res Result) {
	j := x.stage.job
	wanted := s.jobs[j.id] == j && x.state != done && !x.stage.freed
	if held := c.replica.results[res.Handle]; held != nil && held.item != x {
		s.emit(ForeignHandle{Service: c.replica.Service, Replica: c.replica.ID, Handle: res.Handle, Request: j.RequestID, Owner: held.item.stage.job.RequestID})
		res = Result{Reason: ItemFailed}
	}
	if res.Handle != "" {
		c.replica.results[res.Handle] = &heldResult{item: x, bytes: x.stage.def.ResultBytes, expiresAt: now + c.pool.def.ResultTTL}
		c.replica.heldBytes += x.stage.def.ResultBytes
		if !wanted {
			s.freeResult(c.replica, res.Handle)
			return
		}
		if x.state == ready { // a repeated run is queued but no longer needed
			x.removeFromLoad()
			x.stage.pool.removeReady(x)
		}
		x.state, x.handle, x.producer, x.producedAt = done, res.Handle, c.replica, now
		return
	}
	if !wanted || x.state != running {
		return
	}
	switch res.Reason {
	case Expired:
		s.fail(now, j, "late", 0)
	case InputMissing:
		s.rerunWithInputs(now, x)
	case MemoryFull:
		c.replica.recordMemoryFull(now, c.pool.def.ResultTTL, x.stage.def.ResultBytes)
		x.attempts--
		s.requeue(now, x)
	default:
		s.requeue(now, x)
	}
}

// rerunWithInputs runs an item again together with the items whose results it reads.
func (s *Scheduler) rerunWithInputs(now time.Duration, x *stageItem) {
	if x.attempts >= s.opts.MaxAttempts {
		s.fail(now, x.stage.job, "inputs", s.opts.DefaultRetryAfter)
		return
	}
	x.state = blocked
	x.addToLoad()
	for _, a := range x.stage.def.After {
		st := x.stage.job.stages[a]
		for _, input := range st.items {
			if input.state == done {
				s.freeResult(input.producer, input.handle)
				input.state, input.handle = blocked, ""
				input.addToLoad()
			}
		}
	}
	x.stage.job.blockReaders()
	s.unblock(now, x.stage.job)
}

// blockReaders blocks the items that wait for a call while results that they read are made again.
func (j *job) blockReaders() {
	for _, st := range j.stages {
		if st.inputsDone() {
			continue
		}
		for _, x := range st.items {
			if x.state == ready {
				st.pool.removeReady(x)
				x.state = blocked
			}
		}
	}
}

func (s *Scheduler) requeue(now time.Duration, x *stageItem) {
	if x.attempts >= s.opts.MaxAttempts {
		s.fail(now, x.stage.job, "tries", s.opts.DefaultRetryAfter)
		return
	}
	x.addToLoad()
	if !x.stage.inputsDone() { // they are being made again
		x.state = blocked
		return
	}
	x.state = ready
	x.stage.pool.ready = append(x.stage.pool.ready, x)
}

// recordFailedCall handles the end of a call without results. Attempts in which no item ran
// don't count against MaxAttempts.
func (s *Scheduler) recordFailedCall(now time.Duration, c *call, outcome Outcome) {
	r := c.replica
	switch outcome {
	case Refused:
		r.pausedUntil = now + s.opts.RefusalPause
	case WrongReplica:
		r.draining = true
	case LinkLost: // the next call takes another path
	default:
		r.recordFailure(now, &s.opts)
	}
	if outcome == Crashed {
		for _, j := range c.jobs() {
			j.ReplicaEnds++
		}
	}
	for _, x := range c.items {
		j := x.stage.job
		if s.jobs[j.id] != j || x.state != running || c.overdue {
			continue
		}
		if outcome == Refused || outcome == WrongReplica || outcome == Unreachable || outcome == LinkLost {
			x.attempts--
		}
		s.requeue(now, x)
	}
}

// retryOverdueCalls queues the items of overdue calls again, so that other replicas run them
// concurrently (hedging).
func (s *Scheduler) retryOverdueCalls(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		limit := time.Duration(float64(c.dueAt-c.sentAt)*s.opts.OverdueFactor) + s.opts.OverdueSlack
		if c.overdue || now-c.sentAt < limit {
			continue
		}
		c.overdue = true
		c.replica.slowdown = max(c.replica.slowdown, s.opts.OverdueFactor)
		for _, x := range c.items {
			if j := x.stage.job; s.jobs[j.id] == j && x.state == running {
				s.requeue(now, x)
			}
		}
	}
}

// cancelUnwantedCalls cancels overdue calls that no job needs any more. The replica can't
// abort a running call, but the caller stops waiting for it.
func (s *Scheduler) cancelUnwantedCalls() {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		wanted := false
		for _, x := range c.items {
			j := x.stage.job
			wanted = wanted || s.jobs[j.id] == j
		}
		if !wanted && c.overdue {
			s.emit(Cancel{Call: c.id})
		}
	}
}
