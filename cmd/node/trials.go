package node

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"quinceroad/cmd/node/triallease"
	"quinceroad/cmd/process"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
)

// trialCheckInterval is the interval between checks whether a waiting request still needs a trial
// lease.
const trialCheckInterval = 20 * time.Millisecond

// features names the features of the request, any of which may crash its replicas.
func (s *requestHandler) features() quarantine.Request {
	return quarantine.Request{Whole: s.fingerprint, Parts: s.parts}
}

// checkQuarantine rejects a quarantined request, and has a suspect request wait for the trial
// leases of its suspect features.
func (s *requestHandler) checkQuarantine(ctx context.Context) error {
	j := s.node.judge(s.features())
	for j.Verdict == quarantine.Suspect && !s.holdsTrials(j.Trials) {
		if err := s.acquireTrials(ctx, j.Trials); err != nil {
			s.node.counters.trialsDenied.Inc(1)
			return err
		}
		j = s.node.judge(s.features()) // the previous trial may have changed it
		event.NodeSuspectTried.Log(s.node.log, "request", s.req.ID, "fingerprint", s.fingerprint, "features", j.Trials, "verdict", j.Verdict)
	}
	if j.Verdict == quarantine.Quarantined {
		s.node.counters.quarantined.Inc(1)
		return s.quarantineError(j)
	}
	return nil
}

// quarantineError returns the error of a request that is quarantined.
func (s *requestHandler) quarantineError(j quarantine.Judgement) error {
	if j.Cause != s.fingerprint {
		return errPartQuarantined
	}
	return errQuarantined
}

func (s *requestHandler) holdsTrials(features []quarantine.Fingerprint) bool {
	for _, f := range features {
		if s.trials[f] == nil {
			return false
		}
	}
	return true
}

// acquireTrials waits for the trial leases that the request lacks. It also returns if the request
// needs one of them no more, as another's trial or a peer has told more about it.
func (s *requestHandler) acquireTrials(ctx context.Context, features []quarantine.Fingerprint) error {
	for _, f := range features {
		if s.trials[f] != nil {
			continue
		}
		waitCtx, cancel := context.WithCancel(ctx)
		go s.cancelWhenCleared(waitCtx, f, cancel)
		lease, err := s.node.trials.Acquire(waitCtx, f)
		cleared := waitCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if err != nil && cleared {
			return nil
		}
		if err != nil {
			return err
		}
		if s.trials == nil {
			s.trials = make(map[quarantine.Fingerprint]*triallease.Lease)
		}
		s.trials[f] = lease
	}
	return nil
}

// cancelWhenCleared calls cancel once the request may be sent without a trial of a feature, or is
// not sent at all.
func (s *requestHandler) cancelWhenCleared(ctx context.Context, f quarantine.Fingerprint, cancel func()) {
	for process.Sleep(ctx, trialCheckInterval) {
		if !slices.Contains(s.node.judge(s.features()).Trials, f) {
			cancel()
			return
		}
	}
}

// heldTrials returns the features whose trial leases the request holds.
func (s *requestHandler) heldTrials() []quarantine.Fingerprint {
	return slices.Collect(maps.Keys(s.trials))
}

// endTrial releases the request's trial leases. If a probe of the replica is running, it
// releases them after the probe's result, without delaying the client's answer.
func (s *requestHandler) endTrial() {
	if len(s.trials) == 0 {
		return
	}
	if s.probe == nil {
		s.releaseTrials()
		return
	}
	go func() {
		s.node.awaitLivenessProbe(context.Background(), s.probe)
		s.releaseTrials()
	}()
}

func (s *requestHandler) releaseTrials() {
	for _, lease := range s.trials {
		lease.Release()
	}
}

// retriesInTrial reports whether the stages are run again because the owner gave them up when the
// request became suspect: with its trial leases.
func (s *requestHandler) retriesInTrial(err error) bool {
	if !errors.Is(err, errBecameSuspect) || s.stageReruns >= maxStageReruns {
		return false
	}
	s.stageReruns++
	return s.consumeRetryBudget()
}
