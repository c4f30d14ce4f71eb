// Package speeds holds the engine speeds that an instance and its peers have observed, and
// exchanges them in heartbeats (see package speed for the estimates).
package speeds

import (
	"sync"
	"time"

	"quinceroad/coordination/speed"
	"quinceroad/protocol/pb"
)

// Table holds the observed speeds. The zero value is ready for use.
type Table struct {
	mu      sync.Mutex // no other lock is acquired under it
	records speed.Records
}

// RecordLocal records the speed of a service's engines that a cell of this instance has
// observed, and reports whether it has changed significantly. The origin identifies the cell
// among those of all instances.
func (t *Table) RecordLocal(now time.Duration, origin uint32, service string, e speed.Estimate) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.RecordLocal(now, origin, service, e)
}

// Merge merges the speeds received from a peer, and returns the combined ones of the services
// of which any was new.
func (t *Table) Merge(now time.Duration, received []*pb.EngineSpeed) map[string]speed.Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	updated := make(map[string]speed.Estimate)
	for _, p := range received {
		if !t.records.Merge(now, decode(p)) {
			continue
		}
		if e, ok := t.records.Combined(now, p.Service); ok {
			updated[p.Service] = e
		}
	}
	return updated
}

// Combined returns the combined speed of a service's engines, or false if none is known.
func (t *Table) Combined(now time.Duration, service string) (speed.Estimate, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.records.Combined(now, service)
}

// Updates returns the speeds for one round of heartbeats, or all of them, for an instance that
// has just started.
func (t *Table) Updates(now time.Duration, all bool) []*pb.EngineSpeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	records := t.records.Snapshot(now)
	if !all {
		records = t.records.Updates(now)
	}
	out := make([]*pb.EngineSpeed, 0, len(records))
	for _, r := range records {
		out = append(out, Encode(&r))
	}
	return out
}

// Encode returns the message of a record.
func Encode(r *speed.Record) *pb.EngineSpeed {
	f := &r.Estimate
	return &pb.EngineSpeed{
		Service: r.Service, Origin: r.Origin, Count: uint32(f.Count), AgeS: uint32(r.Age.Seconds()),
		BaseUs: uint32(f.Median.Base.Microseconds()), TokenNs: uint32(f.Median.PerToken),
		LikelyBaseUs: uint32(f.UpperBound.Base.Microseconds()), LikelyTokenNs: uint32(f.UpperBound.PerToken),
		OutUs: uint32(f.PerOutputToken.Microseconds()), Longest: uint32(f.LongestPrompt),
	}
}

func decode(p *pb.EngineSpeed) speed.Record {
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
