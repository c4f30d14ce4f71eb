package pipeline

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The results that a request reads lie in their makers' room until it has read
// them. Where that takes long a pool whose room is full makes room / (call and
// reading time) and not replicas / call time, and what was begun upstream waits
// with its results for a place, until it is late and has had work done for nothing.
// So a job begins only when room for its results is kept, as in backpressure by
// credits (or CONWIP, drum-buffer-rope): what waits stands in one place, before any
// work, where ranks order it and a plan sees it.

const (
	holdRate  = 0.1                   // weight of a new time that results took room: the last ten or so count
	passing   = 0.1                   // of a pool's room, that results leave which requests read: later stages read others there, small as they may be
	buffer    = 2.0                   // times what is read while a job's first stages run, that is begun for it: no replica waits for pieces
	deviation = 2.0                   // standard deviations of what more urgent jobs take while one waits
	waitPart  = 0.4                   // of the time that a job can wait at all, which it may be expected to wait for room: the rest is for what comes and for queues on the way
	roomStep  = 50 * time.Millisecond // of a plan
)

// roomUse is what a pool knows of its room.
type roomUse struct {
	hold     time.Duration // usual, from the call that makes results until they are read; 0: not known yet
	upstream time.Duration // usual, from a job's first call until its pieces are ready here
	begun    int64         // bytes that jobs take or will, which have begun
	whole    float64       // bytes at the replicas that serve, as of the last dispatch
}

// roomNeed is the room that a job's results take at a pool until they are read.
type roomNeed struct {
	pool  *pool
	bytes int64
}

// roomNeeds returns what a job's request reads.
func (j *job) roomNeeds() []roomNeed {
	var out []roomNeed
	for _, st := range j.stages {
		if bytes := int64(len(st.pieces)) * st.def.Bytes; bytes > 0 && st.sink() {
			out = append(out, roomNeed{pool: st.pool, bytes: bytes})
		}
	}
	return out
}

// knowRoom takes in how much room the replicas that serve have.
func (p *pool) knowRoom(now time.Duration) {
	p.room.whole = 0
	for _, r := range p.order {
		if r.serving(now) {
			p.room.whole += float64(p.def.ResultMemory)
		}
	}
}

// most is how many bytes of results jobs may have begun: those that the room
// holds, and those that are on the way while as much is read.
func (u *roomUse) most() float64 {
	return u.whole*(1-passing) + u.rate()*u.upstream.Seconds()*buffer
}

// rate is how many bytes a second are read where the room is full, by Little's law.
func (u *roomUse) rate() float64 { return u.whole / u.hold.Seconds() }

// mayBegin reports whether a job's results will find room when they are made.
// One that is alone begins whatever it takes: nothing is to be waited for.
func (j *job) mayBegin() bool {
	if j.begun {
		return true
	}
	for _, n := range j.needs {
		u := &n.pool.room
		if u.hold > 0 && u.begun > 0 && float64(u.begun+n.bytes) > u.most() {
			return false
		}
	}
	return true
}

// blocks adds the pools for whose room a job waits to those that more urgent ones
// wait for: what is behind them may not overtake.
func (j *job) blocks(blocked map[*pool]bool) map[*pool]bool {
	if blocked == nil {
		blocked = make(map[*pool]bool)
	}
	for _, n := range j.needs {
		blocked[n.pool] = true
	}
	return blocked
}

func (j *job) blockedBy(blocked map[*pool]bool) bool {
	return len(blocked) > 0 && !j.begun && slices.ContainsFunc(j.needs, func(n roomNeed) bool { return blocked[n.pool] })
}

// wantRoom counts what a job that is admitted will take.
func (j *job) wantRoom(now time.Duration) {
	for _, n := range j.needs {
		n.pool.load.of(j.rank).wantsRoom(now, n.bytes)
	}
}

// moveWant counts what a job that has not begun will take under another rank.
func (j *job) moveWant(rank int) {
	if j.begun {
		return
	}
	for _, n := range j.needs {
		n.pool.load.of(j.rank).room -= n.bytes
		n.pool.load.of(rank).room += n.bytes
	}
}

// begin keeps room for a job's results.
func (j *job) begin(now time.Duration) {
	if j.begun {
		return
	}
	j.begun, j.begunAt = true, now
	for _, n := range j.needs {
		n.pool.load.of(j.rank).room -= n.bytes
		n.pool.room.begun += n.bytes
	}
}

// leaveRoom gives up what a job wants or takes, once.
func (j *job) leaveRoom() {
	for _, n := range j.needs {
		if j.begun {
			n.pool.room.begun -= n.bytes
		} else {
			n.pool.load.of(j.rank).room -= n.bytes
		}
	}
	j.needs = nil
}

// learnRoom takes in how long the results of a job took room that have been read.
func (j *job) learnRoom(now time.Duration) {
	for _, st := range j.stages {
		if !j.delivered || !st.sink() || len(st.pieces) == 0 {
			continue
		}
		u := &st.pool.room
		held, before := now-st.calledAt, max(st.readyAt-j.begunAt, 0)
		if u.hold == 0 {
			u.hold, u.upstream = max(held, time.Millisecond), before
			continue
		}
		u.hold = max(u.hold+time.Duration(holdRate*float64(held-u.hold)), time.Millisecond)
		u.upstream += time.Duration(holdRate * float64(before-u.upstream))
	}
}

// expireRoom gives up the room of jobs whose results their makers have dropped: a
// request that never says that it has read them must not keep others out.
func (s *Scheduler) expireRoom(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !j.delivered || len(j.needs) == 0 {
			continue
		}
		holds := time.Duration(0)
		for _, n := range j.needs {
			holds = max(holds, n.pool.def.ResultTTL)
		}
		if now-j.deliveredAt > holds {
			j.leaveRoom()
		}
	}
}

// roomWait is how long a job is expected to wait until it may begin: until what
// goes before it, and what more urgent jobs will take meanwhile, has found room.
func (s *Scheduler) roomWait(now time.Duration, j *job) time.Duration {
	wait := time.Duration(0)
	for _, n := range j.needs {
		wait = max(wait, n.pool.roomWait(now, j.rank, n.bytes))
	}
	return wait
}

func (p *pool) roomWait(now time.Duration, rank int, bytes int64) time.Duration {
	u := &p.room
	if u.hold == 0 || u.whole == 0 {
		return 0
	}
	ahead, coming := p.load.roomBefore(now, rank)
	free := u.most() - float64(u.begun)
	for wait := time.Duration(0); wait < farthest; wait += roomStep {
		more := coming * wait.Seconds()
		more += deviation * math.Sqrt(more*float64(bytes)) // as if they came in parts of this size
		if float64(ahead+bytes)+more <= free+u.rate()*wait.Seconds() {
			return wait
		}
	}
	return farthest
}

// roomOver is by how much a job is expected to wait longer for room than it may,
// of a time that its stages may take in all; 0 and below: it may.
func (s *Scheduler) roomOver(now time.Duration, j *job, limit time.Duration) time.Duration {
	wait := s.roomWait(now, j)
	if wait == 0 || j.back {
		return 0
	}
	slack := min(limit, j.Objective) - j.own()
	return wait - time.Duration(waitPart*float64(slack))
}
