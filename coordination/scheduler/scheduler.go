// Package scheduler decides, for one service, which queued stage runs next (by class,
// weighted fair queuing among customers, and least slack) and on which replica (the least
// loaded one), and refuses stages that can't meet their deadline.
//
// It is used in two places: at the service's owner, where it holds the exact slots of
// all entries (policy permits), and inside an entry, with that entry's own view, when
// the owner can't be reached (policy local). It is pure: time is an argument and
// randomness comes from a seed. See docs/design/scheduling.md.
package scheduler

import (
	"math"
	"math/rand/v2"
	"time"

	"quinceroad/state/fleet"
)

// Task is one stage of a request that needs a slot.
type Task struct {
	ID        uint64
	Holder    string // process that submits the task; its permits end with it
	Customer  string
	Weight    int // of the customer in fair sharing; values below 1 count as 1
	Class     fleet.Class
	Deadline  time.Duration // of the whole request, on the scheduler's clock
	Remaining time.Duration // expected time of the stages after this one
	Expected  time.Duration // expected time of this stage
	Avoid     []string      // replicas on which this stage has failed
}

// slack is the time left to start the stage if everything takes as long as expected.
func (t *Task) slack(now time.Duration) time.Duration {
	return t.Deadline - t.Remaining - now
}

// Reason is why a task was refused.
type Reason string

// The reasons.
const (
	Overload  Reason = "overload"    // the queue is too long for its deadline
	TooLate   Reason = "doomed"      // its deadline can no longer be met
	NoReplica Reason = "no_replicas" // the service has no replica that accepts tasks
)

// Action is what the owner of the scheduler must tell a holder: a grant if Replica is
// set, an admitted announcement if Admitted is set, otherwise a refusal.
type Action struct {
	Task       uint64
	Holder     string
	Permit     uint64 // for a grant: the ID to pass to Release
	Replica    string
	Admitted   bool
	Reason     Reason
	RetryAfter time.Duration // for a refusal: when the caller may retry
}

// Granted reports whether the action is a grant.
func (a Action) Granted() bool { return a.Replica != "" }

type permit struct {
	replica  *replica
	task     taskKey
	start    time.Duration
	expected time.Duration // expected time of the task
	late     bool          // counted in the replica's lateCount
}

// waitMargin is the possible error of an expected wait, as a fraction of it.
const waitMargin = 0.5

// maxRefreshInterval is the longest time between two refreshes of the replicas in use.
const maxRefreshInterval = 100 * time.Millisecond

// maxMargin is the fraction of a task's slack that its margin may use.
const maxMargin = 2.0 / 3

// Scheduler is not safe for concurrent use; its owner must lock it (rank
// table.RankScheduler).
type Scheduler struct {
	opts        Options
	pool        *pool
	queue       *queue
	permits     map[uint64]*permit
	granted     map[taskKey]uint64 // by task
	lastPermit  uint64
	meanTime    float64       // moving average of task times over all replicas, in nanoseconds
	refreshedAt time.Duration // when the replicas were last refreshed
	actions     []Action
}

// New returns a scheduler without replicas.
func New(seed uint64, opts ...Option) *Scheduler {
	o := newOptions(opts)
	return &Scheduler{
		opts:    o,
		pool:    newPool(o.Policy, rand.New(rand.NewPCG(seed, seed))),
		queue:   newQueue(),
		permits: make(map[uint64]*permit),
		granted: make(map[taskKey]uint64),
	}
}

// Configure changes the options in force, except for the policy.
func (s *Scheduler) Configure(opts ...Option) {
	for _, f := range opts {
		f(&s.opts)
	}
}

// Submit grants a slot to a stage, refuses it at once, or queues it.
func (s *Scheduler) Submit(now time.Duration, t Task) []Action {
	s.actions = nil
	s.refreshIfStale(now)
	if s.pool.len() == 0 {
		s.refuse(&t, NoReplica, s.opts.MinRetryAfter)
		return s.actions
	}
	wait := s.expectedWait(&t, 0)
	if s.queue.endAnnouncement(&t) {
		wait = 0 // its wait was accounted for when the announcement was admitted
	}
	if s.opts.ShedSlackFactor > 0 && s.refuseIfHopeless(now, &t, wait) {
		return s.actions
	}
	s.queue.push(&t, s.dropAt(now, &t))
	s.dispatch(now)
	return s.actions
}

// Announce reserves a place for a stage that a request will submit once its earlier
// stages are done, in about ready. It counts the stage from now on, or refuses it
// before anything of the request has run.
func (s *Scheduler) Announce(now time.Duration, t Task, ready time.Duration) []Action {
	s.actions = nil
	s.refreshIfStale(now)
	if s.pool.len() == 0 {
		s.refuse(&t, NoReplica, s.opts.MinRetryAfter)
		return s.actions
	}
	shifted := t // its slack counts from when it will be ready
	shifted.Deadline -= ready
	if s.opts.ShedSlackFactor > 0 && s.refuseIfHopeless(now, &shifted, s.expectedWait(&t, ready)) {
		return s.actions
	}
	s.queue.announce(&t)
	s.actions = append(s.actions, Action{Task: t.ID, Holder: t.Holder, Admitted: true})
	return s.actions
}

// refuseIfHopeless refuses a task that can't meet its deadline even if everything takes
// as long as expected.
func (s *Scheduler) refuseIfHopeless(now time.Duration, t *Task, wait time.Duration) bool {
	need := t.Expected
	if wait > 0 {
		need = s.margin(now, t) + time.Duration(waitMargin*float64(wait))
	}
	left := t.slack(now) - wait - need
	if left >= 0 {
		return false
	}
	reason := Overload
	if wait == 0 {
		reason = TooLate
	}
	s.refuse(t, reason, max(wait, s.opts.MinRetryAfter))
	return true
}

// expectedWait is how long the task would queue if it became ready after the given
// time: all slots together complete one task every meanTime/slots.
func (s *Scheduler) expectedWait(t *Task, ready time.Duration) time.Duration {
	slots := s.slots()
	ahead := len(s.permits) + s.queue.ahead(t) + 1 - slots // tasks that must end before it starts
	if slots == 0 || ahead <= 0 {
		return 0
	}
	took := max(s.meanTime, float64(t.Expected)/4)
	return max(time.Duration(float64(ahead)/float64(slots)*took)-ready, 0)
}

// slots is the number of permits that this scheduler may issue.
func (s *Scheduler) slots() int {
	return int(math.Ceil(s.opts.Share * float64(s.pool.slots())))
}

// full reports whether this scheduler has issued all its permits; the baseline policies
// have no such limit.
func (s *Scheduler) full() bool {
	bounded := s.opts.Policy == Exact || s.opts.Policy == Local
	return bounded && s.opts.Share < 1 && len(s.permits) >= s.slots()
}

// margin is the slack that a waiting task must have left when it starts: ShedSlackFactor
// times its expected time, but no more than maxMargin of its current slack, so that some
// wait is always possible.
func (s *Scheduler) margin(now time.Duration, t *Task) time.Duration {
	m := s.opts.ShedSlackFactor * float64(t.Expected)
	return time.Duration(min(m, maxMargin*float64(max(t.slack(now), 0))))
}

// dropAt is when a task that is queued now will be dropped.
func (s *Scheduler) dropAt(now time.Duration, t *Task) time.Duration {
	return t.Deadline - t.Remaining - s.margin(now, t)
}

// Release returns a permit's slot after the task ran for took; zero means that the
// permit was not used.
func (s *Scheduler) Release(now time.Duration, id uint64, took time.Duration, failed bool) []Action {
	s.actions = nil
	p, ok := s.permits[id]
	if !ok {
		return nil
	}
	s.removePermit(id, p)
	if took == 0 && !failed {
		s.pool.returnSlot(p)
		s.dispatch(now)
		return s.actions
	}
	s.pool.release(now, p, took, failed, s.opts)
	if !failed {
		s.meanTime += 0.02 * (float64(took) - s.meanTime)
		if s.meanTime < float64(took)/50 {
			s.meanTime = float64(took)
		}
	}
	s.dispatch(now)
	return s.actions
}

func (s *Scheduler) removePermit(id uint64, p *permit) {
	delete(s.permits, id)
	delete(s.granted, p.task)
}

// Cancel drops a task or announcement that its caller gave up. If it was granted
// meanwhile, its slot is returned.
func (s *Scheduler) Cancel(now time.Duration, id uint64, holder string) []Action {
	s.queue.cancel(id, holder)
	permit, ok := s.granted[taskKey{holder, id}]
	if !ok {
		return nil
	}
	return s.Release(now, permit, 0, false)
}

// DropHolder ends the permits and tasks of a holder that is gone.
func (s *Scheduler) DropHolder(now time.Duration, holder string) []Action {
	s.actions = nil
	s.queue.dropHolder(holder)
	for id, p := range s.permits {
		if p.task.holder == holder {
			s.removePermit(id, p)
			s.pool.returnSlot(p)
		}
	}
	s.dispatch(now)
	return s.actions
}

// SetReplicas sets the replicas that accept tasks, with their slots.
func (s *Scheduler) SetReplicas(now time.Duration, slots map[string]int) []Action {
	s.actions = nil
	s.pool.setReplicas(now, slots)
	s.pool.refresh(now, s.opts)
	s.dispatch(now)
	return s.actions
}

// Idle reports whether nothing runs, waits or is announced; an idle scheduler needs no
// ticks.
func (s *Scheduler) Idle() bool {
	return len(s.permits)+s.queue.len()+len(s.queue.announced) == 0
}

// Tick drops tasks that can no longer meet their deadline and checks replicas for
// overdue tasks. Call it about every 20 ms unless the scheduler is idle.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.actions = nil
	s.refresh(now)
	s.dispatch(now)
	return s.actions
}

// refreshIfStale refreshes the replicas if no tick has done so recently.
func (s *Scheduler) refreshIfStale(now time.Duration) {
	if now-s.refreshedAt > maxRefreshInterval {
		s.refresh(now)
	}
}

func (s *Scheduler) refresh(now time.Duration) {
	s.refreshedAt = now
	for _, p := range s.permits {
		s.pool.markLate(now, p, s.opts)
	}
	s.pool.refresh(now, s.opts)
}

// dispatch refuses tasks that can no longer meet their deadline, then grants slots
// while there are queued tasks and free slots.
func (s *Scheduler) dispatch(now time.Duration) {
	if s.opts.ShedSlackFactor > 0 {
		s.queue.expire(now)
		for t := s.queue.popExpired(now); t != nil; t = s.queue.popExpired(now) {
			s.refuse(t, TooLate, max(s.expectedWait(t, 0), s.opts.MinRetryAfter))
		}
	}
	for s.queue.len() > 0 && !s.full() {
		r := s.pool.pick(nil)
		if r == nil {
			return
		}
		t := s.queue.pop()
		if len(t.Avoid) > 0 {
			if other := s.pool.pick(t.Avoid); other != nil {
				r = other
			}
		}
		s.grant(now, t, r)
	}
}

func (s *Scheduler) grant(now time.Duration, t *Task, r *replica) {
	s.lastPermit++
	key := taskKey{t.Holder, t.ID}
	s.permits[s.lastPermit] = &permit{replica: r, task: key, start: now, expected: t.Expected}
	s.granted[key] = s.lastPermit
	s.pool.acquire(now, r, s.opts)
	s.actions = append(s.actions, Action{Task: t.ID, Holder: t.Holder, Permit: s.lastPermit, Replica: r.id})
}

func (s *Scheduler) refuse(t *Task, why Reason, after time.Duration) {
	s.actions = append(s.actions, Action{Task: t.ID, Holder: t.Holder, Reason: why, RetryAfter: after})
}

// Stats is a scheduler's state for dumps and load figures.
type Stats struct {
	Policy    Policy         `json:"policy"`
	Queued    int            `json:"queued"`
	Announced int            `json:"coming"`
	Running   int            `json:"running"`
	Slots     int            `json:"slots"`
	Replicas  []ReplicaStats `json:"replicas"`
}

// Stats returns the scheduler's state.
func (s *Scheduler) Stats() Stats {
	return Stats{
		Policy:    s.opts.Policy,
		Queued:    s.queue.len(),
		Announced: len(s.queue.announced),
		Running:   len(s.permits),
		Slots:     s.pool.slots(),
		Replicas:  s.pool.stats(),
	}
}
