package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"quinceroad/coordination/pipeline"
	"quinceroad/protocol/event"
)

// fail answers a request that could not be served.
func (s *serving) fail(ctx context.Context, err error) {
	if s.stream.headSent {
		panic(http.ErrAbortHandler) // what was sent must not look whole
	}
	if errors.Is(err, errLeft) {
		panic(http.ErrAbortHandler)
	}
	if errors.Is(err, errQuarantined) { // final: no refusal, which would invite to come again
		s.node.answerOwn(s.w, s.req, &answerError{status: http.StatusBadRequest, text: err.Error()})
		return
	}
	after := backSoon
	var refused *refusedError
	var failed *failedError
	var rest *restError
	switch {
	case errors.As(err, &rest) && rest.paced:
		after = s.node.promise(s.service.Name, rest)
	case errors.As(err, &rest):
		after = max(rest.left(), backSoon) + spreadReturn()
	case errors.As(err, &refused):
		after = refused.after
		if !refused.expects.standing.Within {
			after += spreadReturn()
		}
	case errors.As(err, &failed):
		after = max(failed.after, backSoon)
		if failed.why == pipeline.ReasonBackoff || failed.why == pipeline.ReasonShare {
			after += spreadReturn()
		}
	case errors.Is(err, errEmptied), errors.Is(err, errCold), errors.Is(err, errNoRegion), errors.Is(err, errNoTrial):
		after = backLater
	}
	left := s.req.Deadline - s.since()
	after = min(after, time.Duration(float64(left)/retryPart*retryMargin))
	if refusal, ok := s.record.Refuse(err.Error(), max(after, 0)); ok {
		s.node.answerOwn(s.w, s.req, &answerError{status: http.StatusServiceUnavailable, after: refusal.RetryAfter(), text: refusal.Reason()})
		return
	}
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
	}
	s.node.answerOwn(s.w, s.req, &answerError{status: status, text: err.Error()})
}

// beyondShare reports whether a request was refused for its customer's share.
func (s *serving) beyondShare(err error) bool {
	var refused *refusedError
	var failed *failedError
	return errors.As(err, &refused) && !refused.expects.standing.Within || errors.As(err, &failed) && failed.why == pipeline.ReasonShare
}

func (s *serving) log(err error) {
	if !s.node.log.IsInfo() {
		return
	}
	why := "served"
	if err != nil {
		why = err.Error()
	}
	event.NodeRequest.Log(s.node.log, "request", s.req.ID, "customer", nameOf(s.customer), "fingerprint", s.fingerprint, "route", s.route.Name, "rank", s.route.Priority, "why", why,
		"objective", s.route.Objective, "deadline", s.req.Deadline, "version", s.world.config.Version, "owner", s.owner,
		"attempts", len(s.tried), "replica", s.replica, "took", s.since(), "staged", s.staged, "expected", s.expects.stages,
		"engine_expected", s.expects.engine, "reads", s.expects.reads, "moves", s.expects.moves,
		"first", s.first, "gap", s.gap, "tokens", s.req.TokensIn, "fetch", s.fetch, "pieces", s.req.Pieces, "region", s.region,
		"chosen", s.chosen, "leaves", s.leaves, "short", s.expects.standing.Resource, "asked", s.expects.standing.Demand, "share", s.expects.standing.Share)
}
