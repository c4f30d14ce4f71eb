package node

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/cmd/node/slotlease"
	"quinceroad/cmd/process"
	"quinceroad/coordination/advisory"
	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

// advisories holds the advisories that replicas sent to this instance (drains, backoffs and
// rate limits) and those that peers reported.
type advisories struct {
	mu            sync.Mutex
	tracker       *advisory.Tracker
	deferredFrees map[string]*deferredFree // by incarnation: results to free later

	unknownFields *advisory.UnknownFields
	rateLimits    *pace.Tracker
	retrySchedule *pace.RetrySchedule
	hasLimits     atomic.Bool // at least one replica has a rate limit
	hasBrittle    atomic.Bool // a replica has stated that it is brittle

	wasEmpty    bool // the tracker was empty at the last sweep; used by sweeps only
	hadNoLimits bool // there were no rate limits at the last sweep; used by sweeps only
}

func newAdvisories() *advisories {
	return &advisories{tracker: advisory.New(advisory.DefaultOptions()), deferredFrees: make(map[string]*deferredFree), unknownFields: advisory.NewUnknownFields(), rateLimits: pace.New(pace.DefaultOptions()), retrySchedule: pace.NewRetrySchedule(), wasEmpty: true, hadNoLimits: true}
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

// canSendLocked reports whether an incarnation may receive a request now, and returns the
// earliest time at which it may. The caller must hold the lock.
func (a *advisories) canSendLocked(now time.Duration, incarnation string) (ok bool, from time.Duration) {
	if ok, from = a.tracker.CanSend(now, incarnation); !ok {
		return false, from
	}
	from = a.rateLimits.NextGrant(now, incarnation)
	return from <= now, from
}

// areNone reports whether no replica has sent an advisory that is in force.
func (a *advisories) areNone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.tracker.Empty() && !a.rateLimits.HasLimits()
}

// backoffUntil returns the end of an incarnation's backoff for this instance.
func (a *advisories) backoffUntil(now time.Duration, incarnation string) (until time.Duration, inBackoff bool) {
	a.withTracker(func(t *advisory.Tracker) { until, inBackoff = t.BackoffUntil(now, incarnation) })
	return until, inBackoff
}

// beginAttempt counts a request right before it is sent. It checks the advisories again,
// because the replica may have been chosen a second ago. The lease is nil if the request has
// no slot of its own.
func (a *advisories) beginAttempt(now time.Duration, incarnation, service string, lease *slotlease.Lease) (attempt advisory.Attempt, ok bool) {
	a.withTracker(func(t *advisory.Tracker) {
		if lease != nil {
			attempt, ok = t.BeginLeased(now, incarnation)
		} else {
			attempt, ok = t.Begin(now, incarnation, service)
		}
	})
	return attempt, ok
}

func (a *advisories) endAttempt(now time.Duration, attempt advisory.Attempt) {
	a.withTracker(func(t *advisory.Tracker) {
		t.RecordHold(now, attempt)
		t.End(attempt)
	})
}

// answerSource is the incarnation that sent an answer.
type answerSource struct {
	incarnation string
	service     string
	auxiliary   bool // not an answer to a request or batch, or too late: absent headers mean nothing
}

// recordAnswerHead parses the head of an answer and records the advisories in it. All
// answers of replicas pass through here, because a replica may send an advisory only once.
func (n *Node) recordAnswerHead(from answerSource, attempt advisory.Attempt, header *fasthttp.ResponseHeader) platform.ResponseHead {
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
	n.recordBrittle(from, &h)
	switch {
	case h.Backoff > 0:
		n.recordStatedBackoff(from, h.Backoff)
	case h.NotRun && header.StatusCode() == http.StatusServiceUnavailable:
		n.advisories.withTracker(func(t *advisory.Tracker) { t.RecordRefusal(n.now(), attempt) })
	default:
		n.advisories.withTracker(func(t *advisory.Tracker) { t.RecordAnswer(n.now(), attempt) })
	}
	return h
}

// recordBrittle records whether a service's replicas state that they are brittle. Absence
// means nothing in an auxiliary answer.
func (n *Node) recordBrittle(from answerSource, h *platform.ResponseHead) {
	a := n.advisories
	if !h.Brittle.Stated && (from.auxiliary || !a.hasBrittle.Load()) {
		return
	}
	slots := h.Slots
	if r, listed := n.snapshot.Load().replicaByIncarnation(from.incarnation); listed && slots == 0 {
		slots = r.Slots
	}
	report := advisory.BrittleReport{Service: from.service, Brittle: h.Brittle, Slots: slots, Senders: n.liveInstanceCount()}
	hasChanged := false
	a.withTracker(func(t *advisory.Tracker) { hasChanged = t.RecordBrittle(report) })
	switch {
	case hasChanged && h.Brittle.Stated:
		a.hasBrittle.Store(true)
		event.NodeServiceBrittle.Log(n.log, "service", from.service, "replica", from.incarnation, "tolerates", h.Brittle.Tolerated)
	case hasChanged:
		event.NodeServiceSturdy.Log(n.log, "service", from.service)
	}
}

// recordUnknownField records a header or report field that this build doesn't understand.
// The field may ask for a change of behavior, so operators should see it before
// ignoring it causes damage.
func (n *Node) recordUnknownField(service, name, source string) {
	n.counters.unknownFields.Inc(1)
	a := n.advisories
	a.mu.Lock()
	logged, isNew := a.unknownFields.Record(service, name)
	a.mu.Unlock()
	if isNew {
		event.NodeUnknownReplicaField.Log(n.log, "service", service, "word", logged, "in", source)
	}
}

// recordStatedDrain records a drain that an incarnation stated to this instance or to a
// peer. No instance sends it requests for as long as it is listed.
func (n *Node) recordStatedDrain(incarnation, source string) {
	isNew := false
	n.advisories.withTracker(func(t *advisory.Tracker) { isNew = t.RecordDrain(n.now(), incarnation) })
	if !isNew {
		return
	}
	event.NodeReplicaDrainAdvisory.Log(n.log, "replica", incarnation, "by", source)
	n.watchedMu.Lock()
	n.replicas.outdated[incarnation] = true
	n.watchedMu.Unlock()
	n.publishSnapshot()
}

// recordStatedBackoff records a backoff that an incarnation stated to this instance. Other
// instances may have received another one or none; for them this one is only a hint.
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
	a := n.advisories
	n.sweepLimits()
	n.slots.Sweep()
	hadNone := a.wasEmpty
	a.withTracker(func(t *advisory.Tracker) { a.wasEmpty = t.Empty() })
	if a.wasEmpty && hadNone {
		return
	}
	now := n.now()
	list := n.snapshot.Load().list
	var changes advisory.Changes
	draining, inBackoff := make(map[string]int64), make(map[string]int64)
	count := func(counts map[string]int64, incarnation string) {
		if r, ok := list.Replica(incarnation); ok {
			counts[r.Service]++
		}
	}
	a.withTracker(func(t *advisory.Tracker) {
		changes = t.Expire(now, list.Has)
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
// The owner that chooses an engine for this instance has not received these backoffs.
func (n *Node) replicasInBackoff(service string) []string {
	now := n.now()
	backoffs := make(map[string]time.Duration)
	n.advisories.withTracker(func(t *advisory.Tracker) { backoffs = t.Backoffs(now) })
	if len(backoffs) == 0 {
		return nil
	}
	var out []string
	list := n.snapshot.Load().list
	for incarnation := range backoffs {
		if r, ok := list.Replica(incarnation); ok && r.Service == service && r.AcceptsWork() {
			out = append(out, incarnation)
		}
	}
	return out
}

// deferFree defers the call that frees results until the replica's backoff has ended, or
// for a while if the replica has a rate limit, and reports whether it does. Deferred calls
// to the same replica are merged into one.
func (n *Node) deferFree(f pipeline.Free) bool {
	now := n.now()
	a := n.advisories
	a.mu.Lock()
	defer a.mu.Unlock()
	until, inBackoff := a.tracker.BackoffUntil(now, f.Replica)
	if !inBackoff {
		interval := freeInterval(a.rateLimits.Interval(f.Replica))
		if interval == 0 {
			return false
		}
		until = now + interval
	}
	expiresAt := now + n.resultTTL(f.Service)
	if deferred := a.deferredFrees[f.Replica]; deferred != nil {
		deferred.Handles = append(deferred.Handles, f.Handles...)
		deferred.expiresAt = expiresAt
		return true
	}
	a.deferredFrees[f.Replica] = &deferredFree{Free: f, expiresAt: expiresAt}
	time.AfterFunc(min(until, expiresAt)-now, func() { n.sendDeferredFree(f.Replica) })
	return true
}

// deferredFree is a call to free results that is made later.
type deferredFree struct {
	pipeline.Free
	expiresAt time.Duration // when the replica has dropped the last of them anyway
}

// sendDeferredFree sends a replica's deferred call that frees results, or defers it further
// if another backoff has begun.
func (n *Node) sendDeferredFree(incarnation string) {
	a := n.advisories
	now := n.now()
	a.mu.Lock()
	f := a.deferredFrees[incarnation]
	until, inBackoff := a.tracker.BackoffUntil(now, incarnation)
	if inBackoff && now < f.expiresAt {
		time.AfterFunc(min(until, f.expiresAt)-now, func() { n.sendDeferredFree(incarnation) })
		a.mu.Unlock()
		return
	}
	delete(a.deferredFrees, incarnation)
	a.mu.Unlock()
	if inBackoff {
		n.logSideCallFailure("free results", incarnation, errAdvisoryForbids)
		return
	}
	n.sendFreeResults(f.Free)
}

var errAdvisoryForbids = errors.New("the replica rests or leaves, as it says")

// resultTTL returns how long replicas of a service keep results.
func (n *Node) resultTTL(service string) time.Duration {
	c := n.snapshot.Load().config
	if c == nil || c.Services[service] == nil || c.Services[service].Pool == nil {
		return 0
	}
	return c.Services[service].Pool.ResultTTL
}
