package node

import (
	"fmt"
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	// Time for which each heartbeat carries a changed limit. Five rounds of heartbeats
	// reach 390 instances within a second.
	limitAnnounceWindow = 3 * time.Second

	maxAnnouncedLimits = 16 // per heartbeat, which must fit into a datagram
)

// recordAnswerLimit records the rate limit that an answer states, or its absence.
func (n *Node) recordAnswerLimit(from answerSource, h *platform.ResponseHead) {
	if h.Invalid != "" {
		n.recordUnknownField(from.service, h.Invalid, "answer")
	}
	switch {
	case h.InvalidLimit:
	case h.Limit.Stated, !from.auxiliary && n.advisories.hasLimits.Load():
		n.recordLimit(pace.Report{Incarnation: from.incarnation, Limit: h.Limit}, sourceOwnAnswer)
	}
}

// recordLimit records a rate limit that a replica stated to this instance, or to the
// instance named by source. A change that the replica stated to this instance is
// announced at once.
func (n *Node) recordLimit(report pace.Report, source string) {
	var previous pace.Limit
	change, shouldLog := pace.Unchanged, false
	n.advisories.withRateLimits(func(t *pace.Tracker) {
		previous = t.Limit(report.Incarnation)
		change = t.Record(n.now(), report)
		shouldLog = change != pace.Unchanged && t.ShouldLog(n.now(), report.Incarnation)
	})
	if change != pace.Unchanged && source == sourceOwnAnswer {
		n.notifyGrantor(report.Incarnation)
	}
	if !shouldLog {
		return
	}
	switch change {
	case pace.Added, pace.Updated:
		previousRate := -1.0
		if previous.Stated {
			previousRate = previous.PerSecond
		}
		event.NodeReplicaRateLimited.Log(n.log, "replica", report.Incarnation, "service", n.serviceOfIncarnation(report.Incarnation), "per_second", report.Limit.PerSecond, "was", previousRate, "by", source)
	case pace.Removed:
		event.NodeReplicaRateLimitLifted.Log(n.log, "replica", report.Incarnation, "by", source)
	}
	if source == sourceOwnAnswer {
		n.sendHeartbeats()
	}
}

// sourceOwnAnswer is logged as the source of advisories that replicas sent to this
// instance.
const sourceOwnAnswer = "its own"

// replicaByIncarnation returns a listed replica.
func (snap *snapshot) replicaByIncarnation(incarnation string) (catalog.Replica, bool) {
	return snap.list.Replica(incarnation)
}

func (n *Node) serviceOfIncarnation(incarnation string) string {
	r, _ := n.snapshot.Load().replicaByIncarnation(incarnation)
	return r.Service
}

// limitOf returns the message with this instance's record of a replica's limit.
func (n *Node) limitOf(incarnation string) *pb.ReplicaLimit {
	out := &pb.ReplicaLimit{Id: incarnation}
	n.advisories.withRateLimits(func(t *pace.Tracker) {
		for _, report := range t.Reports(n.now(), incarnation) {
			out = encodeLimit(report)
		}
	})
	return out
}

// limitUpdates returns the changed limits for the next heartbeat.
func (n *Node) limitUpdates() []*pb.ReplicaLimit {
	var out []*pb.ReplicaLimit
	n.advisories.withRateLimits(func(t *pace.Tracker) {
		for _, report := range t.Updates(n.now(), limitAnnounceWindow, maxAnnouncedLimits) {
			out = append(out, encodeLimit(report))
		}
	})
	return out
}

func encodeLimit(r pace.Report) *pb.ReplicaLimit {
	return &pb.ReplicaLimit{Id: r.Incarnation, PerSecond: r.Limit.PerSecond, Ended: !r.Limit.Stated, AgeMs: uint32(r.Age.Milliseconds())}
}

// recordPeerLimits records the limits that a peer sent; invalid ones are skipped.
func (n *Node) recordPeerLimits(from string, all []*pb.ReplicaLimit) {
	for _, l := range all {
		if l.GetId() == "" || len(l.GetId()) > maxIncarnationLength || !pace.IsValidRate(l.GetPerSecond()) {
			continue
		}
		limit := pace.Limit{}
		if !l.Ended {
			limit = pace.Limit{PerSecond: l.PerSecond, Stated: true}
		}
		n.recordLimit(pace.Report{Incarnation: l.Id, Limit: limit, Age: time.Duration(l.AgeMs) * time.Millisecond}, from)
	}
}

// maxIncarnationLength bounds an incarnation's ID in a peer's message, in bytes.
const maxIncarnationLength = 256

// notifyGrantor sends a heartbeat with the current limits to a replica's grantor, which
// issues grants according to them.
func (n *Node) notifyGrantor(incarnation string) {
	r, ok := n.snapshot.Load().replicaByIncarnation(incarnation)
	if !ok || n.socket == nil {
		return
	}
	grantor, ok := n.grantorLookup().grantorOf(&r)
	if !ok || grantor.Name == n.settings.Name {
		return
	}
	n.announceSelf([]string{grantor.HeartbeatAddress})
}

// sweepLimits removes limits of replicas that are no longer listed, and updates for which
// replicas this instance is the grantor.
func (n *Node) sweepLimits() {
	a := n.advisories
	hadNone := a.hadNoLimits
	a.withRateLimits(func(t *pace.Tracker) { a.hadNoLimits = t.Empty() })
	if a.hadNoLimits && hadNone {
		return
	}
	snap, now := n.snapshot.Load(), n.now()
	var incarnations []string
	a.withRateLimits(func(t *pace.Tracker) {
		a.retrySchedule.Expire(now)
		t.Expire(now, snap.list.Has)
		incarnations = t.LimitedIncarnations()
	})
	limited := make(map[string]int64)
	grantors := n.grantorLookup()
	for _, incarnation := range incarnations {
		r, ok := snap.list.Replica(incarnation)
		if !ok {
			continue
		}
		limited[r.Service]++
		isGrantor := grantors.isSelf(&r)
		a.withRateLimits(func(t *pace.Tracker) { t.SetGrantor(now, incarnation, isGrantor) })
	}
	n.counters.setReplicaGauges("limited", limited)
}

// limitedStates returns the rate limits and the grantors of replicas for the state dump.
func (n *Node) limitedStates(snap *snapshot) map[string]string {
	var limited map[string]float64
	n.advisories.withRateLimits(func(t *pace.Tracker) { limited = t.Limits() })
	out := make(map[string]string, len(limited))
	if len(limited) == 0 {
		return out // looking up grantors assigns the replicas to cells
	}
	grantors := n.grantorLookup()
	for incarnation, perSecond := range limited {
		grantor := "nobody"
		if r, ok := snap.replicaByIncarnation(incarnation); ok {
			if g, ok := grantors.grantorOf(&r); ok {
				grantor = g.Name
			}
		}
		out[incarnation] = fmt.Sprintf("%g a second, turns by %s", perSecond, grantor)
	}
	return out
}
