package pipeline

import (
	"maps"
	"slices"
	"time"
)

type itemState int

const (
	blocked itemState = iota // waits for inputs
	ready
	running
	done
)

// stageItem is one item of a stage.
type stageItem struct {
	stage         *stage
	index         int
	state         itemState
	attempts      int
	handle        string
	producer      *replica
	producedAt    time.Duration
	inLoad        bool   // counted in the pool's load
	preferredHall string // by the bytes that it reads and makes; "" for any
}

// stage is one stage of a job.
type stage struct {
	job         *job
	index       int
	def         Stage
	pool        *pool
	itemSeconds float64       // time that one item adds to a call
	latestStart time.Duration // for the job to meet its objective
	forecast    Forecast      // made when the job was submitted
	items       []*stageItem
	freed       bool

	inputsReady bool          // all inputs have been available
	readyAt     time.Duration // when they first were
	started     bool          // one of its items has been in a call
	startedAt   time.Duration // when the first one was sent
}

// job is a submitted request with the state of its stages.
type job struct {
	Job
	id          uint64
	rank        int // Job.Rank, plus lateRank or overShareRank
	dueAt       time.Duration
	expiresAt   time.Duration
	stages      []*stage
	delivered   bool
	started     bool // an item was sent to a replica, and memory is reserved for the job's results
	memoryNeeds []memoryNeed

	startedAt   time.Duration
	deliveredAt time.Duration

	overShare    bool // over its customer's share
	admittedLate bool // expected to be late when it was admitted; ranks behind all jobs that will be in time
}

func (s *Scheduler) newJob(now time.Duration, def Job) (*job, bool) {
	j := &job{Job: def, rank: def.Rank, dueAt: now + def.Objective, expiresAt: now + def.Deadline}
	for n, d := range def.Stages {
		p := s.pools[d.Service]
		if p == nil {
			return nil, false
		}
		st := &stage{job: j, index: n, def: d, pool: p, itemSeconds: p.itemSeconds(d.ResultBytes)}
		for i := range d.Items {
			st.items = append(st.items, &stageItem{stage: st, index: i})
		}
		j.stages = append(j.stages, st)
	}
	remaining := j.remainingTimes()
	for n, st := range j.stages {
		st.latestStart = j.dueAt - remaining[n]
	}
	j.memoryNeeds = j.sinkMemoryNeeds()
	return j, true
}

// retryAfter returns the delay after which a refused job may be submitted again.
func (s *Scheduler) retryAfter(d Decision) time.Duration {
	if d.Expected >= noReplicaWait {
		return s.opts.DefaultRetryAfter
	}
	return max(d.Expected-d.Limit, s.opts.MinRetryAfter)
}

// admit adds the job's items to the load and marks those without inputs as ready.
func (s *Scheduler) admit(now time.Duration, j *job) {
	for _, st := range j.stages {
		st.pool.load.forRank(j.rank).recordArrival(now, len(st.items), st.itemSeconds)
		for _, x := range st.items {
			x.addToLoad()
		}
	}
	j.queueMemory(now)
	s.unblock(now, j)
}

func (x *stageItem) addToLoad() {
	if !x.inLoad {
		x.inLoad = true
		x.stage.pool.load.forRank(x.stage.job.rank).add(x.stage.itemSeconds)
	}
}

func (x *stageItem) removeFromLoad() {
	if x.inLoad {
		x.inLoad = false
		x.stage.pool.load.forRank(x.stage.job.rank).remove(x.stage.itemSeconds)
	}
}

// unblock marks every item whose inputs are available as ready.
func (s *Scheduler) unblock(now time.Duration, j *job) {
	for _, st := range j.stages {
		if !st.inputsDone() {
			continue
		}
		if !st.inputsReady {
			st.inputsReady, st.readyAt = true, now
		}
		for _, x := range st.items {
			if x.state == blocked {
				x.state = ready
				x.addToLoad()
				x.preferredHall = x.choosePreferredHall()
				st.pool.ready = append(st.pool.ready, x)
			}
		}
	}
}

// localityBytes is the number of bytes that an item must exchange with a hall to prefer it.
const localityBytes = 150_000

// choosePreferredHall returns the hall that exchanges the most bytes with the item. It counts
// the inputs at their producers and, if the request reads the item's result, the result itself
// in the job's hall.
func (x *stageItem) choosePreferredHall() string {
	bytes := make(map[string]int64)
	for _, a := range x.stage.def.After {
		for _, input := range x.stage.job.stages[a].items {
			if input.producer != nil {
				bytes[input.producer.Hall] += input.stage.def.ResultBytes
			}
		}
	}
	if x.stage.isSink() && x.stage.job.Hall != "" {
		bytes[x.stage.job.Hall] += x.stage.def.ResultBytes
	}
	best, mostBytes := "", int64(localityBytes-1)
	for hall, n := range bytes {
		if n > mostBytes || (n == mostBytes && hall < best) {
			best, mostBytes = hall, n
		}
	}
	return best
}

func (st *stage) inputsDone() bool {
	for _, a := range st.def.After {
		if !st.job.stages[a].isDone() {
			return false
		}
	}
	return true
}

func (st *stage) isDone() bool {
	return !slices.ContainsFunc(st.items, func(x *stageItem) bool { return x.state != done })
}

// isSink reports whether the request itself reads the stage's results.
func (st *stage) isSink() bool {
	return !slices.ContainsFunc(st.job.stages, func(other *stage) bool { return slices.Contains(other.def.After, st.index) })
}

func (st *stage) appendHandles(to []string) []string {
	for _, x := range st.items {
		to = append(to, x.handle)
	}
	return to
}

func (x *stageItem) callItem(now time.Duration) Item {
	j := x.stage.job
	item := Item{RequestID: j.RequestID, Stage: x.stage.index, Index: x.index, TimeLeft: max(j.expiresAt-now, time.Millisecond)}
	if len(x.stage.def.After) == 0 {
		item.Key = j.Key
		return item
	}
	for _, a := range x.stage.def.After {
		item.Inputs = j.stages[a].appendHandles(item.Inputs)
	}
	return item
}

// advance continues a job after one of its items is done.
func (s *Scheduler) advance(now time.Duration, j *job) {
	s.unblock(now, j)
	for _, st := range j.stages {
		if !st.freed && !st.isSink() && st.isDone() && st.readersDone() {
			s.freeResults(st)
		}
	}
	if j.delivered {
		return
	}
	var handles []string
	bytesByHall := make(map[string]int64)
	for _, st := range j.stages {
		if !st.isSink() {
			continue
		}
		if !st.isDone() {
			return
		}
		handles = st.appendHandles(handles)
		for _, x := range st.items {
			bytesByHall[x.producer.Hall] += st.def.ResultBytes
		}
	}
	j.delivered, j.deliveredAt = true, now
	if j.admittedLate {
		recordOutcome(&s.lateStatsOf(j.Rank).lateAdmittedInTime, now <= j.dueAt)
	}
	s.emit(Deliver{Job: j.id, Handles: handles, BytesByHall: bytesByHall})
}

func (st *stage) readersDone() bool {
	for _, other := range st.job.stages {
		if slices.Contains(other.def.After, st.index) && !other.isDone() {
			return false
		}
	}
	return true
}

// freeResults releases the results of a stage.
func (s *Scheduler) freeResults(st *stage) {
	st.freed = true
	for _, x := range st.items {
		if x.handle != "" {
			s.freeResult(x.producer, x.handle)
		}
	}
}

func (s *Scheduler) freeResult(r *replica, handle string) {
	r.dropResult(handle)
	for i, a := range s.actions { // results freed at the same time share one action for each replica
		if f, ok := a.(Free); ok && f.Replica == r.ID {
			f.Handles = append(f.Handles, handle)
			s.actions[i] = f
			return
		}
	}
	s.emit(Free{Service: r.Service, Replica: r.ID, Address: r.Address, Handles: []string{handle}})
}

// remove ends a job. Results of its running items are freed when they arrive.
func (s *Scheduler) remove(now time.Duration, j *job) {
	delete(s.jobs, j.id)
	j.recordHoldTime(now)
	j.releaseMemory()
	for _, st := range j.stages {
		for _, x := range st.items {
			x.removeFromLoad()
			if x.state == ready {
				st.pool.removeReady(x)
			}
		}
		if !st.freed {
			s.freeResults(st)
		}
	}
	s.cancelUnwantedCalls()
}

// FailRequest ends the job of a request with the given reason.
func (s *Scheduler) FailRequest(now time.Duration, request, reason string) []Action {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; j.RequestID == request {
			s.fail(now, j, reason, 0)
		}
	}
	s.dispatchAll(now)
	return s.takeActions()
}

func (s *Scheduler) fail(now time.Duration, j *job, reason string, retryAfter time.Duration) {
	s.remove(now, j)
	s.emit(Fail{Job: j.id, Reason: reason, RetryAfter: retryAfter})
}
