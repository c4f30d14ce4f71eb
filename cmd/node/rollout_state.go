package node

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/rollout"
)

// RolloutState is a node's state of an active rollout.
type RolloutState struct {
	Service    string
	Target     string // version that the rollout introduces
	Order      uint64 // store revision of the order, which identifies it
	Phase      string
	Age        string
	TimeLimit  string  `json:"For"`
	Share      float64 // share of this node's requests that goes to the target version
	Sent       int     // requests that this node has sent to the service since the order
	Rank       int     // rank of this node among the judges; -1: not a judge
	Status     string  // status in the store when this node last read it
	WaitReason string  `json:"Waits"` // reason for which this node takes no further step
	Judgement  rollout.Judgement
}

// rolloutStates returns the state of all active rollouts.
func (n *Node) rolloutStates() []RolloutState {
	r := n.rollouts
	now := n.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []RolloutState
	for _, s := range r.view.Active() {
		o := r.progress(s.At)
		out = append(out, RolloutState{
			Service: s.Service, Target: s.Target, Order: s.At.Revision, Phase: s.Phase.String(),
			Age: (now - s.OrderedAt).Round(time.Millisecond).String(), TimeLimit: s.TimeLimit.String(), Share: s.Share(now, r.canaryShare), Sent: o.ownReport.Sent,
			Rank: o.rank, Status: o.status.State.String(), WaitReason: o.step.Reason, Judgement: o.judge.Latest(),
		})
	}
	return out
}

// rolloutCounter returns a counter for a service and its target version, by which
// operators follow a rollout.
func (n *Node) rolloutCounter(service, target, name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("node.rollouts."+service+"."+target+"."+name, n.registry)
}
