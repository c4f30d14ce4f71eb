package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Round increments this instance's counter and returns the message of the round and
// the addresses to send it to.
func (v *View) Round(now time.Duration, random *rand.Rand) (to []string, m Message) {
	v.self.HeartbeatCount++
	if v.self.HeartbeatCount == settledHeartbeats {
		v.live = nil
	}
	v.forget(now)
	m = v.BuildMessage(now)
	p := v.Live(now).peers
	to = v.targets(p.hall, p.region, random)
	if len(p.dead) > 0 { // contact a dead instance, so that a partition heals from either side
		to = append(to, p.dead[random.IntN(len(p.dead))])
	}
	return v.addRemotePeers(to, p, random), m
}

// addRemotePeers occasionally adds an instance of another region to the targets of a
// round. Traffic between regions is expensive, and one message covers the local
// instances; the receiving region then spreads it among its own. A dead instance of
// another region is added at the same rate, so that a partition between regions heals
// from either side.
func (v *View) addRemotePeers(to []string, p peers, random *rand.Rand) []string {
	regionSize := float64(1 + len(p.hall) + len(p.region))
	for _, list := range [][]string{p.remote, p.remoteDead} {
		if len(list) > 0 && random.Float64()*regionSize < v.opts.CrossRegionMessages {
			to = append(to, list[random.IntN(len(list))])
		}
	}
	return to
}

// SeedsDue reports whether to contact the seeds in this round: every round while no
// other instance is alive, as seeds may start later than this instance, and
// otherwise every SeedInterval, so that separate groups of instances merge. In a
// large fleet the interval grows with it: all instances contact the same few seeds.
func (v *View) SeedsDue(now time.Duration) bool {
	alive := v.AliveCount(now)
	interval := v.opts.SeedInterval * time.Duration(max(alive/v.opts.SeedFleetSize, 1))
	if v.seedsContactedAt != 0 && now-v.seedsContactedAt < interval && alive > 1 {
		return false
	}
	v.seedsContactedAt = max(now, 1)
	return true
}

// targets selects the peers of a round. Traffic between halls is expensive, so an
// instance of a large hall contacts one peer in another hall and the rest in its
// own. In small halls all peers of the region are equally likely.
func (v *View) targets(local, remote []string, random *rand.Rand) []string {
	if len(local) < v.opts.Fanout || len(remote) == 0 {
		return sample(slices.Concat(local, remote), v.opts.Fanout, random)
	}
	return append(sample(local, v.opts.Fanout-1, random), remote[random.IntN(len(remote))])
}

// sample returns up to n distinct random elements. Its work depends on n
// alone.
func sample(all []string, n int, random *rand.Rand) []string {
	if len(all) <= n {
		return slices.Clone(all)
	}
	chosen := make([]int, 0, n)
	for len(chosen) < n {
		if i := random.IntN(len(all)); !slices.Contains(chosen, i) {
			chosen = append(chosen, i)
		}
	}
	out := make([]string, 0, n+1)
	for _, i := range chosen {
		out = append(out, all[i])
	}
	return out
}

// peers holds the heartbeat addresses of the other instances, by location and state.
type peers struct {
	hall       []string // alive, in this instance's hall
	region     []string // alive, in other halls of its region
	remote     []string // alive, in other regions
	dead       []string // dead, in its region
	remoteDead []string // dead, in other regions
}

func (v *View) groupPeers() (p peers) {
	for _, r := range v.sorted {
		alive, remote := r.listed, v.isRemote(r)
		group := &p.region
		switch {
		case !alive && remote:
			group = &p.remoteDead
		case !alive:
			group = &p.dead
		case remote:
			group = &p.remote
		case r.Hall == v.self.Hall:
			group = &p.hall
		}
		*group = append(*group, r.HeartbeatAddress)
	}
	return p
}

func (v *View) isRemote(r *row) bool { return r.Region != v.self.Region }
