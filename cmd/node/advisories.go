package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/process"
	"quinceroad/coordination/advisory"
	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

// advisories holds what replicas stated to this instance, drains that peers reported, and
// the replicas' rate limits.
type advisories struct {
	mu            sync.Mutex
	tracker       *advisory.Tracker
	deferredFrees map[string]*pipeline.Free // by incarnation: results to free later

	unknownFields *advisory.UnknownFields
	rateLimits    *pace.Tracker
	retrySchedule *pace.RetrySchedule
	hasLimits     atomic.Bool // at least one replica has a rate limit

	wasEmpty    bool // the tracker was empty at the last sweep; used by sweeps only
	hadNoLimits bool // there were no rate limits at the last sweep; used by sweeps only
}

func newAdvisories() *advisories {
	return &advisories{tracker: advisory.New(advisory.DefaultOptions()), deferredFrees: make(map[string]*pipeline.Free), unknownFields: advisory.NewUnknownFields(), rateLimits: pace.New(pace.DefaultOptions()), retrySchedule: pace.NewRetrySchedule(), wasEmpty: true, hadNoLimits: true}
}

// withTracker runs f on the tracker of advisories.
func (a *advisories) withTracker(f func(*advisory.Tracker)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a.tracker)
}

func (a *advisories) isDraining(incarnation string) (draining bool) {
	a.withTracker(func(t *advisory.Tracker) { draining = t.IsDraining(incarnation) })
	return draining
}

// canSendLocked reports whether an incarnation may receive a request now, and from when
// on it may. The caller must hold the lock.
func (a *advisories) canSendLocked(now time.Duration, incarnation string) (ok bool, from time.Duration) {
	if ok, from = a.tracker.CanSend(now, incarnation); !ok {
		return false, from
	}
	from = a.rateLimits.NextGrant(now, incarnation)
	return from <= now, from
}

// backoffUntil returns until when an incarnation is in backoff for this instance.
func (a *advisories) backoffUntil(now time.Duration, incarnation string) (until time.Duration, inBackoff bool) {
	a.withTracker(func(t *advisory.Tracker) { until, inBackoff = t.BackoffUntil(now, incarnation) })
	return until, inBackoff
}

// beginAttempt counts a request right before it is sent. The replica may have been chosen
// a second ago, so advisories since then are checked again.
func (a *advisories) beginAttempt(now time.Duration, incarnation string) (attempt advisory.Attempt, ok bool) {
	a.withTracker(func(t *advisory.Tracker) { attempt, ok = t.Begin(now, incarnation) })
	return attempt, ok
}

func (a *advisories) endAttempt(attempt advisory.Attempt) {
	a.withTracker(func(t *advisory.Tracker) { t.End(attempt) })
}

// answerSource is the incarnation that sent an answer.
type answerSource struct {
	incarnation string
	service     string
	auxiliary   bool // not an answer to a request or batch, or too late: absent headers mean nothing
}

// recordHead parses the head of an answer and records what the replica states in it. All
// answers pass through here, whatever they answer, as a replica may state something only
// once.
func (n *Node) recordHead(from answerSource, attempt advisory.Attempt, header *fasthttp.ResponseHeader) platform.ResponseHead {
	h := platform.ParseResponseHead(header.StatusCode(), func(name string) string { return string(header.Peek(name)) })
	if from.incarnation == "" || h.WrongReplica { // another replica answered
		return h
	}
	for name := range header.All() {
		if !platform.IsKnownHeader(string(name)) {
			n.recordUnknownField(from.service, string(name), "answer")
		}
	}
	n.recordAnswerLimit(from, &h)
	if h.Draining {
		n.recordStatedDrain(from.incarnation, sourceOwnAnswer)
	}
	if h.Backoff > 0 {
		n.recordStatedBackoff(from, h.Backoff)
	} else {
		n.advisories.withTracker(func(t *advisory.Tracker) { t.RecordAnswer(attempt) })
	}
	return h
}

// recordUnknownField records a header or report field that this build doesn't understand.
// It may be a request to change behavior, and should be noticed before it causes damage.
func (n *Node) recordUnknownField(service, name, source string) {
	n.counters.unknownFields.Inc(1)
	s := n.advisories
	s.mu.Lock()
	logged, isNew := s.unknownFields.Record(service, name)
	s.mu.Unlock()
	if isNew {
		event.NodeUnknownReplicaField.Log(n.log, "service", service, "word", logged, "in", source)
	}
}

// recordStatedDrain records that an incarnation is draining, as stated by itself or
// reported by a peer. No instance sends it requests for as long as it is listed.
func (n *Node) recordStatedDrain(incarnation, source string) {
	isNew := false
	n.advisories.withTracker(func(t *advisory.Tracker) { isNew = t.RecordDrain(n.now(), incarnation) })
	if !isNew {
		return
	}
	event.NodeReplicaDrainAdvisory.Log(n.log, "replica", incarnation, "by", source)
	n.publish()
}

// recordStatedBackoff records that an incarnation asked this instance for a backoff. Other
// instances may have been asked for none, or for another one; to them it is a hint.
func (n *Node) recordStatedBackoff(from answerSource, duration time.Duration) {
	now, isNew := n.now(), false
	n.advisories.withTracker(func(t *advisory.Tracker) { isNew = t.RecordBackoff(now, from.incarnation, duration) })
	n.detectorMu.Lock()
	n.detector.RecordBackoff(now, from.incarnation, duration)
	n.detectorMu.Unlock()
	if isNew {
		n.counters.backoffs.Inc(1)
		event.NodeReplicaBackoff.Log(n.log, "replica", from.incarnation, "service", from.service, "for", duration)
	}
}

// runAdvisorySweeps sweeps the advisories at every heartbeat.
func (n *Node) runAdvisorySweeps(ctx context.Context) {
	process.Every(ctx, heartbeatInterval, n.sweepAdvisories)
}

// sweepAdvisories removes advisories that have expired or whose replicas are gone.
func (n *Node) sweepAdvisories() {
	s := n.advisories
	n.sweepLimits()
	hadNone := s.wasEmpty
	s.withTracker(func(t *advisory.Tracker) { s.wasEmpty = t.Empty() })
	if s.wasEmpty && hadNone {
		return
	}
	now := n.now()
	listed := make(map[string]string) // service by incarnation
	for _, r := range n.world.Load().replicas {
		listed[r.ID] = r.Service
	}
	var changes advisory.Changes
	draining, inBackoff := make(map[string]int64), make(map[string]int64)
	count := func(counts map[string]int64, incarnation string) {
		if service, ok := listed[incarnation]; ok {
			counts[service]++
		}
	}
	s.withTracker(func(t *advisory.Tracker) {
		changes = t.Expire(now, func(incarnation string) bool { return listed[incarnation] != "" })
		for _, incarnation := range t.Draining() {
			count(draining, incarnation)
		}
		for incarnation := range t.Backoffs(now) {
			count(inBackoff, incarnation)
		}
	})
	for _, incarnation := range changes.BackoffEnded {
		event.NodeReplicaBackoffEnded.Log(n.log, "replica", incarnation)
	}
	for _, incarnation := range changes.Removed {
		event.NodeReplicaRemoved.Log(n.log, "replica", incarnation)
	}
	n.counters.setReplicaGauges("leaving", draining)
	n.counters.setReplicaGauges("resting", inBackoff)
}

// replicasInBackoff returns a service's replicas that are in backoff for this instance.
// The owner that chooses for this instance can't know them.
func (n *Node) replicasInBackoff(service string) []string {
	now := n.now()
	backoffs := make(map[string]time.Duration)
	n.advisories.withTracker(func(t *advisory.Tracker) { backoffs = t.Backoffs(now) })
	if len(backoffs) == 0 {
		return nil
	}
	var out []string
	for _, r := range n.world.Load().eligibleByService[service] {
		if _, ok := backoffs[r.ID]; ok {
			out = append(out, r.ID)
		}
	}
	return out
}

// deferFree keeps results to free until the replica's backoff is over, or for a while if
// the replica has a rate limit, and reports whether it does. Results kept for the same
// replica are freed by one call.
func (n *Node) deferFree(f pipeline.Free) bool {
	now := n.now()
	s := n.advisories
	s.mu.Lock()
	defer s.mu.Unlock()
	until, inBackoff := s.tracker.BackoffUntil(now, f.Replica)
	if !inBackoff {
		interval := freeInterval(s.rateLimits.Interval(f.Replica))
		if interval == 0 {
			return false
		}
		until = now + interval
	}
	if deferred := s.deferredFrees[f.Replica]; deferred != nil {
		deferred.Handles = append(deferred.Handles, f.Handles...)
		return true
	}
	s.deferredFrees[f.Replica] = &f
	if ttl := n.resultTTL(f.Service); until-now > ttl {
		until = now + ttl // the replica has dropped them by then
	}
	time.AfterFunc(until-now, func() { n.sendDeferredFree(f.Replica) })
	return true
}

// sendDeferredFree frees the results kept for a replica.
func (n *Node) sendDeferredFree(incarnation string) {
	s := n.advisories
	s.mu.Lock()
	f := s.deferredFrees[incarnation]
	delete(s.deferredFrees, incarnation)
	_, inBackoff := s.tracker.BackoffUntil(n.now(), incarnation)
	s.mu.Unlock()
	if inBackoff { // the backoff exceeds the results' lifetime, or there is a new one
		n.logSideCallFailure("free results", incarnation, errAdvisoryForbids)
		return
	}
	n.sendFreeResults(*f)
}

var errAdvisoryForbids = errors.New("the replica rests or leaves, as it says")

// resultTTL returns how long replicas of a service keep results.
func (n *Node) resultTTL(service string) time.Duration {
	c := n.world.Load().config
	if c == nil || c.Services[service] == nil || c.Services[service].Pool == nil {
		return 0
	}
	return c.Services[service].Pool.ResultTTL
}
