package node

import (
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/speed"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// speeds is what this instance and its peers observed of the engines' speeds.
type speeds struct {
	mu      sync.Mutex
	records speed.Records
}

// cellSpeed is what a cell knows of a service's engines.
type cellSpeed struct {
	origin  uint32
	cell    int
	service string
	figures speed.Estimate
}

// noteSpeeds takes what the own cells observed among the records, and logs what
// changed noticeably.
func (n *Node) noteSpeeds() {
	now := n.now()
	for _, o := range n.ownSpeeds() {
		n.speeds.mu.Lock()
		news := n.speeds.records.RecordLocal(now, o.origin, o.service, o.figures)
		n.speeds.mu.Unlock()
		if !news {
			continue
		}
		n.gaugeSpeed(o.service, &o.figures)
		n.logSpeed(event.NodeSpeedLearned, o.cell, o.service, &o.figures)
	}
}

// ownSpeeds returns what the own cells have observed enough of.
func (n *Node) ownSpeeds() []cellSpeed {
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	var out []cellSpeed
	for _, c := range n.owner.all() {
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

func (n *Node) gaugeSpeed(service string, f *speed.Estimate) {
	set := func(name string, value time.Duration) {
		metrics.GetOrRegisterGauge("node.engines."+service+"."+name, n.registry).Update(int64(value))
	}
	set("base_ns", f.Median.Base)
	set("token_ns", f.Median.PerToken)
	set("out_ns", f.PerOutputToken)
}

// takeSpeeds takes in what a peer tells, for the own cells too that have
// observed little.
func (n *Node) takeSpeeds(told []*pb.EngineSpeed) {
	now := n.now()
	fresh := make(map[string]speed.Estimate)
	n.speeds.mu.Lock()
	for _, p := range told {
		if !n.speeds.records.Merge(now, recordOf(p)) {
			continue
		}
		if f, ok := n.speeds.records.Combined(now, p.Service); ok {
			fresh[p.Service] = f
		}
	}
	n.speeds.mu.Unlock()
	if len(fresh) == 0 {
		return
	}
	for _, c := range n.owner.all() {
		c.knowSpeeds(fresh)
	}
}

// knownSpeeds returns what peers know of the services in force.
func (n *Node) knownSpeeds() map[string]speed.Estimate {
	out := make(map[string]speed.Estimate)
	w, now := n.world.Load(), n.now()
	if w.config == nil {
		return out
	}
	n.speeds.mu.Lock()
	defer n.speeds.mu.Unlock()
	for name, s := range w.config.Services {
		if s.Engine == nil {
			continue
		}
		if f, ok := n.speeds.records.Combined(now, name); ok {
			out[name] = f
		}
	}
	return out
}

// knowSpeeds begins with what peers know of engines.
func (c *cell) knowSpeeds(known map[string]speed.Estimate) {
	n := c.owner.node
	for service, f := range known {
		c.mu.Lock()
		taken := c.engines.SeedSpeed(n.now(), service, f)
		c.mu.Unlock()
		if taken {
			n.logSpeed(event.NodeSpeedTold, c.number, service, &f)
		}
	}
}

// speedsToTell returns what one round of heartbeats tells; all: to an instance
// that has just started.
func (n *Node) speedsToTell(all bool) []*pb.EngineSpeed {
	n.speeds.mu.Lock()
	defer n.speeds.mu.Unlock()
	records := n.speeds.records.Snapshot(n.now())
	if !all {
		records = n.speeds.records.Updates(n.now())
	}
	out := make([]*pb.EngineSpeed, 0, len(records))
	for _, r := range records {
		out = append(out, toldOf(&r))
	}
	return out
}

func toldOf(r *speed.Record) *pb.EngineSpeed {
	f := &r.Estimate
	return &pb.EngineSpeed{
		Service: r.Service, Origin: r.Origin, Count: uint32(f.Count), AgeS: uint32(r.Age.Seconds()),
		BaseUs: uint32(f.Median.Base.Microseconds()), TokenNs: uint32(f.Median.PerToken),
		LikelyBaseUs: uint32(f.UpperBound.Base.Microseconds()), LikelyTokenNs: uint32(f.UpperBound.PerToken),
		OutUs: uint32(f.PerOutputToken.Microseconds()), Longest: uint32(f.LongestPrompt),
	}
}

func recordOf(p *pb.EngineSpeed) speed.Record {
	return speed.Record{
		Service: p.Service, Origin: p.Origin, Age: time.Duration(p.AgeS) * time.Second,
		Estimate: speed.Estimate{
			Median:         speed.Line{Base: micros(p.BaseUs), PerToken: time.Duration(p.TokenNs)},
			UpperBound:     speed.Line{Base: micros(p.LikelyBaseUs), PerToken: time.Duration(p.LikelyTokenNs)},
			PerOutputToken: micros(p.OutUs),
			LongestPrompt:  int(p.Longest),
			Count:          int(p.Count),
		},
	}
}

func micros(n uint32) time.Duration { return time.Duration(n) * time.Microsecond }
