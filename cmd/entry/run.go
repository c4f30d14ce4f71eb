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

// run is the state of one request while its pipeline is executed.
type run struct {
	id           string
	view         *view
	customer     *fleet.Customer
	pipeline     *fleet.Pipeline
	class        fleet.Class
	input        []byte // of the first stage
	body         []byte // unparsed request body, for forwarding
	stream       bool
	received     time.Time
	deadline     time.Time
	record       *outcome.Record
	onToken      func(string) // nil unless the response is streamed
	disconnected atomic.Bool  // the client disconnected
	// probeConnection reports whether the client disconnected. It is nil for streamed
	// runs and for numbered ones, which continue without their client.
	probeConnection func() bool

	announcements     []*announcement // by stage; nil if not announced or already taken
	admissionsAwaited bool            // the owners' responses to the announcements were awaited
	reports           []api.Stage
	cost              float64 // cost units of all attempts
	atMostOnceSent    bool    // an at-most-once stage was sent and its outcome is unknown
}

// abandon records that the client disconnected; no further stage starts.
func (r *run) abandon() { r.disconnected.Store(true) }

// abandoned reports whether the client disconnected.
func (r *run) abandoned() bool {
	if r.probeConnection != nil && !r.disconnected.Load() && r.probeConnection() {
		r.abandon()
	}
	return r.disconnected.Load()
}

func (r *run) timeLeft() time.Duration { return time.Until(r.deadline) }

// runResult is the outcome of a run: exactly one field is set.
type runResult struct {
	answer *api.RunAnswer
	err    *api.Error
}

func (f *runResult) outcome() outcome.Kind {
	if f.err != nil {
		return f.err.Outcome
	}
	return outcome.Done
}

// admitAndRun checks the customer's rate limit and the request's deadline, then executes
// the run. From then on only the schedulers of its stages can refuse it.
func (e *Entry) admitAndRun(r *run) *runResult {
	if e.refusing.Load() {
		return e.refuse(r, 503, "stopping", "this instance is stopping; use another address", 0)
	}
	if ok, after := e.limits.admit(r.customer, r.view.liveCount); !ok {
		return e.refuse(r, 429, "rate_limited", "the customer is over its declared rate", after)
	}
	expected := e.expectedTotal(r)
	if r.view.fleet.ShedSlackFactor > 0 && expected > r.timeLeft() {
		return e.refuse(r, 503, "deadline_too_short", fmt.Sprintf("its stages take about %s, %s is left", expected.Round(time.Millisecond), r.timeLeft().Round(time.Millisecond)), 0)
	}
	return e.execute(r)
}

// refuse ends a run with the outcome not_run. If a dispatched attempt may have run, that
// outcome is not certain and the run ends as failed or unknown.
func (e *Entry) refuse(r *run, status int, code, detail string, after time.Duration) *runResult {
	ref, ok := r.record.Refuse(code, after)
	if !ok {
		return e.failRun(r, status, code, detail)
	}
	return &runResult{err: &api.Error{
		ID: r.id, Status: status, Code: ref.Reason(), Detail: detail, Outcome: outcome.NotRun,
		RetryAfterMS: ref.RetryAfter().Milliseconds(), Addresses: e.chooseAddresses(r.view, ""),
	}}
}

// failRun ends a run that was started and has no complete result: unknown if an
// at-most-once stage may have run, failed otherwise.
func (e *Entry) failRun(r *run, status int, code, detail string) *runResult {
	kind := outcome.Failed
	if r.atMostOnceSent {
		kind = outcome.Unknown
	}
	return &runResult{err: &api.Error{ID: r.id, Status: status, Code: code, Detail: detail, Outcome: kind}}
}

// execute runs the stages in sequence, each on the output of the previous one.
func (e *Entry) execute(r *run) *runResult {
	e.announceStages(r)
	defer e.withdrawUnused(r)
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
	e.counters.latency.Update(elapsed.Microseconds())
	return &runResult{answer: &api.RunAnswer{
		ID: r.id, Outcome: outcome.Done, Output: string(input), Count: len(input), Digest: upstream.Digest(input),
		ElapsedMS: millis(elapsed), Cost: r.cost, Stages: r.reports,
	}}
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// estimate returns the learned execution times of a stage.
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

// expectedTotal returns the expected execution time of all stages.
func (e *Entry) expectedTotal(r *run) time.Duration { return e.expectedFrom(r, 0) }

// expectedFrom returns the expected execution time of stage i and all after it. The
// input sizes of later stages are not known yet, so the size of the request's input is
// used for all.
func (e *Entry) expectedFrom(r *run, i int) time.Duration {
	var sum time.Duration
	for ; i < len(r.pipeline.Stages); i++ {
		sum += e.estimate(r.pipeline, &r.pipeline.Stages[i]).mean(len(r.input))
	}
	return sum
}
