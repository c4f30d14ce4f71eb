package node

import (
	"sync"

	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// requestRegistry holds the requests of this instance in flight at replicas, by
// incarnation, so that they can be cancelled when the incarnation has ended: their
// connections may never report an error.
type requestRegistry struct {
	mu      sync.Mutex
	cancels map[string]map[*func()]struct{}
}

func newRequestRegistry() *requestRegistry {
	return &requestRegistry{cancels: make(map[string]map[*func()]struct{})}
}

// add registers a request at an incarnation of a replica. cancel is called when the
// incarnation has ended. The returned function removes the request.
func (r *requestRegistry) add(incarnation string, cancel func()) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cancels[incarnation] == nil {
		r.cancels[incarnation] = make(map[*func()]struct{})
	}
	r.cancels[incarnation][&cancel] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.cancels[incarnation], &cancel)
		if len(r.cancels[incarnation]) == 0 {
			delete(r.cancels, incarnation)
		}
	}
}

// cancel cancels the requests at an incarnation and returns their number.
func (r *requestRegistry) cancel(incarnation string) int {
	r.mu.Lock()
	var cancels []func()
	for cancel := range r.cancels[incarnation] {
		cancels = append(cancels, *cancel)
	}
	r.mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	return len(cancels)
}

// handleReplicaRestarts handles replicas that restarted under the same name: requests that
// ran in the previous incarnation are lost and are cancelled at once.
func (n *Node) handleReplicaRestarts(replicas []catalog.Replica) {
	for _, r := range replicas {
		n.counters.replicaRestarts.Inc(1)
		n.recordReplicaRestart(r.ID)
		n.replicaClient.CloseIdle(r.Address)
		event.NodeReplicaRestarted.Log(n.log, "replica", r.ID, "ended", n.activeRequests.cancel(r.ID))
	}
}
