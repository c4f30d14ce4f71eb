package entry

import (
	"fmt"
	"sync/atomic"
	"time"

	"quinceroad/coordination/estimate"
	"quinceroad/coordination/outcome"
	"quinceroad/protocol/api"
	"quinceroad/state/fleet"
	"quinceroad/transport/upstream"
)

// run is one request on its way through its pipeline.
type run struct {
	id       string
	view     *view
	customer *fleet.Customer
	pipeline *fleet.Pipeline
	class    fleet.Class
	input    []byte
	body     []byte // as it came, for forwarding
	stream   bool
	received time.Time
	deadline time.Time
	record   *outcome.Record
	onToken  func(string) // nil unless the answer streams
	gone     atomic.Bool  // the caller went away
	look     func() bool  // tells whether the caller went away; nil for numbered runs, which go on

	bookings []*booking // by stage; nil: none, or used
	settled  bool       // the bookings were answered
	reports  []api.Stage
	cost     float64
	onceSent bool // a stage with an effect was written, and its answer is not known
}

// abandon notes that the caller went away; the next stage does not start.
func (r *run) abandon() { r.gone.Store(true) }

// abandoned reports whether the caller went away.
func (r *run) abandoned() bool {
	if r.look != nil && !r.gone.Load() && r.look() {
		r.abandon()
	}
	return r.gone.Load()
}

func (r *run) left() time.Duration { return time.Until(r.deadline) }

// final is a run's answer: either is set.
type final struct {
	answer *api.RunAnswer
	err    *api.Error
}

func (f *final) outcome() outcome.Kind {
	if f.err != nil {
		return f.err.Outcome
	}
	return outcome.Done
}

// admitAndRun is where a request is admitted: past this a slot decides.
func (e *Entry) admitAndRun(r *run) *final {
	if e.refusing.Load() {
		return e.refuse(r, 503, "stopping", "this instance is stopping; use another address", 0)
	}
	if ok, after := e.limits.take(r.customer, r.view.live); !ok {
		return e.refuse(r, 429, "rate_limited", "the customer is over its declared rate", after)
	}
	need := e.expectAll(r)
	if r.view.fleet.ShedSlackFactor > 0 && need > r.left() {
		return e.refuse(r, 503, "deadline_too_short", fmt.Sprintf("its stages take about %s, %s is left", need.Round(time.Millisecond), r.left().Round(time.Millisecond)), 0)
	}
	return e.execute(r)
}

// refuse ends a run that was not run; when that can't be said any more it ends
// as failed or unknown.
func (e *Entry) refuse(r *run, status int, code, detail string, after time.Duration) *final {
	ref, ok := r.record.Refuse(code, after)
	if !ok {
		return e.end(r, status, code, detail)
	}
	return &final{err: &api.Error{
		ID: r.id, Status: status, Code: ref.Reason(), Detail: detail, Outcome: outcome.NotRun,
		RetryAfterMS: ref.RetryAfter().Milliseconds(), Addresses: e.choose(r.view, ""),
	}}
}

// end answers a run that began and has no whole answer.
func (e *Entry) end(r *run, status int, code, detail string) *final {
	kind := outcome.Failed
	if r.onceSent {
		kind = outcome.Unknown
	}
	return &final{err: &api.Error{ID: r.id, Status: status, Code: code, Detail: detail, Outcome: kind}}
}

// execute runs the stages one after the other.
func (e *Entry) execute(r *run) *final {
	e.bookAll(r)
	defer e.unbookAll(r)
	input := r.input
	for i := range r.pipeline.Stages {
		if r.abandoned() {
			return e.refuse(r, 499, "abandoned", "the caller went away", 0)
		}
		out, fail := e.runStage(r, i, input)
		if fail != nil {
			return fail
		}
		input = out
	}
	elapsed := time.Since(r.received)
	e.count.latency.Update(elapsed.Microseconds())
	return &final{answer: &api.RunAnswer{
		ID: r.id, Outcome: outcome.Done, Output: string(input), Count: len(input), Digest: upstream.Digest(input),
		ElapsedMS: millis(elapsed), Cost: r.cost, Stages: r.reports,
	}}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// estimate returns the learnt times of a stage.
func (e *Entry) estimate(p *fleet.Pipeline, s *fleet.Stage) *stageEstimate {
	return e.estimates.GetOrPut(stageKey{p.Name, s.Name}, func() *stageEstimate {
		return &stageEstimate{Estimator: estimate.New(s.ExpectedTime())}
	})
}

func (s *stageEstimate) mean(size int) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.Mean(size)
}

func (s *stageEstimate) observe(size int, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Observe(size, took)
}

// expectAll is how long all stages are expected to take.
func (e *Entry) expectAll(r *run) time.Duration { return e.expectFrom(r, 0) }

// expectFrom is how long the stages from i on are expected to take. The sizes
// of later stages' inputs are not known yet: the first input's stands for them.
func (e *Entry) expectFrom(r *run, i int) time.Duration {
	var sum time.Duration
	for ; i < len(r.pipeline.Stages); i++ {
		sum += e.estimate(r.pipeline, &r.pipeline.Stages[i]).mean(len(r.input))
	}
	return sum
}
