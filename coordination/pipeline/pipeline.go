// Package pipeline decides for the pools of replicas that run the stages of
// requests: which requests are admitted, which pieces go into which call, to
// which replica and when.
//
// One Scheduler owns the replicas it is given. A call costs a fixed time plus
// that of its pieces, so pieces of all requests are put together; a replica
// gets its next call when the last one ends, which makes calls as full as the
// load asks for and no fuller. Room for results counts like time: a batch
// holds no more than fits, and a result is freed as soon as its last reader
// has it.
//
// The scheduler is pure: event and time in, actions out.
package pipeline

import (
	"cmp"
	"slices"
	"time"

	"quinceroad/coordination/shares"
	"quinceroad/state/catalog"
)

// Item is one piece as a call carries it.
type Item struct {
	RequestID string
	Stage     int
	Index     int
	Left      time.Duration // until the result is of no use
	Key       string        // for stages without inputs
	Inputs    []string      // handles of the results it reads
}

// Reason tells why a piece has no result.
type Reason int

// The reasons.
const (
	NoReason   Reason = iota
	Late              // its time was over at its turn
	InputGone         // a result that it reads is gone
	NoRoom            // no room for the result
	PieceError        // it failed
)

// Result is what became of one item of a call.
type Result struct {
	Handle string
	Reason Reason
}

// Fate tells what became of a call as a whole.
type Fate int

// The fates.
const (
	Answered    Fate = iota // there are results
	Refused                 // the replica says that it did not run the call
	Stranger                // another replica has the address
	Unreachable             // no connection; nothing was sent
	Broken                  // sent, and no whole answer came
	Crashed                 // the same, and the replica has ended
	Overdue                 // sent, and no answer came in time
)

// Stage is one stage of a job.
type Stage struct {
	Service string
	After   []int
	Pieces  int
	Bytes   int64 // of one result
}

// Job is a request's stages.
type Job struct {
	RequestID string
	Key       string
	Customer  string
	Told      shares.Told   // of that
	Rank      int           // 0 first
	Hall      string        // where its results are best made; "" for anywhere
	Objective time.Duration // from now, by when the stages should be done
	Deadline  time.Duration // from now, after which they are of no use
	Again     bool          // it came back after a refusal
	LateToo   bool          // it may be admitted to be late
	Ended     int           // replicas that ended under its request
	Needs     []shares.Need // of other things than pools, that run short too
	Stages    []Stage
}

// Asks reports whether a job has pieces for a service.
func (j Job) Asks(service string) bool {
	return slices.ContainsFunc(j.Stages, func(st Stage) bool { return st.Service == service && st.Pieces > 0 })
}

// Verdict is the answer to a submitted job.
type Verdict struct {
	ID         uint64 // of the job when it is admitted
	Admitted   bool
	RetryAfter time.Duration   // when a refused job may come back
	Expected   time.Duration   // until its stages are done
	Own        time.Duration   // of Expected: what they take where nothing waits
	Limit      time.Duration   // that Expected was held against
	Bound      string          // service whose pool it waits for longest; "" for none
	Stages     []Forecast      // what Expected is made of, of the stages that have pieces
	Standing   shares.Standing // within its customer's share
}

// Action is what the caller must do; one of the types below.
type Action interface{ action() }

// Call is sent to a replica; its end is told to Answer.
type Call struct {
	ID      uint64
	Service string
	Replica string // one life's ID
	Name    string // of the replica, in every life
	Address string
	Items   []Item
	Timeout time.Duration
}

// Deliver hands a job the results that its request reads.
type Deliver struct {
	Job     uint64
	Handles []string
	Near    map[string]int64 // by hall: bytes of these results
}

// Fail ends a job that can't be done.
type Fail struct {
	Job        uint64
	Why        string
	RetryAfter time.Duration
}

// Free tells a replica which results nobody reads any more.
type Free struct {
	Service string
	Replica string // one life's ID
	Address string
	Handles []string
}

// Abandon ends a call whose answer is of no use.
type Abandon struct{ Call uint64 }

func (Call) action()    {}
func (Deliver) action() {}
func (Fail) action()    {}
func (Free) action()    {}
func (Abandon) action() {}

// Scheduler owns the pools' replicas. It is not safe for concurrent use.
type Scheduler struct {
	opts    Options
	pools   map[string]*pool
	order   []*pool // the same, by name
	jobs    map[uint64]*job
	calls   map[uint64]*call
	next    uint64
	returns map[int]*returns // by rank
	shares  *shares.Table
	out     []Action
	paced   bool // some replica stated a limit when that was asked last
}

// New returns a scheduler without pools.
func New(opts ...Option) *Scheduler {
	return &Scheduler{
		opts:    newOptions(opts),
		pools:   make(map[string]*pool),
		jobs:    make(map[uint64]*job),
		calls:   make(map[uint64]*call),
		returns: make(map[int]*returns),
		shares:  shares.New(shares.Standard()),
	}
}

// SetPools takes the services and their replicas into force.
func (s *Scheduler) SetPools(now time.Duration, services map[string]*catalog.Service, replicas []catalog.Replica) []Action {
	for name, service := range services {
		if service.Pool == nil {
			continue
		}
		p := s.pools[name]
		if p == nil {
			p = newPool(name)
			s.pools[name] = p
			s.order = append(s.order, p)
		}
		p.def = *service.Pool
		p.most = 0
		if service.WarmUp != nil {
			p.most = s.opts.Cold.MaxPerSender(service.WarmUp.PerSecond)
		}
	}
	slices.SortFunc(s.order, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	listed := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		p := s.pools[r.Service]
		if p == nil {
			continue
		}
		listed[r.ID] = true
		p.put(r)
	}
	for _, p := range s.order {
		p.dropUnlisted(listed)
	}
	s.dispatchAll(now)
	return s.take()
}

// Leaving notes that a replica says, by whatever sign, that it leaves.
func (s *Scheduler) Leaving(id string) {
	for _, p := range s.order {
		if r := p.replicas[id]; r != nil {
			r.leaving = true
		}
	}
}

// Rests notes until when a replica wants nothing. It counts as one that is free
// then, so that what has time waits for it and the rest is refused.
func (s *Scheduler) Rests(id string, until time.Duration) {
	for _, p := range s.order {
		if r := p.replicas[id]; r != nil {
			r.restTo = max(r.restTo, until)
		}
	}
}

// Seen takes in what a replica tells of itself: its free room, and whether it
// is at work. It matters where another owner has used the replica lately.
func (s *Scheduler) Seen(now time.Duration, id string, free int64, atWork bool) {
	for _, p := range s.order {
		r := p.replicas[id]
		if r == nil {
			continue
		}
		r.unknown = max(p.def.Room-free-r.held, 0)
		r.shownAt = now
		if atWork && r.call == nil {
			r.pausedTo = max(r.pausedTo, now+p.def.CallTime)
		}
	}
}

// Submit decides on a job. An admitted one is ended by a Deliver or Fail, and
// by Release in any case.
func (s *Scheduler) Submit(now time.Duration, j Job) (Verdict, []Action) {
	job, ok := s.newJob(now, j)
	if !ok {
		return Verdict{RetryAfter: s.opts.Unknown, Standing: shares.Standing{Within: true}}, nil
	}
	standing := s.stand(now, job)
	verdict := s.judge(now, job)
	verdict.Standing = standing
	if verdict.Expected > verdict.Limit {
		verdict.RetryAfter = s.retryAfter(verdict)
		return verdict, nil
	}
	if !job.surplus {
		s.shares.Serve(job.Customer, job.Rank, job.Needs)
	}
	s.next++
	job.id = s.next
	s.jobs[job.id] = job
	s.admit(now, job)
	s.dispatchAll(now)
	verdict.ID, verdict.Admitted = job.id, true
	return verdict, s.take()
}

// Release ends a job: its request has read the results, or wants none.
func (s *Scheduler) Release(now time.Duration, id uint64) []Action {
	if j := s.jobs[id]; j != nil {
		s.remove(now, j)
	}
	s.dispatchAll(now)
	return s.take()
}

// Tick does what is due by time alone; call it some times a second.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.overdueCalls(now)
	s.holdBack(now)
	s.hopelessJobs(now)
	s.expireRoom(now)
	for _, p := range s.order {
		for _, r := range p.order {
			r.expire(now)
		}
	}
	s.dispatchAll(now)
	return s.take()
}

func (s *Scheduler) take() []Action {
	out := s.out
	s.out = nil
	return out
}

func (s *Scheduler) act(a Action) { s.out = append(s.out, a) }

// Empty reports whether it knows of no pool.
func (s *Scheduler) Empty() bool { return len(s.pools) == 0 }

// Jobs returns the number of jobs under way.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// PoolState is what a scheduler knows of a pool, for the dump of state.
type PoolState struct {
	Service string
	Waiting int           // pieces
	Clear   time.Duration // until all that is admitted is through
	AtWork  int           // replicas with a call
	Serving int           // replicas that count as capacity
}

// Pools returns the state of the pools, by name.
func (s *Scheduler) Pools(now time.Duration) []PoolState {
	var out []PoolState
	for _, p := range s.order {
		st := PoolState{Service: p.name, Waiting: len(p.ready), Clear: p.clear(now)}
		for _, r := range p.order {
			if r.call != nil {
				st.AtWork++
			}
			if r.serving(now) {
				st.Serving++
			}
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b PoolState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
