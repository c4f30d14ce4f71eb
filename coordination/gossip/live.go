package gossip

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Live holds the instances that a view considers alive. It is immutable and shared by
// all callers until an instance joins, leaves, times out or announces a change, so
// that a request does not pay for the size of the fleet. The heartbeat counts in it
// may be out of date.
type Live struct {
	Instances []Instance // sorted by name, this instance included

	byHall  map[string][]*Instance
	derived sync.Map // what callers derived from the instances, by their key
	peers   peers
}

// Hall returns the live instances of a data hall, sorted by name.
func (l *Live) Hall(name string) []*Instance { return l.byHall[name] }

// Halls returns the number of data halls with live instances.
func (l *Live) Halls() int { return len(l.byHall) }

// Derive returns what compute returned when it was first called with the key.
func (l *Live) Derive(key any, compute func() any) any {
	if v, ok := l.derived.Load(key); ok {
		return v
	}
	v, _ := l.derived.LoadOrStore(key, compute())
	return v
}

// NewLive returns the given instances, which must be sorted by name.
func NewLive(instances []Instance) *Live {
	l := &Live{Instances: instances, byHall: make(map[string][]*Instance)}
	for i := range instances {
		x := &instances[i]
		l.byHall[x.Hall] = append(l.byHall[x.Hall], x)
	}
	return l
}

// Live returns the live instances. The caller must not change them.
func (v *View) Live(now time.Duration) *Live {
	if v.live != nil && now >= v.liveFrom && (now < v.liveUntil || !v.hasTimedOut(now)) {
		return v.live
	}
	v.liveFrom = now
	v.live = NewLive(v.liveInstances(now))
	v.live.peers = v.groupPeers()
	return v.live
}

// Alive returns the live instances, including this one, sorted by name. The caller
// must not change them.
func (v *View) Alive(now time.Duration) []Instance { return v.Live(now).Instances }

// AliveCount returns the number of live instances, including this one.
func (v *View) AliveCount(now time.Duration) int { return len(v.Alive(now)) }

// hasTimedOut reports whether an instance of the last result of Live has timed out, and
// otherwise determines when the next one may.
func (v *View) hasTimedOut(now time.Duration) bool {
	until := time.Duration(math.MaxInt64)
	for _, r := range v.sorted {
		if !r.listed {
			continue
		}
		expiry := r.lastHeartbeat + v.timeoutOf(r)
		if now >= expiry {
			return true
		}
		until = min(until, expiry)
	}
	v.liveUntil = until
	return false
}

// liveInstances returns the live instances, including this one, sorted by name, and
// determines when the first of them may time out.
func (v *View) liveInstances(now time.Duration) []Instance {
	out := make([]Instance, 0, len(v.sorted)+1)
	selfIndex, _ := slices.BinarySearchFunc(v.sorted, v.self.Name, func(r *row, name string) int { return cmp.Compare(r.Name, name) })
	v.liveUntil = math.MaxInt64
	for i, r := range v.sorted {
		if i == selfIndex {
			out = append(out, v.self)
		}
		r.listed = v.alive(now, r)
		if r.listed {
			out = append(out, r.Instance)
			v.liveUntil = min(v.liveUntil, r.lastHeartbeat+v.timeoutOf(r))
		}
	}
	if selfIndex == len(v.sorted) {
		out = append(out, v.self)
	}
	return out
}
