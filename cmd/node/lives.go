package node

import (
	"sync"

	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// running keeps what this instance runs at replicas, by life, so that it can be
// ended when that life is over: the connection may be silent for good.
type running struct {
	mu   sync.Mutex
	ends map[string]map[*func()]struct{}
}

func newRunning() *running { return &running{ends: make(map[string]map[*func()]struct{})} }

// begin notes that something runs in a life of a replica; end is called when
// that life is over. The returned function says that it runs no more.
func (r *running) begin(life string, end func()) (done func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ends[life] == nil {
		r.ends[life] = make(map[*func()]struct{})
	}
	r.ends[life][&end] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.ends[life], &end)
		if len(r.ends[life]) == 0 {
			delete(r.ends, life)
		}
	}
}

// over ends what runs in a life, and returns how much that was.
func (r *running) over(life string) int {
	r.mu.Lock()
	var all []func()
	for end := range r.ends[life] {
		all = append(all, *end)
	}
	r.mu.Unlock()
	for _, end := range all {
		end()
	}
	return len(all)
}

// livesOver takes in that replicas have started again under their names: what
// ran there is lost, and is known to be at once.
func (n *Node) livesOver(replicas []catalog.Replica) {
	for _, r := range replicas {
		n.counters.livesOver.Inc(1)
		n.recordReplicaRestart(r.ID)
		n.clients.CloseIdle(r.Address)
		event.NodeReplicaRestarted.Log(n.log, "replica", r.ID, "ended", n.running.over(r.ID))
	}
}
