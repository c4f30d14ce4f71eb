package pipeline

import (
	"maps"
	"slices"
	"time"
)

type pieceState int

const (
	blocked pieceState = iota // inputs are missing
	ready
	running
	done
)

// piece is one unit of a stage.
type piece struct {
	stage   *stage
	index   int
	state   pieceState
	tries   int
	handle  string
	maker   *replica
	madeAt  time.Duration
	counted bool   // in its pool's pending work
	hall    string // where it should run, for the bytes that it reads and makes; "" for anywhere
}

// stage is one stage of a job under way.
type stage struct {
	job    *job
	number int
	def    Stage
	pool   *pool
	item   float64       // seconds that one piece takes in a call
	latest time.Duration // when it must start for the job to be in time
	plan   Forecast      // as expected when the job came
	pieces []*piece
	freed  bool

	opened   bool          // its inputs were there
	readyAt  time.Duration // when they first were
	called   bool          // one of its pieces was in a call
	calledAt time.Duration // when the first was
}

// job is one request's stages under way.
type job struct {
	Job
	id        uint64
	rank      int // Job.Rank, or behind all once it is late
	due       time.Duration
	dead      time.Duration
	stages    []*stage
	delivered bool
	begun     bool // a piece was given to a replica, and room is kept for its results
	needs     []roomNeed

	begunAt     time.Duration
	deliveredAt time.Duration

	surplus bool // it is beyond its customer's share
	back    bool // it stands back: admitted to be late, behind all that is in time
}

func (s *Scheduler) newJob(now time.Duration, def Job) (*job, bool) {
	j := &job{Job: def, rank: def.Rank, due: now + def.Objective, dead: now + def.Deadline}
	for n, d := range def.Stages {
		p := s.pools[d.Service]
		if p == nil {
			return nil, false
		}
		st := &stage{job: j, number: n, def: d, pool: p, item: p.item(d.ResultBytes)}
		for i := range d.Items {
			st.pieces = append(st.pieces, &piece{stage: st, index: i})
		}
		j.stages = append(j.stages, st)
	}
	rest := j.rests()
	for n, st := range j.stages {
		st.latest = j.due - rest[n]
	}
	j.needs = j.roomNeeds()
	return j, true
}

// retryAfter is when a refused job may come back.
func (s *Scheduler) retryAfter(v Decision) time.Duration {
	if v.Expected >= noReplica {
		return s.opts.DefaultRetryAfter
	}
	return max(v.Expected-v.Limit, s.opts.MinRetryAfter)
}

// admit counts the job's pieces and readies those without inputs.
func (s *Scheduler) admit(now time.Duration, j *job) {
	for _, st := range j.stages {
		st.pool.load.of(j.rank).arrives(now, len(st.pieces), st.item)
		for _, x := range st.pieces {
			x.count()
		}
	}
	j.wantRoom(now)
	s.unblock(now, j)
}

func (x *piece) count() {
	if !x.counted {
		x.counted = true
		x.stage.pool.load.of(x.stage.job.rank).add(x.stage.item)
	}
}

func (x *piece) uncount() {
	if x.counted {
		x.counted = false
		x.stage.pool.load.of(x.stage.job.rank).drop(x.stage.item)
	}
}

// unblock readies every piece whose inputs are there.
func (s *Scheduler) unblock(now time.Duration, j *job) {
	for _, st := range j.stages {
		if !st.inputsDone() {
			continue
		}
		if !st.opened {
			st.opened, st.readyAt = true, now
		}
		for _, x := range st.pieces {
			if x.state == blocked {
				x.state = ready
				x.count()
				x.hall = x.nearest()
				st.pool.ready = append(st.pool.ready, x)
			}
		}
	}
}

// farBytes is how much a piece must read or make for its hall to matter.
const farBytes = 150_000

// nearest returns the hall between which and the piece most bytes go: those of
// the results that it reads, and its own when the request reads it, at the
// place that the job names.
func (x *piece) nearest() string {
	bytes := make(map[string]int64)
	for _, a := range x.stage.def.After {
		for _, input := range x.stage.job.stages[a].pieces {
			if input.maker != nil {
				bytes[input.maker.Hall] += input.stage.def.ResultBytes
			}
		}
	}
	if x.stage.sink() && x.stage.job.Hall != "" {
		bytes[x.stage.job.Hall] += x.stage.def.ResultBytes
	}
	best, most := "", int64(farBytes-1)
	for hall, n := range bytes {
		if n > most || (n == most && hall < best) {
			best, most = hall, n
		}
	}
	return best
}

func (st *stage) inputsDone() bool {
	for _, a := range st.def.After {
		if !st.job.stages[a].done() {
			return false
		}
	}
	return true
}

func (st *stage) done() bool {
	return !slices.ContainsFunc(st.pieces, func(x *piece) bool { return x.state != done })
}

// sink reports whether the request itself reads the stage's results.
func (st *stage) sink() bool {
	return !slices.ContainsFunc(st.job.stages, func(other *stage) bool { return slices.Contains(other.def.After, st.number) })
}

func (st *stage) handles(to []string) []string {
	for _, x := range st.pieces {
		to = append(to, x.handle)
	}
	return to
}

func (x *piece) item(now time.Duration) Item {
	j := x.stage.job
	item := Item{RequestID: j.RequestID, Stage: x.stage.number, Index: x.index, Left: max(j.dead-now, time.Millisecond)}
	if len(x.stage.def.After) == 0 {
		item.Key = j.Key
		return item
	}
	for _, a := range x.stage.def.After {
		item.Inputs = j.stages[a].handles(item.Inputs)
	}
	return item
}

// proceed goes on with a job after a piece of it was done.
func (s *Scheduler) proceed(now time.Duration, j *job) {
	s.unblock(now, j)
	for _, st := range j.stages {
		if !st.freed && !st.sink() && st.done() && st.readersDone() {
			s.free(st)
		}
	}
	if j.delivered {
		return
	}
	var handles []string
	near := make(map[string]int64)
	for _, st := range j.stages {
		if !st.sink() {
			continue
		}
		if !st.done() {
			return
		}
		handles = st.handles(handles)
		for _, x := range st.pieces {
			near[x.maker.Hall] += st.def.ResultBytes
		}
	}
	j.delivered, j.deliveredAt = true, now
	if j.back {
		note(&s.returnsOf(j.Rank).inTime, now <= j.due)
	}
	s.act(Deliver{Job: j.id, Handles: handles, BytesByHall: near})
}

func (st *stage) readersDone() bool {
	for _, other := range st.job.stages {
		if slices.Contains(other.def.After, st.number) && !other.done() {
			return false
		}
	}
	return true
}

// free gives a stage's results up.
func (s *Scheduler) free(st *stage) {
	st.freed = true
	for _, x := range st.pieces {
		if x.handle != "" {
			s.freeResult(x.maker, x.handle)
		}
	}
}

func (s *Scheduler) freeResult(r *replica, handle string) {
	r.drop(handle)
	for i, a := range s.out { // one call to a replica for all that is freed at once
		if f, ok := a.(Free); ok && f.Replica == r.ID {
			f.Handles = append(f.Handles, handle)
			s.out[i] = f
			return
		}
	}
	s.act(Free{Service: r.Service, Replica: r.ID, Address: r.Address, Handles: []string{handle}})
}

// remove ends a job; what is at work of it is freed when it comes.
func (s *Scheduler) remove(now time.Duration, j *job) {
	delete(s.jobs, j.id)
	j.learnRoom(now)
	j.leaveRoom()
	for _, st := range j.stages {
		for _, x := range st.pieces {
			x.uncount()
			if x.state == ready {
				st.pool.unready(x)
			}
		}
		if !st.freed {
			s.free(st)
		}
	}
	s.abandonIdleCalls()
}

// GiveUp ends the job of a request.
func (s *Scheduler) FailRequest(now time.Duration, request, why string) []Action {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; j.RequestID == request {
			s.fail(now, j, why, 0)
		}
	}
	s.dispatchAll(now)
	return s.take()
}

func (s *Scheduler) fail(now time.Duration, j *job, why string, after time.Duration) {
	s.remove(now, j)
	s.act(Fail{Job: j.id, Reason: why, RetryAfter: after})
}
