package node

import (
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/speed"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// cellSpeed is the speed of a service's engines that a cell has observed.
type cellSpeed struct {
	origin  uint32
	cell    int
	service string
	figures speed.Estimate
}

// recordLocalSpeeds records the speeds that this instance's cells have observed, and
// logs significant changes.
func (n *Node) recordLocalSpeeds() {
	now := n.now()
	for _, o := range n.localSpeeds() {
		if !n.speeds.RecordLocal(now, o.origin, o.service, o.figures) {
			continue
		}
		n.updateSpeedGauges(o.service, &o.figures)
		n.logSpeed(event.NodeSpeedLearned, o.cell, o.service, &o.figures)
	}
}

// localSpeeds returns the speeds for which this instance's cells have enough
// observations.
func (n *Node) localSpeeds() []cellSpeed {
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	var out []cellSpeed
	for _, c := range n.owner.allCells() {
		c.mu.Lock()
		for service, s := range c.engines.Speeds() {
			if s.IsReliable() {
				out = append(out, cellSpeed{origin: self.Key() + uint32(c.number), cell: c.number, service: service, figures: s.Estimate()})
			}
		}
		c.mu.Unlock()
	}
	return out
}

func (n *Node) logSpeed(e *event.Event, cell int, service string, f *speed.Estimate) {
	e.Log(n.log, "service", service, "cell", cell, "base", f.Median.Base, "per_token", f.Median.PerToken,
		"likely_base", f.UpperBound.Base, "likely_per_token", f.UpperBound.PerToken, "per_out", f.PerOutputToken, "longest", f.LongestPrompt, "count", f.Count)
}

func (n *Node) updateSpeedGauges(service string, f *speed.Estimate) {
	set := func(name string, value time.Duration) {
		metrics.GetOrRegisterGauge("node.engines."+service+"."+name, n.registry).Update(int64(value))
	}
	set("base_ns", f.Median.Base)
	set("token_ns", f.Median.PerToken)
	set("out_ns", f.PerOutputToken)
}

// mergeSpeeds merges the speeds received from a peer, and seeds those of this instance's
// cells that have few observations.
func (n *Node) mergeSpeeds(received []*pb.EngineSpeed) {
	updated := n.speeds.Merge(n.now(), received)
	if len(updated) == 0 {
		return
	}
	for _, c := range n.owner.allCells() {
		c.seedSpeeds(updated)
	}
}

// combinedSpeeds returns the peers' combined speeds for the services in force.
func (n *Node) combinedSpeeds() map[string]speed.Estimate {
	out := make(map[string]speed.Estimate)
	snap, now := n.snapshot.Load(), n.now()
	if snap.config == nil {
		return out
	}
	for name, s := range snap.config.Services {
		if s.Engine == nil {
			continue
		}
		if f, ok := n.speeds.Combined(now, name); ok {
			out[name] = f
		}
	}
	return out
}

// seedSpeeds initializes a cell's engine speeds from those of peers.
func (c *cell) seedSpeeds(speeds map[string]speed.Estimate) {
	n := c.owner.node
	for service, f := range speeds {
		c.mu.Lock()
		seeded := c.engines.SeedSpeed(n.now(), service, f)
		c.mu.Unlock()
		if seeded {
			n.logSpeed(event.NodeSpeedSeeded, c.number, service, &f)
		}
	}
}
