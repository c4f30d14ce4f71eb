package node

import (
	"context"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/placement"
)

const (
	// Maximum wait of a trial for an engine without other suspects, so that its outcome is
	// unambiguous. Most suspects end by then.
	isolationTimeout  = 1500 * time.Millisecond
	isolationInterval = 100 * time.Millisecond // interval between requests for such an engine
)

// isolateSuspect asks the owner to choose a suspect's engine again if the choice can't be
// used any more or further replicas have crashed under the request since. It then waits up
// to isolationTimeout for an engine without other suspects. The owner makes the choice, as
// only it knows which requests run concurrently at an engine.
func (s *requestHandler) isolateSuspect(ctx context.Context) {
	if len(s.trials) == 0 || s.job == nil || s.service.Engine == nil {
		return
	}
	if s.isEngineChoiceStale() && !s.requestNewEngine(ctx) {
		return
	}
	until := s.node.now() + isolationTimeout
	for s.hasConcurrentSuspects() && s.node.now() < until && process.Sleep(ctx, isolationInterval) {
		if !s.requestNewEngine(ctx) {
			return
		}
	}
}

// isEngineChoiceStale reports whether the chosen engine can't be used any more, or
// was chosen before another replica crashed under the request.
func (s *requestHandler) isEngineChoiceStale() bool {
	_, usable := s.ownerChoice()
	return !usable || s.job.crashes != s.node.judge(s.features()).Ends
}

// hasConcurrentSuspects reports whether other suspects at the engine would make the
// trial's outcome ambiguous.
func (s *requestHandler) hasConcurrentSuspects() bool {
	return s.job.crashes >= placement.TrialThreshold && s.job.concurrentSuspects > 0
}

// requestNewEngine asks the owner for another engine. If that fails or the owner has
// none, it returns false and this instance chooses the engine itself.
func (s *requestHandler) requestNewEngine(ctx context.Context) bool {
	ask, _ := s.buildStagesAsk()
	ask.Stages = nil
	region := s.job.region
	results := s.job.releaseEngine()
	s.job = results
	engineJob, err := s.runStagesIn(ctx, ask, region)
	if err != nil {
		s.node.logSideCallFailure("isolated engine of a suspect", s.lastOwner, err)
		if results != nil {
			results.engine = ""
		}
		return false
	}
	s.job = engineJob
	if results != nil {
		s.job = results.withEngineOf(engineJob)
	}
	s.job.crashes = int(ask.Ended)
	return engineJob.engine != ""
}
