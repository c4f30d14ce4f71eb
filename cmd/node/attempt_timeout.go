package node

import (
	"time"

	"quinceroad/state/catalog"
)

// startTimeout returns a timer that aborts the attempt when its answer does not
// begin in time. It never fires if the request may not be sent elsewhere.
func (a *attempt) startTimeout() *time.Timer {
	wait := a.timeout()
	if wait == 0 {
		wait = a.deadline - a.node.now() + time.Hour
	}
	return time.AfterFunc(wait, func() {
		if a.node.stopping.Load() {
			return // a shutdown aborts no attempt that may still be answered
		}
		a.abort(errReplicaTimeout)
	})
}

// timeout returns how long the attempt waits for its answer to begin; 0: until the
// request's deadline.
func (a *attempt) timeout() time.Duration {
	if len(a.tried) >= a.route.MaxAttempts || a.route.Objective == 0 {
		return 0
	}
	n := a.node
	n.detectorMu.Lock()
	mean := n.loads.MeanAnswerTime(a.replica.ID)
	n.detectorMu.Unlock()
	switch {
	case a.route.Kind == catalog.Repeatable:
		return max(time.Duration(float64(a.route.Objective)*timeoutObjectiveShare), timeoutMeanFactor*mean)
	case a.route.Kind == catalog.Stream && a.route.Resumable:
		if a.binding.IsBound() && !a.hasUntriedReplica() {
			return 0
		}
		return max(a.route.Objective, time.Second)
	}
	return 0
}
