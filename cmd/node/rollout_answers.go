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

// rolloutAnswer is what became of a request in a roll-out.
type rolloutAnswer struct {
	route   string
	replica *catalog.Replica
	says    sendresult.VersionEvidence
	took    time.Duration // until the answer began
	lasted  time.Duration // of one that can't go on elsewhere; 0: it can
}

// answered counts an answer in its service's roll-out, if there is one. A cold
// replica is slow whatever its version.
func (n *Node) answered(a *rolloutAnswer) {
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.view.Current(a.replica.Service)
	if !ok || s.Phase >= rollout.Rejected || a.says == sendresult.VersionNone || a.says == sendresult.VersionAnswer && a.replica.WarmingUntil > n.now() {
		return
	}
	own := &r.seen(s.Revision).own
	if a.replica.Version == s.Target {
		n.countAnswered(&s, a.says)
	}
	k := rollout.RowKey{Route: a.route}
	if a.replica.Version == s.Target {
		k.Replica = a.replica.ID
	} else {
		own.LongestRequest = max(own.LongestRequest, a.lasted)
	}
	t := own.Rows[k]
	if t == nil {
		t = &rollout.Tally{}
		own.Rows[k] = t
	}
	if a.says == sendresult.VersionReplicaEnd {
		t.AddReplicaEnd()
		return
	}
	t.Add(a.took, a.says == sendresult.VersionFailure)
}

// countAnswered counts for operators what became of a request at the new version.
func (n *Node) countAnswered(s *rollout.OrderState, says sendresult.VersionEvidence) {
	if says == sendresult.VersionReplicaEnd {
		n.rolloutCounter(s.Service, s.Target, "ended").Inc(1)
		return
	}
	n.rolloutCounter(s.Service, s.Target, "answers").Inc(1)
	if says == sendresult.VersionFailure {
		n.rolloutCounter(s.Service, s.Target, "failed").Inc(1)
	}
}

// movable reports whether the request, broken off at its replica, goes on at
// another one.
func (s *requestHandler) movable() bool {
	return s.route.Kind == catalog.Repeatable || s.route.Kind == catalog.Stream && s.route.Resumable
}

// tellRollout counts how the attempt went in its service's roll-out. Of one that
// broke off it is only known once its replica was looked at whether the replica
// had ended.
func (a *attempt) tellRollout(way sendresult.Kind, suspended bool, took time.Duration) {
	n := a.node
	if !n.rollouts.ordered(a.service.Name) {
		return
	}
	out := &rolloutAnswer{route: a.route.Name, replica: &a.replica, says: way.ForVersion(suspended), took: took}
	if !a.movable() {
		out.lasted = took
	}
	if a.answerBegan != 0 {
		out.took = a.answerBegan - a.sentAt
	}
	if way != sendresult.ConnectionBroken {
		n.answered(out)
		return
	}
	l := a.probe
	go func() {
		if n.awaitLook(context.Background(), l) {
			out.says = sendresult.ReplicaCrashed.Evidence().Version
		}
		n.answered(out)
	}()
}

// versionOf returns the version of a replica's software, "" when it is not known.
func (n *Node) versionOf(id string) string {
	n.followMu.Lock()
	defer n.followMu.Unlock()
	return n.replicas.lives[id].replica.Version
}

// leaveResults ends a call of pieces whose results lie at its replica: in a
// roll-out the replica is needed as long as they are kept.
func (c *cell) leaveResults(service string, leave func()) {
	w := c.owner.node.world.Load()
	if w.moves[service] == nil || w.config == nil || w.config.Services[service] == nil || w.config.Services[service].Pool == nil {
		leave()
		return
	}
	time.AfterFunc(w.config.Services[service].Pool.ResultTTL, leave)
}

// tellRolloutCall counts how a call of pieces went in its pool's roll-out.
func (n *Node) tellRolloutCall(r *catalog.Replica, way sendresult.Kind, suspended bool, took time.Duration) {
	n.answered(&rolloutAnswer{replica: r, says: way.ForVersion(suspended), took: took})
}

// wayOf tells how a call of pieces ended.
func wayOf(fate pipeline.Outcome, results []pipeline.Result) sendresult.Kind {
	switch fate {
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
	case pipeline.Crashed: // also where its end was told before the connection broke
		return sendresult.ReplicaCrashed
	}
	return sendresult.ResponseTimeout
}
