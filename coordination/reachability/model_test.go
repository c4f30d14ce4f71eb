package reachability

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// cutModel is a number of instances before the replicas of some services. Each has a link to
// each replica; some links are cut. It counts which requests reach their replica and which
// could have, over the own link or through any one peer.
type cutModel struct {
	instances, halls int
	isCut            func(now time.Duration, instance, replica int) bool
}

const (
	modelServices  = 3
	modelReplicas  = 12 // of each service
	modelTick      = 10 * time.Millisecond
	modelRate      = 12.0 // requests a second of each instance
	modelKnown     = 2 * time.Second
	modelEnd       = 4 * time.Second
	modelMaxAsked  = 4
	modelFarDrawn  = 8
	modelMinServed = 0.9
)

// play returns the requests that reached their replica, and those that could have, from
// modelKnown on.
func (m *cutModel) play(seed uint64) (reached, reachable int) {
	random := rand.New(rand.NewPCG(seed, 1))
	trackers := make([]*Tracker, m.instances)
	for i := range trackers {
		trackers[i] = New(DefaultOptions())
	}
	for now := time.Duration(0); now < modelEnd; now += modelTick {
		for i, tr := range trackers {
			for _, p := range tr.Probes(now) {
				ok := !m.isCut(now, i, replicaNumber(p.ID))
				if ok {
					tr.RecordReached(now, p)
				}
				tr.EndProbe(now, p.Service, ok)
			}
			if random.Float64() > modelRate*modelTick.Seconds() {
				continue
			}
			r := random.IntN(modelServices * modelReplicas)
			ok := m.request(now, trackers, i, r, random)
			if now < modelKnown || !m.canReach(now, i, r) {
				continue
			}
			reachable++
			if ok {
				reached++
			}
		}
	}
	return reached, reachable
}

func replicaNumber(id string) (n int) {
	_, _ = fmt.Sscanf(id, "r%d", &n)
	return n
}

// canReach reports whether any path of at most one peer leads to a replica.
func (m *cutModel) canReach(now time.Duration, instance, replica int) bool {
	for peer := range m.instances {
		if !m.isCut(now, peer, replica) {
			return true
		}
	}
	return !m.isCut(now, instance, replica)
}

// request reports whether a request reaches its replica, as an instance goes about it.
func (m *cutModel) request(now time.Duration, trackers []*Tracker, instance, replica int, random *rand.Rand) bool {
	tr := trackers[instance]
	target := Replica{ID: fmt.Sprintf("r%d", replica), Service: fmt.Sprint("s", replica%modelServices)}
	ownLink := !m.isCut(now, instance, replica)
	if !tr.IsCut(target.ID) && ownLink {
		tr.RecordReached(now, target)
		return true
	}
	near, far := m.candidates(instance, tr.LastPeer(target.Service), random)
	for _, name := range tr.Order(now, target.Service, near, far, modelMaxAsked) {
		var peer int
		_, _ = fmt.Sscanf(name, "i%d", &peer)
		if trackers[peer].IsCut(target.ID) || m.isCut(now, peer, replica) {
			tr.RecordPeerFailure(now, name)
			continue
		}
		tr.RecordPeer(target.Service, name)
		if !ownLink {
			tr.RecordCut(now, target, name, true)
		}
		return true
	}
	return ownLink
}

// candidates returns the peers of the own hall in random order, and some others with the last
// that connected.
func (m *cutModel) candidates(instance int, last string, random *rand.Rand) (near, far []string) {
	seen := map[string]bool{fmt.Sprintf("i%d", instance): true}
	for _, peer := range random.Perm(m.instances) {
		if name := fmt.Sprintf("i%d", peer); peer%m.halls == instance%m.halls && !seen[name] {
			seen[name] = true
			near = append(near, name)
		}
	}
	if last != "" && !seen[last] {
		seen[last] = true
		far = append(far, last)
	}
	for _, peer := range random.Perm(m.instances) {
		if name := fmt.Sprintf("i%d", peer); !seen[name] && len(far) < modelFarDrawn {
			seen[name] = true
			far = append(far, name)
		}
	}
	return near, far
}

// Judged by what the links that still work would allow, so that "all served equally badly" is
// no pass: one instance cut, a third of them, all but a few; from everything, from one
// service, by pairs at random, and a cut that comes and goes.
func TestRequestsReachWhatOneHopCanReach(t *testing.T) {
	for _, size := range []struct {
		instances, halls, sound int
		seeds                   uint64
	}{{6, 4, 1, 5}, {60, 4, 4, 1}, {295, 9, 30, 1}} {
		third := func(i int) bool { return i%3 == 0 }
		cuts := map[string]func(now time.Duration, instance, replica int) bool{
			"one from all":           func(_ time.Duration, i, _ int) bool { return i == 0 },
			"a third from all":       func(_ time.Duration, i, _ int) bool { return third(i) },
			"a hall from all":        func(_ time.Duration, i, _ int) bool { return i%size.halls == 0 },
			"all but a few from all": func(_ time.Duration, i, _ int) bool { return i >= size.sound },
			"most from a service":    func(_ time.Duration, i, r int) bool { return i >= size.sound && r%modelServices == 1 },
			"half of the pairs":      func(_ time.Duration, i, r int) bool { return (i*31+r*17)%7 < 3 },
			"a third, each second":   func(now time.Duration, i, _ int) bool { return third(i) && now/time.Second%2 == 0 },
		}
		for name, cut := range cuts {
			t.Run(fmt.Sprint(size.instances, " instances, ", name), func(t *testing.T) {
				m := cutModel{instances: size.instances, halls: size.halls, isCut: cut}
				for seed := range size.seeds {
					if reached, reachable := m.play(seed); float64(reached) < modelMinServed*float64(reachable) {
						t.Errorf("seed %d: %d of %d requests reached their replica", seed, reached, reachable)
					}
				}
			})
		}
	}
}
