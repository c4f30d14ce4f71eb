package node

import (
	"context"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/placement"
)

const (
	aloneWait = 1500 * time.Millisecond // that a trial which is to show who is to blame waits for an engine without other suspects: most are done by then
	aloneLook = 100 * time.Millisecond  // between questions for one
)

// placeApart has a suspect's engine chosen anew where it was chosen before so
// many replicas had ended under the request, or has been tried: the owner alone
// sees who is beside it.
func (s *serving) placeApart(ctx context.Context) {
	if s.trial == nil || s.job == nil || s.service.Engine == nil {
		return
	}
	if s.misplaced() && !s.placeAnew(ctx) {
		return
	}
	until := s.node.now() + aloneWait
	for s.crowded() && s.node.now() < until && process.Pause(ctx, aloneLook) {
		if !s.placeAnew(ctx) {
			return
		}
	}
}

// misplaced reports whether the engine was chosen by what is no longer so.
func (s *serving) misplaced() bool {
	_, usable := s.ownersChoice()
	return !usable || s.job.ended != s.node.crashesUnder(s.fingerprint)
}

// crowded reports whether other suspects would be lost with the engine.
func (s *serving) crowded() bool { return s.job.ended >= placement.TrialThreshold && s.job.beside > 0 }

// placeAnew asks the owner for an engine; where it can't be asked, or knows none,
// this instance chooses by itself.
func (s *serving) placeAnew(ctx context.Context) bool {
	ask, _ := s.ask()
	ask.Stages = nil
	region := s.job.region
	results := s.job.unplaced()
	s.job = results
	placed, err := s.stagesIn(ctx, ask, region)
	if err != nil {
		s.node.logAside("engine apart from others", s.owner, err)
		if results != nil {
			results.engine = ""
		}
		return false
	}
	s.job = placed
	if results != nil {
		s.job = results.at(placed)
	}
	s.job.ended = int(ask.Ended)
	return placed.engine != ""
}
