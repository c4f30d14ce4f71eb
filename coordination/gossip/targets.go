package gossip

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Round raises the own counter and returns whom to tell and what.
func (v *View) Round(now time.Duration, random *rand.Rand) (to []string, m Message) {
	v.self.HeartbeatCount++
	v.forget(now)
	m = v.BuildMessage(now)
	p := v.split(now)
	to = v.targets(p.hall, p.region, random)
	if len(p.dead) > 0 { // a partition heals from either side
		to = append(to, p.dead[random.IntN(len(p.dead))])
	}
	return v.across(to, p, random), m
}

// across adds to those whom a round tells one of another region, now and then:
// bytes between regions are dear, and one message there tells of all instances
// here, which those there tell each other. So is one that is not heard of there:
// a cut between regions heals from either side.
func (v *View) across(to []string, p peers, random *rand.Rand) []string {
	home := float64(1 + len(p.hall) + len(p.region))
	for _, list := range [][]string{p.far, p.farDead} {
		if len(list) > 0 && random.Float64()*home < v.opts.CrossRegionMessages {
			to = append(to, list[random.IntN(len(list))])
		}
	}
	return to
}

// SeedsDue reports whether the seeds are to be told in this round: in each while
// nobody is heard of, since they may start later than this instance, and now
// and then beside the others, so that islands meet.
func (v *View) SeedsDue(now time.Duration) bool {
	if v.seeds != 0 && now-v.seeds < v.opts.SeedInterval && v.AliveCount(now) > 1 {
		return false
	}
	v.seeds = max(now, 1)
	return true
}

// targets returns whom to tell in a round. Bytes between halls are dear, so each
// instance of a large hall tells one of another, and the rest at home; in small
// halls it is left to chance.
func (v *View) targets(near, far []string, random *rand.Rand) []string {
	if len(near) < v.opts.Fanout || len(far) == 0 {
		all := slices.Concat(near, far)
		random.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return all[:min(v.opts.Fanout, len(all))]
	}
	random.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	return append(near[:v.opts.Fanout-1], far[random.IntN(len(far))])
}

// peers are where other instances take heartbeats.
type peers struct {
	hall    []string // of the own hall
	region  []string // of the own region's other halls
	far     []string // of other regions
	dead    []string // of the own region, not heard of
	farDead []string // of other regions, not heard of
}

func (v *View) split(now time.Duration) (p peers) {
	for _, r := range v.order {
		alive, far := v.alive(now, r), v.isFar(r)
		to := &p.region
		switch {
		case !alive && far:
			to = &p.farDead
		case !alive:
			to = &p.dead
		case far:
			to = &p.far
		case r.Hall == v.self.Hall:
			to = &p.hall
		}
		*to = append(*to, r.HeartbeatAddress)
	}
	return p
}

func (v *View) isFar(r *row) bool { return r.Region != v.self.Region }
