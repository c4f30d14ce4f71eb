package node

import (
	"context"
	"slices"
	"time"

	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/rollout"
	"quinceroad/coordination/sendresult"
	"quinceroad/state/catalog"
)

// rolloutAnswer is the outcome of a request in a rollout.
type rolloutAnswer struct {
	route     string
	replica   *catalog.Replica
	evidence  sendresult.VersionEvidence
	latency   time.Duration // time until the answer began
	pinnedFor time.Duration // duration of a request that can't fail over to another replica; 0: it can
}

// recordRolloutAnswer counts an answer in the rollout of its service, if there is
// one. Answers of warming replicas don't count, as such replicas are slow in any
// version.
func (n *Node) recordRolloutAnswer(a *rolloutAnswer) {
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.view.Current(a.replica.Service)
	if !ok || s.Phase >= rollout.Rejected || a.evidence == sendresult.VersionNone || a.evidence == sendresult.VersionAnswer && a.replica.WarmingUntil > n.now() {
		return
	}
	own := &r.progress(s.At).ownReport
	if a.replica.Version == s.Target {
		n.countTargetAnswer(&s, a.evidence)
	}
	k := rollout.RowKey{Route: a.route}
	if a.replica.Version == s.Target {
		k.Replica = a.replica.ID
	} else {
		own.LongestRequest = max(own.LongestRequest, a.pinnedFor)
	}
	t := own.Rows[k]
	if t == nil {
		t = &rollout.Tally{}
		own.Rows[k] = t
	}
	if a.evidence == sendresult.VersionReplicaEnd {
		t.AddReplicaEnd()
		return
	}
	t.Add(a.latency, a.evidence == sendresult.VersionFailure)
}

// countTargetAnswer updates the metrics of a request's outcome at the target version.
func (n *Node) countTargetAnswer(s *rollout.OrderState, evidence sendresult.VersionEvidence) {
	if evidence == sendresult.VersionReplicaEnd {
		n.rolloutCounter(s.Service, s.Target, "ended").Inc(1)
		return
	}
	n.rolloutCounter(s.Service, s.Target, "answers").Inc(1)
	if evidence == sendresult.VersionFailure {
		n.rolloutCounter(s.Service, s.Target, "failed").Inc(1)
	}
}

// canFailOver reports whether the request can continue at another replica after its
// connection broke.
func (s *requestHandler) canFailOver() bool {
	return s.route.Kind == catalog.Repeatable || s.route.Kind == catalog.Stream && s.route.Resumable
}

// recordRollout counts the outcome of the attempt in its service's rollout. If the
// connection broke, it first awaits the probe that shows whether the replica ended.
func (a *attempt) recordRollout(kind sendresult.Kind, suspended bool, latency time.Duration) {
	n := a.node
	if !n.rollouts.isActive(a.service.Name) {
		return
	}
	answer := &rolloutAnswer{route: a.route.Name, replica: &a.replica, evidence: kind.ForVersion(suspended), latency: latency}
	if !a.canFailOver() {
		answer.pinnedFor = latency
	}
	if a.answerStartedAt != 0 {
		answer.latency = a.answerStartedAt - a.sentAt
	}
	if kind != sendresult.ConnectionBroken {
		n.recordRolloutAnswer(answer)
		return
	}
	probe := a.probe
	go func() {
		if n.awaitLivenessProbe(context.Background(), probe) {
			if n.quarantine.isPartBlamed(probe.Incarnation) {
				return // the requests ended it, not the version
			}
			answer.evidence = sendresult.ReplicaCrashed.Evidence().Version
		}
		n.recordRolloutAnswer(answer)
	}()
}

// versionOf returns the software version of a replica, or "" if it is not known.
func (n *Node) versionOf(id string) string {
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	r, _ := n.replicas.index.List().Replica(id)
	return r.Version
}

// finishAfterResults ends a batch that has left results at its replica. In a rollout
// the replica counts as in use for as long as it stores these results.
func (c *cell) finishAfterResults(service string, finish func()) {
	snap := c.owner.node.snapshot.Load()
	if snap.rolloutByService[service] == nil || snap.config == nil || snap.config.Services[service] == nil || snap.config.Services[service].Pool == nil {
		finish()
		return
	}
	time.AfterFunc(snap.config.Services[service].Pool.ResultTTL, finish)
}

// recordRolloutBatch counts the outcome of a batch in its pool's rollout.
func (n *Node) recordRolloutBatch(r *catalog.Replica, kind sendresult.Kind, suspended bool, latency time.Duration) {
	n.recordRolloutAnswer(&rolloutAnswer{replica: r, evidence: kind.ForVersion(suspended), latency: latency})
}

// endingOf returns how a batch ended.
func endingOf(outcome pipeline.Outcome, results []pipeline.Result) sendresult.Kind {
	switch outcome {
	case pipeline.Answered:
		if slices.ContainsFunc(results, func(x pipeline.Result) bool { return x.Reason == pipeline.ItemFailed }) {
			return sendresult.Failed
		}
		return sendresult.Succeeded
	case pipeline.Refused:
		return sendresult.Refused
	case pipeline.WrongReplica:
		return sendresult.WrongReplica
	case pipeline.Unreachable:
		return sendresult.Unreachable
	case pipeline.Broken:
		return sendresult.ConnectionBroken
	case pipeline.Crashed: // also if the crash was reported before the connection broke
		return sendresult.ReplicaCrashed
	case pipeline.LinkLost:
		return sendresult.LinkLost
	}
	return sendresult.ResponseTimeout
}
