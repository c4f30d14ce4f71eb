package entry

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"time"

	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/api"
	"quinceroad/protocol/event"
	"quinceroad/state/fleet"
	"quinceroad/transport/upstream"
)

const (
	mostAttempts = 4
	onceGrace    = 5 * time.Second // a stage with an effect may end so long after the deadline
)

// stageRun is one stage of a run, over its attempts.
type stageRun struct {
	*run
	stage  *fleet.Stage
	input  []byte
	est    *stageEstimate
	rest   time.Duration // expected for the stages after it
	avoid  []string
	sent   int      // attempts written to a replica
	tries  int      // those and connections that failed
	tokens []string // of all attempts
}

// runStage runs stage i until it has a whole output or the run ends.
func (e *Entry) runStage(r *run, i int, input []byte) ([]byte, *final) {
	st := &r.pipeline.Stages[i]
	s := &stageRun{run: r, stage: st, input: input, est: e.estimate(r.pipeline, st), rest: e.expectFrom(r, i+1)}
	for {
		s.tries++
		began := time.Now()
		sl, act := e.slots.acquire(st.Service, s.ask(), r.left(), r.useBooking(i))
		queued := time.Since(began)
		e.count.queue.Update(queued.Microseconds())
		if sl == nil {
			return nil, e.noSlot(r, st, act)
		}
		if fail := e.settleFirst(r, i, sl); fail != nil {
			return nil, fail
		}
		out, took, err := e.attempt(s, sl)
		if err == nil {
			s.report(sl.replica, queued, took)
			e.earnRetry()
			return out, nil
		}
		if fail := e.mayRetry(s, err); fail != nil {
			return nil, fail
		}
		s.avoid = append(s.avoid, sl.replica)
	}
}

// settleFirst holds the first stage back until the later ones' announcements
// are answered; the answers were on their way while its slot was.
func (e *Entry) settleFirst(r *run, i int, sl *slot) *final {
	if i > 0 || r.settled {
		return nil
	}
	r.settled = true
	fail := e.settleAll(r)
	if fail != nil {
		sl.done(0, false)
	}
	return fail
}

func (s *stageRun) ask() scheduler.Task {
	return scheduler.Task{
		Customer: s.customer.Name, Weight: s.customer.Weight, Class: s.class,
		Remaining: s.rest, Expected: s.est.mean(len(s.input)), Avoid: s.avoid,
	}
}

// noSlot ends a run whose stage was refused a slot.
func (e *Entry) noSlot(r *run, st *fleet.Stage, a scheduler.Action) *final {
	detail := fmt.Sprintf("stage %s can't be whole within the deadline: %s", st.Name, a.Reason)
	return e.refuse(r, 503, string(a.Reason), detail, a.RetryAfter)
}

// The errors of an attempt, beside the upstream client's.
var (
	errGone    = errors.New("the replica is gone or leaving")
	errRefused = errors.New("the replica refused and did not run it")
	errStatus  = errors.New("the replica answered an error")
)

// attempt runs the stage once on the slot's replica.
func (e *Entry) attempt(s *stageRun, sl *slot) ([]byte, time.Duration, error) {
	rep, ok := e.view.Load().replicas[sl.replica]
	if !ok || rep.Leaving || e.leaves(rep) {
		sl.done(0, false)
		return nil, 0, errGone
	}
	conn, err := e.upstreams.Connect(rep.Address)
	if err != nil {
		sl.done(0, true)
		return nil, 0, err
	}
	d, ok := s.record.Dispatch()
	if !ok {
		conn.Close()
		sl.done(0, false)
		return nil, 0, upstream.ErrNotDispatched
	}
	s.sent++
	s.onceSent = s.stage.AtMostOnce
	call := s.call()
	began := time.Now()
	ans, err := conn.Do(d, call)
	took := time.Since(began)
	s.addCost(took)
	if ans != nil {
		s.tokens = append(s.tokens, ans.Tokens...)
		e.noteAnswer(rep, ans.Draining, ans.Incarnation)
	}
	if err == nil {
		err = judge(s, ans)
	}
	e.finishSlot(s, sl, took, err)
	if err != nil {
		e.noteDropped(s, rep.ID, err)
		return nil, took, err
	}
	s.onceSent = false
	return ans.Body, took, nil
}

// call describes the attempt to the replica.
func (s *stageRun) call() *upstream.Call {
	deadline := s.deadline.Add(-s.rest / 2) // later it can't be whole in time, so free the slot
	if s.stage.AtMostOnce {
		deadline = s.deadline.Add(onceGrace)
	}
	c := &upstream.Call{
		Request: s.id, Stage: s.stage.Name, Attempt: s.sent, Operation: s.stage.Operation, Class: int(s.class),
		Input: s.input, PriorTokens: slices.Clone(s.tokens), Deadline: deadline,
	}
	if s.streams() {
		c.OnToken = s.onToken
	}
	return c
}

// streams reports whether the stage's tokens are the run's answer.
func (s *stageRun) streams() bool {
	last := &s.pipeline.Stages[len(s.pipeline.Stages)-1]
	return s.onToken != nil && s.stage == last
}

// judge turns a complete HTTP answer into an error unless it is a result.
func judge(s *stageRun, a *upstream.Answer) error {
	switch {
	case a.Refused:
		s.onceSent = false // it says that it did not run
		return errRefused
	case a.Status != 200:
		s.onceSent = false // it ran and said no: a failure, but a known one
		return fmt.Errorf("%w: status %d", errStatus, a.Status)
	}
	return nil
}

func (e *Entry) finishSlot(s *stageRun, sl *slot, took time.Duration, err error) {
	switch {
	case err == nil:
		s.est.observe(len(s.input), took)
		sl.done(took, false)
	case errors.Is(err, errRefused):
		sl.done(0, true)
	case errors.Is(err, os.ErrDeadlineExceeded):
		// Too late is no sign of a broken replica, but of at least so long a
		// time: left out, the estimates would know the short ones only.
		s.est.observe(len(s.input), took)
		sl.done(took, false)
	default:
		sl.done(took, true)
	}
}

func (s *stageRun) addCost(took time.Duration) {
	if svc, ok := s.view.fleet.Service(s.stage.Service); ok {
		s.cost += took.Seconds() * svc.Cost
	}
}

func (s *stageRun) report(replica string, queued, took time.Duration) {
	svc, _ := s.view.fleet.Service(s.stage.Service)
	s.reports = append(s.reports, api.Stage{
		Name: s.stage.Name, Service: s.stage.Service, Replica: replica, Attempts: s.sent,
		QueueMS: millis(queued), TimeMS: millis(took), Cost: took.Seconds() * svc.Cost,
	})
}

// mayRetry returns nil when the stage may be tried again, else the run's end.
func (e *Entry) mayRetry(s *stageRun, err error) *final {
	free := errors.Is(err, errGone) || errors.Is(err, errRefused) || errors.Is(err, upstream.ErrConnect)
	switch {
	case s.left() <= 0 || (s.left() < s.rest/2 && !s.stage.AtMostOnce):
		return e.end(s.run, 504, "deadline", fmt.Sprintf("stage %s was not whole in time", s.stage.Name))
	case s.tries >= mostAttempts:
		return e.refuse(s.run, 502, "upstream_failed", fmt.Sprintf("stage %s: %v after %d tries", s.stage.Name, err, s.tries), 0)
	case s.stage.AtMostOnce && !free:
		return e.end(s.run, 502, "upstream_failed", fmt.Sprintf("stage %s: %v", s.stage.Name, err))
	case s.abandoned():
		return e.refuse(s.run, 499, "abandoned", "the caller went away", 0)
	case !free && !e.takeRetry():
		return e.end(s.run, 502, "upstream_failed", fmt.Sprintf("stage %s: %v; the retry budget is spent", s.stage.Name, err))
	}
	e.count.retries.Inc(1)
	if len(s.tokens) > 0 {
		e.count.resumed.Inc(1)
	}
	return nil
}

func (e *Entry) earnRetry() {
	e.retriesMu.Lock()
	defer e.retriesMu.Unlock()
	e.retries.RecordSuccess()
}

func (e *Entry) takeRetry() bool {
	e.retriesMu.Lock()
	defer e.retriesMu.Unlock()
	return e.retries.Take()
}

// noteDropped counts and logs an answer that was not used.
func (e *Entry) noteDropped(s *stageRun, replica string, err error) {
	if errors.Is(err, upstream.ErrWrongRequest) || errors.Is(err, upstream.ErrIncomplete) {
		e.count.dropped.Inc(1)
		event.AnswerDropped.Log(e.log, "request", s.id, "stage", s.stage.Name, "replica", replica, "error", err.Error())
	}
}
