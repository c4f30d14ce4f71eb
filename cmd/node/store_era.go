package node

import (
	"time"

	"quinceroad/coordination/evacuation"
	"quinceroad/coordination/rollout"
	"quinceroad/protocol/event"
)

// observeEra reports that the store has come back from a copy, once for each era, and ends the
// pending watches, which wait for changes of the previous era. The first era that it states
// is none to report.
func (n *Node) observeEra() {
	era := n.store.Era()
	was := n.storeEra.Load()
	if era <= was || !n.storeEra.CompareAndSwap(was, era) || was == 0 {
		return
	}
	n.counters.storeReturns.Inc(1)
	event.NodeStoreReturned.Log(n.log, "era", era, "was", was, "replicas_at", n.replicasKnownAt().Revision)
	n.storeMonitor.abandonCalls()
}

// expirePreviousEra ends what of the list of replicas, the drained halls and the rollouts
// holds on from before the store's return when its time is over.
func (n *Node) expirePreviousEra() {
	n.watchedMu.Lock()
	changed := n.replicas.changeLog.Expire(n.now())
	n.watchedMu.Unlock()
	if changed {
		n.publishSnapshot()
	}
	n.changeDrainedHalls(fromPreviousEra, func(now time.Duration, v *evacuation.View) []evacuation.Change { return v.Expire(now) })
	n.changeRollouts(fromPreviousEra, func(now time.Duration, v *rollout.View) []rollout.Change { return v.Expire(now) })
}

// fromPreviousEra is the origin of changes that end what held on from before the store's
// return.
const fromPreviousEra = "previous era"
