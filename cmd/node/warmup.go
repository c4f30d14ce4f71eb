package node

import (
	"sync"
	"time"

	"quinceroad/coordination/warmup"
	"quinceroad/platform"
	"quinceroad/state/catalog"
)

// warmUpLimiter limits the requests that this instance sends to warming replicas of
// plain services. The replicas of pools and engines are limited by their cell's
// owner.
type warmUpLimiter struct {
	limit  warmup.Limit
	mu     sync.Mutex
	window *warmup.Window
}

func newWarmUpLimiter(s *platform.Settings) *warmUpLimiter {
	return &warmUpLimiter{limit: warmup.Limit{Overrun: s.WarmUpOverrun, Slack: s.WarmUpSlack}, window: warmup.NewWindow()}
}

// warmingUntil returns the time until which a replica counts as warming: the one that it
// has reported or, if its hall has just returned from a drain, a whole warm-up time after
// that, as the replica reports the start of its warm-up up to a heartbeat late. The
// caller holds watchedMu.
func (n *Node) warmingUntil(c *catalog.Configuration, r *catalog.Replica, reported time.Duration) time.Duration {
	if c == nil {
		return 0
	}
	s := c.Services[r.Service]
	if s == nil || s.WarmUp == nil {
		return 0
	}
	if at, ok := n.drainedHalls.ReturnedAt(r.Hall); ok {
		return max(reported, at+s.WarmUp.Duration)
	}
	return reported
}

// allowsWarmingReplica reports whether this instance may send a request to a warming
// replica of a plain service now, given the instances that accept requests. With
// record, the request is counted.
func (n *Node) allowsWarmingReplica(now time.Duration, s *catalog.Service, id string, instances []string, record bool) bool {
	quota := warmup.Quota(n.settings.Name, instances, id, n.warmUp.limit.MaxPerSender(s.WarmUp.RequestsPerSecond))
	if quota == 0 {
		return false
	}
	n.warmUp.mu.Lock()
	defer n.warmUp.mu.Unlock()
	if n.warmUp.window.NextAllowed(now, id, quota) > now {
		return false
	}
	if record {
		n.warmUp.window.Record(now, id)
	}
	return true
}

// admitSend reports whether a request may be sent to a replica. It is called right before
// the send, as the request may have waited since its replica was chosen. Requests to
// warming replicas of plain services are counted.
func (n *Node) admitSend(s *catalog.Service, id string) bool {
	if !n.replicaAcceptsWork(id) {
		return false
	}
	if s.WarmUp == nil || s.Engine != nil {
		return true
	}
	now := n.now()
	r, listed := n.snapshot.Load().list.Replica(id)
	if !listed || !r.AcceptsWork() || r.WarmingUntil <= now {
		return true
	}
	return n.allowsWarmingReplica(now, s, id, n.acceptingInstances(), true)
}

// acceptingInstances returns the names of the instances that accept requests.
func (n *Node) acceptingInstances() []string {
	var out []string
	for _, i := range n.liveInstances() {
		if !i.Leaving {
			out = append(out, i.Name)
		}
	}
	return out
}
