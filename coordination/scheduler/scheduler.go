// Package scheduler decides, for one service, which queued stage runs next, on
// which replica, and which is refused because it can't be whole in time.
//
// The same machine serves twice: at the service's soft owner, where it holds
// the exact slots of all entries (policy permits), and inside an entry, over
// that entry's own view, when the owner can't be reached (policy local). It is
// pure: time comes in as an argument and randomness as a seed. See
// docs/design/scheduling.md.
package scheduler

import (
	"math"
	"math/rand/v2"
	"time"

	"quinceroad/state/fleet"
)

// Ask is one stage of one request waiting for a slot.
type Task struct {
	ID        uint64
	Holder    string // who asks; its permits end when it is gone
	Customer  string
	Weight    int
	Class     fleet.Class
	Deadline  time.Duration // of the whole request, on the scheduler's clock
	Remaining time.Duration // expected for the stages after this one
	Expected  time.Duration // expected for this stage
	Avoid     []string      // replicas that failed this stage before
}

// slack is what would be left if the stage started now.
func (a *Task) slack(now time.Duration) time.Duration {
	return a.Deadline - a.Remaining - now
}

// Reason is why an ask was refused.
type Reason string

// The reasons.
const (
	Overload  Reason = "overload"    // the queue is too long for its deadline
	TooLate   Reason = "doomed"      // waited until it could no longer be whole in time
	NoReplica Reason = "no_replicas" // the service has none that takes work
)

// Action is what the owner of the scheduler must tell a holder: a grant when
// Replica is set, that an announcement is admitted, else a refusal.
type Action struct {
	Task       uint64
	Holder     string
	Permit     uint64
	Replica    string
	Admitted   bool
	Reason     Reason
	RetryAfter time.Duration
}

// Granted reports whether the action is a grant.
func (a Action) Granted() bool { return a.Replica != "" }

type permit struct {
	replica *replica
	ask     askKey
	start   time.Duration
	expect  time.Duration
	late    bool
}

// waitMargin is what an expected wait may be wrong by, as a share of it.
const waitMargin = 0.5

// lookEvery is the longest time between two looks at the replicas in use.
const lookEvery = 100 * time.Millisecond

// mostMargin is the share of an ask's slack that its margin may take.
const mostMargin = 2.0 / 3

// Scheduler is not safe for concurrent use; its owner guards it (table.RankScheduler).
type Scheduler struct {
	opts     Options
	pool     *pool
	queue    *queue
	permits  map[uint64]*permit
	granted  map[askKey]uint64 // ask -> its permit
	next     uint64
	meanTook float64       // nanoseconds, over all replicas
	looked   time.Duration // when the replicas were last looked at
	out      []Action
}

// New returns a scheduler without replicas.
func New(seed uint64, opts ...Option) *Scheduler {
	o := newOptions(opts)
	return &Scheduler{
		opts:    o,
		pool:    newPool(o.Policy, rand.New(rand.NewPCG(seed, seed))),
		queue:   newQueue(),
		permits: make(map[uint64]*permit),
		granted: make(map[askKey]uint64),
	}
}

// Configure changes the options in force; the policy stays.
func (s *Scheduler) Configure(opts ...Option) {
	for _, f := range opts {
		f(&s.opts)
	}
}

// Ask takes in a stage: it is granted, refused at once, or queued.
func (s *Scheduler) Submit(now time.Duration, a Task) []Action {
	s.out = nil
	s.wake(now)
	if s.pool.len() == 0 {
		s.refuse(&a, NoReplica, s.opts.MinRetryAfter)
		return s.out
	}
	wait := s.expectWait(&a, 0)
	if s.queue.arrive(&a) {
		wait = 0 // it was admitted with its wait counted in
	}
	if s.opts.Shed > 0 && s.hopeless(now, &a, wait) {
		return s.out
	}
	s.queue.push(&a, s.dropAt(now, &a))
	s.pump(now)
	return s.out
}

// Announce takes in a stage that a request will ask for once its earlier
// stages are done, after about ready. It is admitted and counted from now on,
// or refused while nothing of the request has run.
func (s *Scheduler) Announce(now time.Duration, a Task, ready time.Duration) []Action {
	s.out = nil
	s.wake(now)
	if s.pool.len() == 0 {
		s.refuse(&a, NoReplica, s.opts.MinRetryAfter)
		return s.out
	}
	at := a // its slack counts from when it will be ready
	at.Deadline -= ready
	if s.opts.Shed > 0 && s.hopeless(now, &at, s.expectWait(&a, ready)) {
		return s.out
	}
	s.queue.announce(&a)
	s.out = append(s.out, Action{Task: a.ID, Holder: a.Holder, Admitted: true})
	return s.out
}

// hopeless refuses an ask that can't be whole in time even if all goes as expected.
func (s *Scheduler) hopeless(now time.Duration, a *Task, wait time.Duration) bool {
	need := a.Expected
	if wait > 0 {
		need = s.margin(now, a) + time.Duration(waitMargin*float64(wait))
	}
	left := a.slack(now) - wait - need
	if left >= 0 {
		return false
	}
	reason := Overload
	if wait == 0 {
		reason = TooLate
	}
	s.refuse(a, reason, max(wait, s.opts.MinRetryAfter))
	return true
}

// expectWait is how long the ask would queue, were it ready after that time:
// all slots together end one request every mean/slots.
func (s *Scheduler) expectWait(a *Task, ready time.Duration) time.Duration {
	slots := s.slots()
	first := len(s.permits) + s.queue.ahead(a) + 1 - slots // must end before it starts
	if slots == 0 || first <= 0 {
		return 0
	}
	took := max(s.meanTook, float64(a.Expected)/4)
	return max(time.Duration(float64(first)/float64(slots)*took)-ready, 0)
}

// slots is how many permits this scheduler may have out.
func (s *Scheduler) slots() int {
	return int(math.Ceil(s.opts.Share * float64(s.pool.slots())))
}

// full reports whether its share is out; baselines know no share.
func (s *Scheduler) full() bool {
	bounded := s.opts.Policy == Exact || s.opts.Policy == Local
	return bounded && s.opts.Share < 1 && len(s.permits) >= s.slots()
}

// margin is the slack that an ask which waits must have left when it starts:
// Shed times its expected time, but never so much that none could wait.
func (s *Scheduler) margin(now time.Duration, a *Task) time.Duration {
	m := s.opts.Shed * float64(a.Expected)
	return time.Duration(min(m, mostMargin*float64(max(a.slack(now), 0))))
}

// dropAt is when an ask that is queued now will be given up.
func (s *Scheduler) dropAt(now time.Duration, a *Task) time.Duration {
	return a.Deadline - a.Remaining - s.margin(now, a)
}

// Done returns a permit's slot after took; zero means that it was not used.
func (s *Scheduler) Release(now time.Duration, id uint64, took time.Duration, failed bool) []Action {
	s.out = nil
	p, ok := s.permits[id]
	if !ok {
		return nil
	}
	s.forget(id, p)
	if took == 0 && !failed {
		s.pool.drop(p)
		s.pump(now)
		return s.out
	}
	s.pool.release(now, p, took, failed, s.opts)
	if !failed {
		s.meanTook += 0.02 * (float64(took) - s.meanTook)
		if s.meanTook < float64(took)/50 {
			s.meanTook = float64(took)
		}
	}
	s.pump(now)
	return s.out
}

func (s *Scheduler) forget(id uint64, p *permit) {
	delete(s.permits, id)
	delete(s.granted, p.ask)
}

// Cancel drops an ask or announcement whose caller gave it up; if it was
// granted meanwhile, its slot is free again.
func (s *Scheduler) Cancel(now time.Duration, id uint64, holder string) []Action {
	s.queue.cancel(id, holder)
	permit, ok := s.granted[askKey{holder, id}]
	if !ok {
		return nil
	}
	return s.Release(now, permit, 0, false)
}

// DropHolder ends the permits and asks of a holder that is gone.
func (s *Scheduler) DropHolder(now time.Duration, holder string) []Action {
	s.out = nil
	s.queue.dropHolder(holder)
	for id, p := range s.permits {
		if p.ask.holder == holder {
			s.forget(id, p)
			s.pool.drop(p)
		}
	}
	s.pump(now)
	return s.out
}

// SetReplicas gives the replicas that may take work, with their slots.
func (s *Scheduler) SetReplicas(now time.Duration, slots map[string]int) []Action {
	s.out = nil
	s.pool.set(now, slots)
	s.pool.refresh(now, s.opts)
	s.pump(now)
	return s.out
}

// Idle reports whether nothing runs, waits or was announced; an idle scheduler
// needs no ticks.
func (s *Scheduler) Idle() bool {
	return len(s.permits)+s.queue.len()+len(s.queue.coming) == 0
}

// Tick drops the doomed and looks at replicas whose requests are overdue; call
// it about every 20 ms unless it is idle.
func (s *Scheduler) Tick(now time.Duration) []Action {
	s.out = nil
	s.look(now)
	s.pump(now)
	return s.out
}

// wake looks at the replicas when no tick has for a while.
func (s *Scheduler) wake(now time.Duration) {
	if now-s.looked > lookEvery {
		s.look(now)
	}
}

func (s *Scheduler) look(now time.Duration) {
	s.looked = now
	for _, p := range s.permits {
		s.pool.watch(now, p, s.opts)
	}
	s.pool.refresh(now, s.opts)
}

// pump refuses the doomed, then grants while there are asks and slots.
func (s *Scheduler) pump(now time.Duration) {
	if s.opts.Shed > 0 {
		s.queue.expire(now)
		for a := s.queue.popDoomed(now); a != nil; a = s.queue.popDoomed(now) {
			s.refuse(a, TooLate, max(s.expectWait(a, 0), s.opts.MinRetryAfter))
		}
	}
	for s.queue.len() > 0 && !s.full() {
		r := s.pool.pick(nil)
		if r == nil {
			return
		}
		a := s.queue.pop()
		if len(a.Avoid) > 0 {
			if other := s.pool.pick(a.Avoid); other != nil {
				r = other
			}
		}
		s.grant(now, a, r)
	}
}

func (s *Scheduler) grant(now time.Duration, a *Task, r *replica) {
	s.next++
	key := askKey{a.Holder, a.ID}
	s.permits[s.next] = &permit{replica: r, ask: key, start: now, expect: a.Expected}
	s.granted[key] = s.next
	s.pool.take(now, r, s.opts)
	s.out = append(s.out, Action{Task: a.ID, Holder: a.Holder, Permit: s.next, Replica: r.id})
}

func (s *Scheduler) refuse(a *Task, why Reason, after time.Duration) {
	s.out = append(s.out, Action{Task: a.ID, Holder: a.Holder, Reason: why, RetryAfter: after})
}

// Stats is a scheduler's state for dumps and load figures.
type Stats struct {
	Policy    Policy         `json:"policy"`
	Queued    int            `json:"queued"`
	Announced int            `json:"coming"` // announced
	Running   int            `json:"running"`
	Slots     int            `json:"slots"`
	Replicas  []ReplicaStats `json:"replicas"`
}

// Stats returns the scheduler's state.
func (s *Scheduler) Stats() Stats {
	return Stats{
		Policy:    s.opts.Policy,
		Queued:    s.queue.len(),
		Announced: len(s.queue.coming),
		Running:   len(s.permits),
		Slots:     s.pool.slots(),
		Replicas:  s.pool.stats(),
	}
}
