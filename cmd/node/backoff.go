package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/advisory"
	"quinceroad/state/catalog"
)

// backoffError reports that no eligible replica accepts requests now.
type backoffError struct {
	now, until  time.Duration // until: earliest time at which a replica may receive a request again
	rateLimited bool          // that replica has a rate limit and is not in backoff
}

// Error implements the error interface.
func (e *backoffError) Error() string {
	if e.rateLimited {
		return fmt.Sprintf("all replicas take no more for now by the limits that they state, or rest; the first has a turn in %v", e.remaining().Round(time.Millisecond))
	}
	return fmt.Sprintf("all replicas rest, the first for %v more", e.remaining().Round(time.Millisecond))
}

func (e *backoffError) remaining() time.Duration { return max(e.until-e.now, 0) }

// retryJitter returns a random delay to add to the retry time of a caller.
func retryJitter() time.Duration { return time.Duration(newRandom().Float64() * float64(retrySpread)) }

// errAllDraining reports that all replicas of the service are draining.
var errAllDraining = errors.New("all replicas are leaving")

const (
	// Time over which the retries of callers are spread after a backoff, so that they don't
	// arrive all at once: a replica that resumes accepts only some requests at first.
	retrySpread = time.Second

	backoffPollInterval = 20 * time.Millisecond // below the usual duration of an answer

	// Fraction of the objective for which a request without finished stages may wait for a
	// replica. A caller that has to retry loses more time than that.
	maxWaitShare = 0.125

	maxBackoffPoll = 200 * time.Millisecond // longest pause, as another replica may become available
)

// sendableReplicas returns the replicas that may receive a request now. It returns a
// backoffError if advisories and rate limits exclude all replicas that the request has not
// tried yet.
func (s *requestHandler) sendableReplicas(now time.Duration, all []catalog.Replica) (sendable []catalog.Replica, err error) {
	earliest, anyUntried, rateLimited := advisory.Never, false, false
	s.node.advisories.withTracker(func(t *advisory.Tracker) {
		if t.Empty() && !s.node.advisories.rateLimits.HasLimits() {
			sendable, anyUntried = all, true
			return
		}
		for _, r := range all {
			tried := s.avoid[r.ID] || s.tried[r.ID]
			ok, from := s.node.advisories.canSendLocked(now, r.ID)
			if ok {
				sendable = append(sendable, r)
				anyUntried = anyUntried || !tried
			} else if !tried && from < earliest {
				earliest = from
				rateLimited, _ = t.CanSend(now, r.ID)
			}
		}
	})
	if !anyUntried && earliest != advisory.Never {
		err = &backoffError{now: now, until: earliest, rateLimited: rateLimited}
	}
	return sendable, err
}

// earlierBackoff returns the backoffError that ends first. If only one of the two is a
// backoffError it returns that one, if neither is it returns b.
func earlierBackoff(a, b error) error {
	var x, y *backoffError
	if !errors.As(a, &x) {
		return b
	}
	if errors.As(b, &y) && y.until < x.until {
		return b
	}
	return a
}

// checkServable returns an error if, according to their advisories, no replica can serve
// the request in time, so that running its stages would be wasted work.
func (s *requestHandler) checkServable() error {
	snap := s.node.snapshot.Load()
	now := s.node.now()
	if s.binding.IsBound() && len(s.eligibleReplicas(snap)) == 0 {
		return errNoReplicaOfBuild
	}
	if _, _, eligible := snap.list.Count(s.service.Name); eligible > 0 && !s.allowedRegions().IsRestricted() && s.node.advisories.areNone() {
		return nil
	}
	listed := s.eligibleReplicas(snap)
	if len(listed) == 0 {
		return s.checkAllDraining(snap)
	}
	_, err := s.sendableReplicas(now, listed)
	var backoff *backoffError
	if errors.As(err, &backoff) && backoff.until > s.latestUsefulAnswer() {
		return err
	}
	return nil
}

// latestUsefulAnswer returns the latest time at which an answer may begin and still be of
// use.
func (s *requestHandler) latestUsefulAnswer() time.Duration {
	if s.route.Objective == 0 {
		return s.deadline
	}
	return min(s.req.ArrivedAt+s.route.Objective, s.deadline)
}

// checkAllDraining returns errAllDraining if the service has replicas and all of them are
// draining.
func (s *requestHandler) checkAllDraining(snap *snapshot) error {
	if listed, present, _ := snap.list.Count(s.service.Name); listed > 0 && present == 0 {
		return errAllDraining
	}
	return nil
}

// hasResults reports whether the request's stages are done, or its answer has begun.
func (s *requestHandler) hasResults() bool {
	return s.stream.headersSent || s.job != nil && len(s.job.handles) > 0
}

// latestStart returns until when the request may wait for a replica. One that has results
// waits for as long as the answer is of use; other requests wait only briefly.
func (s *requestHandler) latestStart() time.Duration {
	if s.hasResults() {
		return s.latestUsefulAnswer()
	}
	return s.req.ArrivedAt + time.Duration(float64(s.route.Objective)*maxWaitShare)
}

// waitForBackoff waits until a replica may receive the request again, if that is better
// than refusing it, and reports whether to try again.
func (s *requestHandler) waitForBackoff(ctx context.Context, err error) bool {
	var backoff *backoffError
	if !errors.As(err, &backoff) {
		return false
	}
	now := s.node.now()
	latest := s.latestStart()
	if backoff.until > latest || now >= latest {
		return false
	}
	return process.Sleep(ctx, min(max(backoff.until-now, backoffPollInterval), maxBackoffPoll))
}

// replaceForbiddenEngine asks the owner to choose another engine if an advisory forbids the
// chosen one: the advisory may be newer than the choice, or was sent only to this instance.
// The owner chooses, as only it knows the load of all engines. It is asked once; the new
// choice is checked in the same way.
func (s *requestHandler) replaceForbiddenEngine(ctx context.Context) {
	if s.job == nil || s.job.engine == "" || s.service.Engine == nil {
		return
	}
	if !s.canSendToOwnerChoice() {
		s.requestNewEngine(ctx)
	}
}
