package pipeline

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// call is one call to a replica under way.
type call struct {
	id      uint64
	pool    *pool
	replica *replica
	pieces  []*piece
	sent    time.Duration
	due     time.Duration // when it should be done
	bytes   int64         // of room that its results take
	overdue bool
}

// knowTurns takes in when replicas may get their next calls by what they state that
// they take. What has stated nothing for long costs nothing.
func (s *Scheduler) knowTurns(now time.Duration) {
	t := s.opts.Turns
	if t == nil || !t.Any() && !s.paced {
		return
	}
	s.paced = t.Any()
	for _, p := range s.order {
		for _, r := range p.order {
			r.turnGap, r.turnFrom = t.Gap(r.ID), 0
			if r.turnGap > 0 {
				r.turnFrom = t.Free(now, r.ID)
			}
		}
	}
}

func (s *Scheduler) dispatchAll(now time.Duration) {
	s.knowTurns(now)
	for _, p := range s.order {
		p.knowRoom(now)
	}
	for _, p := range s.order {
		s.dispatch(now, p)
	}
}

// dispatch gives each idle replica a call while pieces wait that it may take,
// and the last one only what is urgent or fills half a call.
func (s *Scheduler) dispatch(now time.Duration, p *pool) {
	if len(p.ready) == 0 {
		return
	}
	idle := p.idle(now)
	if len(idle) == 0 {
		return
	}
	p.sort()
	fill := p.fill(now, &s.opts)
	for i, r := range idle {
		if i == len(idle)-1 {
			fill = max(fill, s.opts.LastFill*float64(p.def.Batch))
		}
		if !p.mayCall(now, fill, &s.opts) {
			return
		}
		if batch := p.pickBatch(now, r, &s.opts); len(batch) > 0 {
			s.send(now, p, r, batch)
		}
	}
}

// idle returns the replicas that may get a call, the fastest first.
func (p *pool) idle(now time.Duration) []*replica {
	var out []*replica
	for _, r := range p.order {
		if r.usable(now) && p.warm(now, r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *replica) int {
		return cmp.Or(cmp.Compare(a.speed, b.speed), cmp.Compare(a.held, b.held), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// hallState is what a pool has in one hall.
type hallState struct {
	free  time.Duration // when a replica there is next free
	holds int           // pieces that the next calls there can hold
	seen  int           // pieces passed over so far that wait for it
}

func (p *pool) halls(now time.Duration) map[string]*hallState {
	out := make(map[string]*hallState)
	for _, r := range p.order {
		if !r.serving(now) {
			continue
		}
		free := r.free(now)
		h := out[r.Hall]
		if h == nil {
			h = &hallState{free: free}
			out[r.Hall] = h
		}
		h.free = min(h.free, free)
		h.holds += p.def.Batch
	}
	return out
}

// pickBatch takes the pieces that go into a replica's next call, in order, as
// many as it may hold and has room for. Pieces that belong to another hall are
// left to it unless they could be late there, or more wait than its next calls
// hold; large ones that are not needed soon wait, and jobs that have not begun,
// until there is room for their results.
func (p *pool) pickBatch(now time.Duration, r *replica, o *Options) []*piece {
	room := p.def.Room - r.taken(now, p.def.HoldFor)
	halls := p.halls(now)
	leave := time.Duration(o.LeaveHall * float64(p.def.CallTime))
	var batch []*piece
	with := company{most: o.SuspectsTogether}
	var blocked map[*pool]bool // by more urgent jobs
	rest := p.ready[:0]
	for _, x := range p.ready {
		if j := x.stage.job; j.blockedBy(blocked) || !j.mayBegin() {
			blocked = j.blocks(blocked)
			rest = append(rest, x)
			continue
		}
		if len(batch) < p.def.Batch && x.stage.def.Bytes <= room && !x.early() && x.may(r, halls[x.hall], leave) && with.admits(x.stage.job) {
			with.join(x.stage.job)
			x.stage.job.begin(now)
			room -= x.stage.def.Bytes
			batch = append(batch, x)
			continue
		}
		rest = append(rest, x)
	}
	clear(p.ready[len(rest):])
	p.ready = rest
	return batch
}

// may reports whether a piece may run at a replica, given its own hall's state
// and the time before its latest start from which it need not wait for it.
func (x *piece) may(r *replica, own *hallState, leave time.Duration) bool {
	if x.hall == "" || x.hall == r.Hall || own == nil {
		return true
	}
	own.seen++
	return own.seen > own.holds || own.free+leave > x.stage.latest
}

func (s *Scheduler) send(now time.Duration, p *pool, r *replica, batch []*piece) {
	s.next++
	expected := time.Duration(float64(p.callTime(batch)) * r.speed)
	c := &call{id: s.next, pool: p, replica: r, pieces: batch, sent: now, due: now + expected}
	items := make([]Item, 0, len(batch))
	for _, x := range batch {
		x.state = running
		x.tries++
		x.uncount()
		if st := x.stage; !st.called {
			st.called, st.calledAt = true, now
		}
		c.bytes += x.stage.def.Bytes
		items = append(items, x.item(now))
	}
	if p.most > 0 && now < r.ColdUntil {
		p.sent.Record(now, r.ID)
	}
	if r.turnGap > 0 {
		s.opts.Turns.Spend(now, r.ID)
		r.turnFrom = s.opts.Turns.Free(now, r.ID)
	}
	r.call = c
	r.held += c.bytes
	s.calls[c.id] = c
	timeout := time.Duration(float64(expected)*2*s.opts.OverdueTimes) + 2*s.opts.OverdueSlack
	s.act(Call{ID: c.id, Service: p.name, Replica: r.ID, Name: r.Name, Address: r.Address, Items: items, Timeout: timeout})
}

// Answer takes in what became of a call.
func (s *Scheduler) Answer(now time.Duration, id uint64, fate Fate, results []Result) []Action {
	c := s.calls[id]
	if c == nil {
		return s.take()
	}
	delete(s.calls, id)
	r := c.replica
	if r.call == c {
		r.call = nil
	}
	r.held -= c.bytes
	if r.gone && r.call == nil {
		delete(c.pool.replicas, r.ID)
		c.pool.reorder()
	}
	if fate == Answered && len(results) == len(c.pieces) {
		s.answered(now, c, results)
	} else {
		s.lost(now, c, fate)
	}
	s.dispatchAll(now)
	return s.take()
}

func (s *Scheduler) answered(now time.Duration, c *call, results []Result) {
	failed := slices.ContainsFunc(results, func(r Result) bool { return r.Handle == "" })
	c.pool.learn(c.replica, c, now-c.sent, !failed)
	c.replica.pause = 0
	var touched []*job
	for i, x := range c.pieces {
		s.result(now, c, x, results[i])
		if !slices.Contains(touched, x.stage.job) {
			touched = append(touched, x.stage.job)
		}
	}
	for _, j := range touched {
		if s.jobs[j.id] == j {
			s.proceed(now, j)
		}
	}
}

// result takes in what became of one piece of an answered call.
func (s *Scheduler) result(now time.Duration, c *call, x *piece, res Result) {
	j := x.stage.job
	wanted := s.jobs[j.id] == j && x.state != done && !x.stage.freed
	if res.Handle != "" {
		c.replica.results[res.Handle] = &holding{bytes: x.stage.def.Bytes, until: now + c.pool.def.HoldFor}
		c.replica.held += x.stage.def.Bytes
		if !wanted {
			s.freeResult(c.replica, res.Handle)
			return
		}
		if x.state == ready { // a second call for it waits, which is not needed any more
			x.uncount()
			x.stage.pool.unready(x)
		}
		x.state, x.handle, x.maker, x.madeAt = done, res.Handle, c.replica, now
		return
	}
	if !wanted || x.state != running {
		return
	}
	switch res.Reason {
	case Late:
		s.fail(now, j, "late", 0)
	case InputGone:
		s.remake(now, x)
	case NoRoom:
		c.replica.full(now, c.pool.def.HoldFor, x.stage.def.Bytes)
		x.tries--
		s.requeue(now, x)
	default:
		s.requeue(now, x)
	}
}

// remake runs a piece again together with the results that it reads.
func (s *Scheduler) remake(now time.Duration, x *piece) {
	if x.tries >= s.opts.Tries {
		s.fail(now, x.stage.job, "inputs", s.opts.Unknown)
		return
	}
	x.state = blocked
	x.count()
	for _, a := range x.stage.def.After {
		st := x.stage.job.stages[a]
		for _, input := range st.pieces {
			if input.state == done {
				s.freeResult(input.maker, input.handle)
				input.state, input.handle = blocked, ""
				input.count()
			}
		}
	}
	s.unblock(now, x.stage.job)
}

func (s *Scheduler) requeue(now time.Duration, x *piece) {
	if x.tries >= s.opts.Tries {
		s.fail(now, x.stage.job, "tries", s.opts.Unknown)
		return
	}
	x.state = ready
	x.count()
	x.stage.pool.ready = append(x.stage.pool.ready, x)
}

// lost takes in the end of a call without results.
func (s *Scheduler) lost(now time.Duration, c *call, fate Fate) {
	r := c.replica
	switch fate {
	case Refused:
		r.pausedTo = now + s.opts.Busy
	case Stranger:
		r.leaving = true
	default:
		r.fail(now, &s.opts)
	}
	if fate == Crashed {
		for _, j := range c.jobs() {
			j.Ended++
		}
	}
	for _, x := range c.pieces {
		j := x.stage.job
		if s.jobs[j.id] != j || x.state != running || c.overdue {
			continue
		}
		if fate == Refused || fate == Stranger || fate == Unreachable {
			x.tries--
		}
		s.requeue(now, x)
	}
}

// overdueCalls gives the pieces of calls that take far too long to others too.
func (s *Scheduler) overdueCalls(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		limit := time.Duration(float64(c.due-c.sent)*s.opts.OverdueTimes) + s.opts.OverdueSlack
		if c.overdue || now-c.sent < limit {
			continue
		}
		c.overdue = true
		c.replica.speed = max(c.replica.speed, s.opts.OverdueTimes)
		for _, x := range c.pieces {
			if j := x.stage.job; s.jobs[j.id] == j && x.state == running {
				s.requeue(now, x)
			}
		}
	}
}

// abandonIdleCalls ends calls none of whose pieces is wanted any more. A call
// at work can't be dropped by its replica; it ends a wait there.
func (s *Scheduler) abandonIdleCalls() {
	for _, id := range slices.Sorted(maps.Keys(s.calls)) {
		c := s.calls[id]
		wanted := false
		for _, x := range c.pieces {
			j := x.stage.job
			wanted = wanted || s.jobs[j.id] == j
		}
		if !wanted && c.overdue {
			s.act(Abandon{Call: c.id})
		}
	}
}
