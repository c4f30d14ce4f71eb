package node

import (
	"net"

	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/regions"
)

// byteCounters count, by kind, the bytes that this instance sends to other data halls and
// those that it requests and receives from there: the bodies of messages and answers,
// without headers.
type byteCounters struct {
	heartbeats   metrics.Counter
	views        metrics.Counter // received views of the instances
	stages       metrics.Counter // requests to owners
	cacheLookups metrics.Counter // requests for cached prefixes
	pulls        metrics.Counter // received configurations and replica lists
	requests     metrics.Counter // request bodies sent to replicas
	answers      metrics.Counter // bytes of answers forwarded from there
}

func newByteCounters(counter func(name string) metrics.Counter, prefix string) byteCounters {
	return byteCounters{
		heartbeats:   counter(prefix + "heartbeats"),
		views:        counter(prefix + "views"),
		stages:       counter(prefix + "stages"),
		cacheLookups: counter(prefix + "kept"),
		pulls:        counter(prefix + "pulls"),
		requests:     counter(prefix + "requests"),
		answers:      counter(prefix + "answers"),
	}
}

// bytesTo returns the counters of bytes over a distance.
func (c *counters) bytesTo(d regions.Distance) *byteCounters {
	switch d {
	case regions.Remote:
		return &c.remoteBytes
	case regions.SameRegion:
		return &c.hallBytes
	}
	return &c.localBytes
}

// recordHosts records how far away the hosts of live instances are.
func (n *Node) recordHosts(alive []gossip.Instance) {
	hosts := make(map[string]regions.Distance, len(alive))
	for i := range alive {
		if host, _, err := net.SplitHostPort(alive[i].HeartbeatAddress); err == nil {
			hosts[host] = n.distanceTo(alive[i].Hall)
		}
	}
	n.hostDistances.Store(&hosts)
}

// distanceOfAddress returns how far away the instance with an address (IP:port) is. An
// unknown one counts as being in the same hall.
func (n *Node) distanceOfAddress(addr string) regions.Distance {
	hosts := n.hostDistances.Load()
	if hosts == nil {
		return regions.SameHall
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return regions.SameHall
	}
	return (*hosts)[host]
}
