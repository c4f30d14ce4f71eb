package node

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/rollout"
)

// RolloutState is what a node knows of a roll-out that stands.
type RolloutState struct {
	Service   string
	Target    string // version
	Order     uint64 // the store's revision that names it
	Phase     string
	Age       string
	For       string
	Share     float64 // of this node's requests, that the version gets
	Sent      int     // by this node to the service, since the order
	Rank      int     // of this node among those who judge; -1: it does not
	Status    string  // in the store, as this node read it last
	Waits     string  // why it isn't taken further, by this node
	Judgement rollout.Judgement
}

// rolloutStates returns what is known of the roll-outs.
func (n *Node) rolloutStates() []RolloutState {
	r := n.rollouts
	now := n.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RolloutState
	for _, s := range r.view.Active() {
		o := r.seen(s.Revision)
		out = append(out, RolloutState{
			Service: s.Service, Target: s.Target, Order: s.Revision, Phase: s.Phase.String(),
			Age: (now - s.OrderedAt).Round(time.Millisecond).String(), For: s.TimeLimit.String(), Share: s.Share(now, r.canary), Sent: o.own.Sent,
			Rank: o.rank, Status: o.status.State.String(), Waits: o.step.Reason, Judgement: o.judge.Latest(),
		})
	}
	return out
}

// rolloutCounter returns a counter of an order's service and version, which an
// operator watches while it runs.
func (n *Node) rolloutCounter(service, target, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("node.rollouts."+service+"."+target+"."+name, n.registry)
}
