package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quinceroad/cmd/node/triallease"
	"quinceroad/coordination/pipeline"
	"quinceroad/protocol/event"
)

// answerFailure answers a request that could not be served.
func (s *requestHandler) answerFailure(ctx context.Context, err error) {
	if s.stream.headersSent {
		panic(http.ErrAbortHandler) // closes the connection: a partial stream must not look complete
	}
	if errors.Is(err, errClientGone) {
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, errQuarantined) { // not a refusal, which would invite a retry
		s.node.writeError(s.w, s.req, &answerError{status: http.StatusBadRequest, text: err.Error()})
		return
	}
	retryAfter := shortRetryAfter
	var refused *refusedError
	var failed *failedError
	var backoff *backoffError
	var denied *slotDenial
	switch {
	case errors.As(err, &denied):
		retryAfter = max(denied.wait, shortRetryAfter) + retryJitter()
	case errors.As(err, &backoff) && backoff.rateLimited:
		retryAfter = s.node.reserveRetry(s.service.Name, backoff)
	case errors.As(err, &backoff):
		retryAfter = max(backoff.remaining(), shortRetryAfter) + retryJitter()
	case errors.As(err, &refused):
		retryAfter = refused.retryAfter
		if !refused.forecast.standing.Within {
			retryAfter += retryJitter()
		}
	case errors.As(err, &failed):
		retryAfter = max(failed.retryAfter, shortRetryAfter)
		if failed.reason == pipeline.ReasonBackoff || failed.reason == pipeline.ReasonShare {
			retryAfter += retryJitter()
		}
	case errors.Is(err, errHallsDrained), errors.Is(err, errReplicasWarming), errors.Is(err, errNoAllowedRegion), errors.Is(err, errNoReplicaOfBuild), errors.Is(err, errOriginMoved), errors.Is(err, triallease.ErrNoTrial):
		retryAfter = longRetryAfter
	}
	left := s.req.Timeout - s.elapsed()
	retryAfter = min(retryAfter, time.Duration(float64(left)/retryAfterDivisor*retryAfterMargin))
	if refusal, ok := s.record.Refuse(err.Error(), max(retryAfter, 0)); ok {
		s.node.writeError(s.w, s.req, &answerError{status: http.StatusServiceUnavailable, retryAfter: refusal.RetryAfter(), text: refusal.Reason()})
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	s.node.writeError(s.w, s.req, &answerError{status: status, text: err.Error()})
}

// isOverShare reports whether a request was refused because its customer is over
// its share.
func (s *requestHandler) isOverShare(err error) bool {
	var refused *refusedError
	var failed *failedError
	return errors.As(err, &refused) && !refused.forecast.standing.Within || errors.As(err, &failed) && failed.reason == pipeline.ReasonShare
}

func (s *requestHandler) logRequest(err error) {
	if !s.node.log.IsInfo() {
		return
	}
	why := "served"
	if err != nil {
		why = err.Error()
	}
	event.NodeRequest.Log(s.node.log, "request", s.req.ID, "customer", boundedCustomerName(s.customer), "fingerprint", s.fingerprint, "parts", s.parts, "route", s.route.Name, "rank", s.route.Priority, "why", why,
		"objective", s.route.Objective, "deadline", s.req.Timeout, "version", s.snapshot.config.Version, "owner", s.lastOwner,
		"attempts", len(s.tried), "replica", s.lastReplica, "took", s.elapsed(), "staged", s.stagesDuration, "expected", s.forecast.stages,
		"engine_expected", s.forecast.engine, "reads", s.forecast.prefillTokens, "moves", s.forecast.transferTokens,
		"first", s.timeToFirstEvent, "gap", s.maxEventGap, "tokens", s.req.InputTokens, "fetch", s.lastFetchFrom, "pieces", s.req.ItemCounts, "region", s.lastRegion,
		"chosen", s.chosenBy, "through", s.lastRelay, "leaves", s.lastReplicaDrains, "short", s.forecast.standing.Resource, "asked", s.forecast.standing.Demand, "share", s.forecast.standing.Share,
		"build", s.lastBuild, "resumes", s.req.ResumedID, "last_event", s.req.LastEventID)
}
