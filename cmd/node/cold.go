package node

import (
	"sync"
	"time"

	"quinceroad/coordination/warmup"
	"quinceroad/platform"
	"quinceroad/state/catalog"
)

// coldness counts what this instance itself sends to cold replicas of plain
// services; those of pools and engines are counted by their cell's owner.
type coldness struct {
	limit  warmup.Limit
	mu     sync.Mutex
	window *warmup.Window
}

func newColdness(s *platform.Settings) *coldness {
	return &coldness{limit: warmup.Limit{Overrun: s.ColdOverrun, Slack: s.ColdSlack}, window: warmup.NewWindow()}
}

// coldUntil returns until when a replica is to be taken for cold: by its own
// word, or because its hall was taken back a moment ago. It may have turned cold
// just before, and says so up to a heartbeat later. It needs followMu.
func (n *Node) coldUntil(c *catalog.Configuration, row *replicaRow) time.Duration {
	if c == nil {
		return 0
	}
	s := c.Services[row.replica.Service]
	if s == nil || s.WarmUp == nil {
		return 0
	}
	until := row.coldUntil
	if at, ok := n.drainedHalls.ReturnedAt(row.replica.Hall); ok {
		until = max(until, at+s.WarmUp.Duration)
	}
	return until
}

// allowsCold reports whether this instance may send a request to a cold replica of
// a plain service now, given who takes requests; count counts it.
func (n *Node) allowsCold(now time.Duration, s *catalog.Service, id string, instances []string, count bool) bool {
	quota := warmup.Quota(n.settings.Name, instances, id, n.warmUp.limit.MaxPerSender(s.WarmUp.RequestsPerSecond))
	if quota == 0 {
		return false
	}
	n.warmUp.mu.Lock()
	defer n.warmUp.mu.Unlock()
	if n.warmUp.window.NextAllowed(now, id, quota) > now {
		return false
	}
	if count {
		n.warmUp.window.Record(now, id)
	}
	return true
}

// mayGet reports, right before the send, whether a replica may get a request by
// what is known now: it may have waited since its replica was chosen. What goes
// to a cold replica of a plain service is counted.
func (n *Node) mayGet(s *catalog.Service, id string) bool {
	if !n.replicaAcceptsWork(id) {
		return false
	}
	if s.WarmUp == nil || s.Engine != nil {
		return true
	}
	now := n.now()
	for _, r := range n.world.Load().services[s.Name] {
		if r.ID == id {
			return r.WarmingUntil <= now || n.allowsCold(now, s, id, n.taking(), true)
		}
	}
	return true
}

// taking returns the names of the instances that take requests.
func (n *Node) taking() []string {
	var out []string
	for _, i := range n.alive() {
		if !i.Leaving {
			out = append(out, i.Name)
		}
	}
	return out
}
