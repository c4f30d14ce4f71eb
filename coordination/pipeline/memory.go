package pipeline

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Results that a request reads stay in their producers' memory until the request has read
// them. If reading takes long, the throughput of a pool with full memory is memory / (call
// time + reading time) instead of replicas / call time. Jobs that have started upstream would
// then hold their results while they wait for memory until they are late and their work was
// wasted. Therefore a job starts only when memory for its results is reserved, as in
// credit-based backpressure (or CONWIP, drum-buffer-rope). Jobs wait in one place before any
// work is done, where ranks order them and plans can account for them.

const (
	// Weight of a new sample in the average hold times; about the last ten count.
	holdTimeWeight = 0.1
	// Share of a pool's memory reserved for results that later stages read there, which may be
	// small but must not find the memory full.
	intermediatePart = 0.1
	// Memory that may be reserved beyond the capacity, as a multiple of the bytes that are read
	// while a job's first stages run; keeps every replica supplied with items.
	upstreamBuffer = 2.0
	// Standard deviations by which the forecast raises the expected memory of the more urgent
	// jobs that arrive while a job waits.
	arrivalDeviations = 2.0
	// Share of its slack that a job may be expected to wait for memory; the rest is for arrivals
	// and for queues of its stages.
	memoryWaitPart = 0.4
	// Time step of a memory forecast.
	memoryStep = 50 * time.Millisecond
)

// memoryUse describes the result memory of a pool.
type memoryUse struct {
	holdTime     time.Duration // average from the call that makes results until they are read; 0: not known yet
	upstreamTime time.Duration // average from a job's first call until its items are ready in this pool
	reserved     int64         // bytes of the results of jobs that have started, whether made yet or not
	capacity     float64       // bytes at the serving replicas, as of the last dispatch
}

// memoryNeed is the memory that a job's results need at a pool until they are read.
type memoryNeed struct {
	pool  *pool
	bytes int64
}

// sinkMemoryNeeds returns the memory needs of the results that the request reads.
func (j *job) sinkMemoryNeeds() []memoryNeed {
	var out []memoryNeed
	for _, st := range j.stages {
		if bytes := int64(len(st.items)) * st.def.ResultBytes; bytes > 0 && st.isSink() {
			out = append(out, memoryNeed{pool: st.pool, bytes: bytes})
		}
	}
	return out
}

// updateMemory recalculates the memory of the serving replicas.
func (p *pool) updateMemory(now time.Duration) {
	p.memory.capacity = 0
	for _, r := range p.replicasByID {
		if r.isServing(now) {
			p.memory.capacity += float64(p.def.ResultMemory)
		}
	}
}

// limit returns how many bytes started jobs may reserve: what fits into memory, plus what jobs
// in earlier stages will need only after as much has been read.
func (u *memoryUse) limit() float64 {
	return u.capacity*(1-intermediatePart) + u.freeRate()*u.upstreamTime.Seconds()*upstreamBuffer
}

// freeRate returns the bytes a second that are read while memory is full, by Little's law.
func (u *memoryUse) freeRate() float64 { return u.capacity / u.holdTime.Seconds() }

// mayStart reports whether the job's results will find memory when they are made. A job starts
// regardless of its size if no memory is reserved, as waiting would gain nothing.
func (j *job) mayStart() bool {
	if j.started {
		return true
	}
	for _, n := range j.memoryNeeds {
		u := &n.pool.memory
		if u.holdTime > 0 && u.reserved > 0 && float64(u.reserved+n.bytes) > u.limit() {
			return false
		}
	}
	return true
}

// addBlockedPools adds the pools for whose memory a job waits, so that less urgent jobs don't
// overtake it there.
func (j *job) addBlockedPools(blocked map[*pool]bool) map[*pool]bool {
	if blocked == nil {
		blocked = make(map[*pool]bool)
	}
	for _, n := range j.memoryNeeds {
		blocked[n.pool] = true
	}
	return blocked
}

func (j *job) isBlocked(blocked map[*pool]bool) bool {
	return len(blocked) > 0 && !j.started && slices.ContainsFunc(j.memoryNeeds, func(n memoryNeed) bool { return blocked[n.pool] })
}

// queueMemory adds the memory needs of an admitted job to the queues of its rank.
func (j *job) queueMemory(now time.Duration) {
	for _, n := range j.memoryNeeds {
		n.pool.load.forRank(j.rank).queueMemory(now, n.bytes)
	}
}

// moveQueuedMemory moves the memory needs of a job that has not started to another rank.
func (j *job) moveQueuedMemory(rank int) {
	if j.started {
		return
	}
	for _, n := range j.memoryNeeds {
		n.pool.load.forRank(j.rank).queuedBytes -= n.bytes
		n.pool.load.forRank(rank).queuedBytes += n.bytes
	}
}

// start reserves memory for the job's results.
func (j *job) start(now time.Duration) {
	if j.started {
		return
	}
	j.started, j.startedAt = true, now
	for _, n := range j.memoryNeeds {
		n.pool.load.forRank(j.rank).queuedBytes -= n.bytes
		n.pool.memory.reserved += n.bytes
	}
}

// releaseMemory gives up the queued or reserved memory of a job, once.
func (j *job) releaseMemory() {
	for _, n := range j.memoryNeeds {
		if j.started {
			n.pool.memory.reserved -= n.bytes
		} else {
			n.pool.load.forRank(j.rank).queuedBytes -= n.bytes
		}
	}
	j.memoryNeeds = nil
}

// recordHoldTime updates the average hold times with a job whose results have been read.
func (j *job) recordHoldTime(now time.Duration) {
	for _, st := range j.stages {
		if !j.delivered || !st.isSink() || len(st.items) == 0 {
			continue
		}
		u := &st.pool.memory
		holdTime, upstreamTime := now-st.startedAt, max(st.readyAt-j.startedAt, 0)
		if u.holdTime == 0 {
			u.holdTime, u.upstreamTime = max(holdTime, time.Millisecond), upstreamTime
			continue
		}
		u.holdTime = max(u.holdTime+time.Duration(holdTimeWeight*float64(holdTime-u.holdTime)), time.Millisecond)
		u.upstreamTime += time.Duration(holdTimeWeight * float64(upstreamTime-u.upstreamTime))
	}
}

// expireMemory releases the memory of jobs whose results have expired at their producers. A
// request that never confirms reading must not keep others out.
func (s *Scheduler) expireMemory(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !j.delivered || len(j.memoryNeeds) == 0 {
			continue
		}
		holdFor := time.Duration(0)
		for _, n := range j.memoryNeeds {
			holdFor = max(holdFor, n.pool.def.ResultTTL)
		}
		if now-j.deliveredAt > holdFor {
			j.releaseMemory()
		}
	}
}

// memoryWait returns the expected wait until a job may start: until there is memory for the
// jobs before it and for more urgent ones that arrive in the meantime.
func (s *Scheduler) memoryWait(now time.Duration, j *job) time.Duration {
	wait := time.Duration(0)
	for _, n := range j.memoryNeeds {
		wait = max(wait, n.pool.memoryWait(now, j.rank, n.bytes))
	}
	return wait
}

func (p *pool) memoryWait(now time.Duration, rank int, bytes int64) time.Duration {
	u := &p.memory
	if u.holdTime == 0 || u.capacity == 0 {
		return 0
	}
	ahead, arrivalRate := p.load.memoryAhead(now, rank)
	free := u.limit() - float64(u.reserved)
	for wait := time.Duration(0); wait < planHorizon; wait += memoryStep {
		arriving := arrivalRate * wait.Seconds()
		arriving += arrivalDeviations * math.Sqrt(arriving*float64(bytes)) // as if they arrived in units of this size
		if float64(ahead+bytes)+arriving <= free+u.freeRate()*wait.Seconds() {
			return wait
		}
	}
	return planHorizon
}

// excessMemoryWait returns by how much a job's expected wait for memory exceeds what it may
// be. The limit is the time that the job's stages may take in total. 0 or less: the job may
// wait.
func (s *Scheduler) excessMemoryWait(now time.Duration, j *job, limit time.Duration) time.Duration {
	wait := s.memoryWait(now, j)
	if wait == 0 || j.admittedLate {
		return 0
	}
	slack := min(limit, j.Objective) - j.uncontendedTime()
	return wait - time.Duration(memoryWaitPart*float64(slack))
}
