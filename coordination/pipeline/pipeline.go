// Package pipeline schedules multi-stage requests on pools of replicas. It decides which
// requests are admitted (admission control), which items are batched into which call (dynamic
// batching), and when each call is sent to which replica.
//
// One Scheduler owns the replicas that it is given. A call costs a fixed time plus a time per
// item, so items of all requests share calls. A replica gets its next call when the previous
// one ends, which makes calls as full as the load requires and no fuller. Result memory is
// scheduled like time: a batch holds no more results than fit, and a result is freed as soon
// as its last reader has read it.
//
// The scheduler is pure: events and the current time go in, actions come out.
package pipeline

import (
	"cmp"
	"slices"
	"time"

	"quinceroad/coordination/shares"
	"quinceroad/state/catalog"
)

// Item is one item of a stage as a call carries it.
type Item struct {
	RequestID string
	Stage     int
	Index     int
	TimeLeft  time.Duration // until the result is useless
	Key       string        // Job.Key, for stages without inputs
	Inputs    []string      // handles of the results that the item reads
}

// Reason says why an item has no result.
type Reason int

// The reasons.
const (
	NoReason     Reason = iota
	Expired             // its deadline passed before it ran
	InputMissing        // a result that it reads no longer exists
	MemoryFull          // not enough result memory
	ItemFailed          // it ran and failed
)

// Result is the outcome of one item of a call.
type Result struct {
	Handle string // identifies the result at the replica that holds it; "" if there is none
	Reason Reason // why there is no result
}

// Outcome is how a call ended as a whole.
type Outcome int

// The outcomes.
const (
	Answered     Outcome = iota // results were returned
	Refused                     // the replica reports that it did not run the call
	WrongReplica                // a different replica has the address
	Unreachable                 // no connection; nothing was sent
	Broken                      // sent, but the answer is missing or incomplete
	Crashed                     // Broken, and the replica's incarnation has ended
	TimedOut                    // sent, but no answer arrived in time
	LinkLost                    // sent, but no answer can arrive: the caller is cut off from a sound replica
)

// Stage is one stage of a job.
type Stage struct {
	Service     string
	After       []int // indexes of earlier stages whose results it reads
	Items       int
	ResultBytes int64 // of one item's result
}

// Job describes the stages of a request.
type Job struct {
	RequestID     string
	Key           string // passed to the items of stages without inputs
	Customer      string
	ReportedUsage shares.UsageReport // of the customer, as reported with the request
	Rank          int                // 0 is the most urgent
	Hall          string             // hall in which its results are preferably made; "" for any
	Objective     time.Duration      // from now, by which the stages should be done
	Deadline      time.Duration      // from now, after which the results are useless
	Retry         bool               // the request was refused before
	AllowLate     bool               // the job may be admitted although it will be late
	ReplicaEnds   int                // replica incarnations that ended while they ran this request
	Needs         []shares.Need      // scarce resources that the request uses besides pools
	Stages        []Stage
}

// Uses reports whether the job has items for a service.
func (j Job) Uses(service string) bool {
	return slices.ContainsFunc(j.Stages, func(st Stage) bool { return st.Service == service && st.Items > 0 })
}

// Decision is the answer to a submitted job.
type Decision struct {
	ID          uint64 // of the job if it is admitted
	Admitted    bool
	RetryAfter  time.Duration   // delay after which a refused job may be submitted again
	Expected    time.Duration   // until the job's stages are done
	Uncontended time.Duration   // part of Expected that the stages take without queueing
	Limit       time.Duration   // a job with a longer Expected is refused
	Bottleneck  string          // service whose pool the job waits for longest; "" for none
	Stages      []Forecast      // forecast of each stage that has items
	Standing    shares.Standing // whether the job is within its customer's share
}

// Action is what the caller must do; it is one of the types below.
type Action interface{ action() }

// Call is to be sent to a replica; its outcome is passed to FinishCall.
type Call struct {
	ID      uint64
	Service string
	Replica string // ID of the incarnation
	Name    string // of the replica, the same in every incarnation
	Address string
	Items   []Item
	Timeout time.Duration
}

// Deliver hands over the results that the job's request reads.
type Deliver struct {
	Job         uint64
	Handles     []string
	BytesByHall map[string]int64 // bytes of these results
}

// Fail ends a job that can't be completed.
type Fail struct {
	Job        uint64
	Reason     string
	RetryAfter time.Duration
}

// Free releases results at a replica that nothing reads any more.
type Free struct {
	Service string
	Replica string // ID of the incarnation
	Address string
	Handles []string
}

// Cancel aborts a call whose answer is no longer needed.
type Cancel struct{ Call uint64 }

// ForeignHandle tells that a replica has returned a handle for an item while it holds it for
// another one. It is refused, and the item runs again.
type ForeignHandle struct {
	Service string
	Replica string // ID of the incarnation
	Handle  string
	Request string // of the item
	Owner   string // request of the item that the handle belongs to
}

func (Call) action()          {}
func (ForeignHandle) action() {}
func (Deliver) action()       {}
func (Fail) action()          {}
func (Free) action()          {}
func (Cancel) action()        {}

// Scheduler owns the replicas of its pools. It is not safe for concurrent use.
type Scheduler struct {
	opts        Options
	pools       map[string]*pool
	poolsByName []*pool // the values of pools, sorted by name
	jobs        map[uint64]*job
	calls       map[uint64]*call
	lastID      uint64
	lateStats   map[int]*lateStats // by rank
	shares      *shares.Allocator
	actions     []Action
	rateLimited bool // whether any replica had a rate limit at the last check
}

// New returns a scheduler without pools.
func New(opts ...Option) *Scheduler {
	return &Scheduler{
		opts:      newOptions(opts),
		pools:     make(map[string]*pool),
		jobs:      make(map[uint64]*job),
		calls:     make(map[uint64]*call),
		lateStats: make(map[int]*lateStats),
		shares:    shares.New(shares.DefaultOptions()),
	}
}

// SetPools updates the services that have pools and replaces the list of replicas.
func (s *Scheduler) SetPools(now time.Duration, services map[string]*catalog.Service, replicas []catalog.Replica) []Action {
	for name, service := range services {
		if service.Pool == nil {
			continue
		}
		p := s.pools[name]
		if p == nil {
			p = newPool(name)
			s.pools[name] = p
			s.poolsByName = append(s.poolsByName, p)
		}
		p.def = *service.Pool
		p.warmUpRate = 0
		if service.WarmUp != nil {
			p.warmUpRate = s.opts.WarmUpLimit.MaxPerSender(service.WarmUp.RequestsPerSecond)
		}
	}
	slices.SortFunc(s.poolsByName, func(a, b *pool) int { return cmp.Compare(a.name, b.name) })
	listed := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		p := s.pools[r.Service]
		if p == nil {
			continue
		}
		listed[r.ID] = true
		p.upsert(r)
	}
	for _, p := range s.poolsByName {
		p.removeUnlisted(listed)
	}
	s.dispatchAll(now)
	return s.takeActions()
}

// MarkDraining records that a replica is draining, in whatever way it announced that.
func (s *Scheduler) MarkDraining(id string) {
	for _, p := range s.poolsByName {
		if r := p.replicas[id]; r != nil {
			r.draining = true
		}
	}
}

// SetBackoff records until when a replica accepts no calls. The replica counts as free from then
// on, so jobs that have the time wait for it and others are refused. An earlier end than the
// recorded one is ignored.
func (s *Scheduler) SetBackoff(id string, until time.Duration) {
	for _, p := range s.poolsByName {
		if r := p.replicas[id]; r != nil {
			r.backoffUntil = max(r.backoffUntil, until)
		}
	}
}

// RecordReplicaState records the free result memory that a replica reports and whether it is
// running a call. This matters where another owner has used the replica recently.
func (s *Scheduler) RecordReplicaState(now time.Duration, id string, freeBytes int64, busy bool) {
	for _, p := range s.poolsByName {
		r := p.replicas[id]
		if r == nil {
			continue
		}
		r.foreignBytes = max(p.def.ResultMemory-freeBytes-r.heldBytes, 0)
		r.foreignAt = now
		if busy && r.call == nil {
			r.pausedUntil = max(r.pausedUntil, now+p.def.BatchTime)
		}
	}
}

// Submit decides on a job. An admitted job ends with a Deliver or Fail action, and Release
// must be called for it in any case.
func (s *Scheduler) Submit(now time.Duration, j Job) (Decision, []Action) {
	job, ok := s.newJob(now, j)
	if !ok {
		return Decision{RetryAfter: s.opts.DefaultRetryAfter, Standing: shares.Standing{Within: true}}, nil
	}
	standing := s.checkShare(now, job)
	decision := s.decide(now, job)
	decision.Standing = standing
	if decision.Expected > decision.Limit {
		decision.RetryAfter = s.retryAfter(decision)
		return decision, nil
	}
	if !job.overShare {
		s.shares.RecordServed(job.Customer, job.Rank, job.Needs)
	}
	s.lastID++
	job.id = s.lastID
	s.jobs[job.id] = job
	s.admit(now, job)
	s.dispatchAll(now)
	decision.ID, decision.Admitted = job.id, true
	return decision, s.takeActions()
}

// Release ends a job: its request has read the results or no longer needs them.
func (s *Scheduler) Release(now time.Duration, id uint64) []Action {
	if j := s.jobs[id]; j != nil {
		s.remove(now, j)
	}
	s.dispatchAll(now)
	return s.takeActions()
}

// Tick handles everything that is due because of the time alone, such as overdue calls and
// expired jobs. It must be called several times a second.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.retryOverdueCalls(now)
	s.throttle(now)
	s.endHopelessJobs(now)
	s.expireMemory(now)
	for _, p := range s.poolsByName {
		for _, r := range p.replicasByID {
			r.expireResults(now)
		}
	}
	s.dispatchAll(now)
	return s.takeActions()
}

func (s *Scheduler) takeActions() []Action {
	out := s.actions
	s.actions = nil
	return out
}

func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// Empty reports whether the scheduler has no pools.
func (s *Scheduler) Empty() bool { return len(s.pools) == 0 }

// Jobs returns the number of admitted jobs that have not ended.
func (s *Scheduler) Jobs() int { return len(s.jobs) }

// PoolState describes a pool in the state dump.
type PoolState struct {
	Service         string
	WaitingItems    int           `json:"Waiting"` // items that wait for a call
	BacklogTime     time.Duration `json:"Clear"`   // time until all admitted work is done
	BusyReplicas    int           `json:"AtWork"`  // replicas that run a call
	ServingReplicas int           `json:"Serving"` // replicas that count as capacity
}

// Pools returns the state of each pool, sorted by name.
func (s *Scheduler) Pools(now time.Duration) []PoolState {
	var out []PoolState
	for _, p := range s.poolsByName {
		st := PoolState{Service: p.name, WaitingItems: len(p.ready), BacklogTime: p.backlogTime(now)}
		for _, r := range p.replicasByID {
			if r.call != nil {
				st.BusyReplicas++
			}
			if r.isServing(now) {
				st.ServingReplicas++
			}
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b PoolState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
