package node

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/rollout"
	"quinceroad/state/catalog"
)

// rolloutAnswer is what became of a request in a roll-out.
type rolloutAnswer struct {
	route   string
	replica *catalog.Replica
	took    time.Duration // until the answer began
	lasted  time.Duration // of one that can't go on elsewhere; 0: it can
	failed  bool
}

// answered counts an answer in its service's roll-out, if there is one. A cold
// replica is slow whatever its version.
func (n *Node) answered(a *rolloutAnswer) {
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.view.Current(a.replica.Service)
	if !ok || s.Phase >= rollout.Bad || !a.failed && a.replica.ColdUntil > n.now() {
		return
	}
	own := &r.seen(s.Revision).own
	if a.replica.Version == s.Target {
		n.rolloutCounter(s.Service, s.Target, "answers").Inc(1)
		if a.failed {
			n.rolloutCounter(s.Service, s.Target, "failed").Inc(1)
		}
	}
	k := rollout.Row{Route: a.route}
	if a.replica.Version == s.Target {
		k.Replica = a.replica.ID
	} else {
		own.Longest = max(own.Longest, a.lasted)
	}
	t := own.Rows[k]
	if t == nil {
		t = &rollout.Tally{}
		own.Rows[k] = t
	}
	t.Add(a.took, a.failed)
}

// movable reports whether the request, broken off at its replica, goes on at
// another one.
func (s *serving) movable() bool {
	return s.route.Kind == catalog.Repeatable || s.route.Kind == catalog.Stream && s.route.Resumable
}

// tellRollout counts how the attempt went in its service's roll-out. A client
// that left, a replica that turned the request away and one that was not
// reached say nothing of a version.
func (a *attempt) tellRollout(ctx context.Context, err error, took time.Duration) {
	out := &rolloutAnswer{route: a.route.Name, replica: &a.replica, took: took}
	if !a.movable() {
		out.lasted = took
	}
	if a.began != 0 {
		out.took = a.began - a.sent
	}
	switch {
	case err == nil:
		out.failed = a.x.Header.StatusCode() >= http.StatusInternalServerError
	case errors.Is(err, errNotRun), errors.Is(err, errInputs), errors.Is(err, errLeft):
		return
	case done(ctx) && !errors.Is(err, errOwnFault): // its time ran out: it counts as slow as it was
	default:
		out.failed = true
	}
	a.node.answered(out)
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
	time.AfterFunc(w.config.Services[service].Pool.HoldFor, leave)
}

// tellRolloutCall counts how a call of pieces went in its pool's roll-out.
func (n *Node) tellRolloutCall(r *catalog.Replica, fate pipeline.Fate, results []pipeline.Result, took time.Duration) {
	out := &rolloutAnswer{replica: r, took: took}
	switch fate {
	case pipeline.Answered:
		out.failed = slices.ContainsFunc(results, func(x pipeline.Result) bool { return x.Reason == pipeline.PieceError })
	case pipeline.Broken, pipeline.Crashed, pipeline.Overdue:
		out.failed = true
	default:
		return
	}
	n.answered(out)
}
