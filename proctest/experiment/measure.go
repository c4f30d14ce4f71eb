package main

import (
	"cmp"
	"os"
	"slices"
	"time"

	"quinceroad/cmd/check"
	"quinceroad/cmd/load"
	"quinceroad/cmd/standin/upstream"
	"quinceroad/cmd/standin/work"
	"quinceroad/proctest/rig"
	"quinceroad/protocol/api"
	"quinceroad/state/fleet"
)

// figures are what one policy brought in one scenario.
type figures struct {
	load.Summary
	Bound      float64 // attainment no scheduler can exceed
	Wasted     float64 // share of the slots' time spent on requests that were not whole
	Refused    time.Duration
	Busy       float64 // share of the bottleneck's slot time that was used
	Violations int
	StageCost  map[string]float64 // by service, for each whole answer
}

// measure runs one scenario under one policy.
func measure(s scenario, p policy, bin string, seed uint64) (*figures, error) {
	dir, err := os.MkdirTemp("", "quince-experiment-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var standins *upstream.Config
	r, err := rig.Start(rig.Options{ExampleDir: s.example, BinDir: bin, OutputDir: dir, EditStandins: func(c *upstream.Config) {
		for i := range c.Services {
			c.Services[i].MeanMS *= stretch
			c.Services[i].Streams = false // so that the times are known beforehand
		}
		standins = c
	}})
	if err != nil {
		return nil, err
	}
	defer r.Close()
	if _, err := r.Confirm(p.edit(r.Declaration)); err != nil {
		return nil, err
	}
	if s.before != nil {
		if err := s.before(r); err != nil {
			return nil, err
		}
	}
	o := load.Options{Known: r.Entries(), Mix: s.mix(r), Seed: seed}
	n := bottleneck(r.Fleet, standins, o.Mix)
	for _, st := range s.phases {
		rate := st.share * n.rate()
		o.Phases = append(o.Phases, load.Phase{For: time.Duration(st.seconds * float64(time.Second)), Rate: rate})
	}
	faulted := make(chan error, 1)
	if s.fault != nil {
		time.AfterFunc(o.Phases[0].For, func() { faulted <- s.fault(r) })
	} else {
		faulted <- nil
	}
	res := load.Run(o)
	if err := <-faulted; err != nil {
		return nil, err
	}
	journal, err := r.Journal()
	if err != nil {
		return nil, err
	}
	f := &figures{Violations: len(check.All(r.Fleet, res.Told, journal)), StageCost: make(map[string]float64)}
	// The first phase teaches the estimates; it is not counted.
	res.Told = slices.DeleteFunc(res.Told, func(t check.Told) bool { return t.Intended.Before(res.Began.Add(o.Phases[0].For)) })
	f.Summary = res.Summarize()
	f.account(r.Fleet, res.Told, journal)
	f.Busy = n.busy(res.Told, journal)
	f.Bound = n.bound(res.Told)
	return f, nil
}

// neck is the stage of a mix whose service can do the least.
type neck struct {
	stage string
	slots int
	mean  time.Duration
	sigma float64
}

// rate is how many requests a second its slots can do.
func (n neck) rate() float64 { return float64(n.slots) / n.mean.Seconds() }

// busy is the share of the slots' time between the first and the last arrival
// in which they ran something.
func (n neck) busy(told []check.Told, journal []api.Execution) float64 {
	if len(told) == 0 {
		return 0
	}
	from, to := told[0].Intended.UnixMicro(), told[0].Intended.UnixMicro()
	for _, t := range told {
		from, to = min(from, t.Intended.UnixMicro()), max(to, t.Intended.UnixMicro())
	}
	sum := int64(0)
	for _, x := range journal {
		if x.Stage == n.stage && x.FreeUS > 0 {
			sum += max(min(x.FreeUS, to)-max(x.StartUS, from), 0)
		}
	}
	return float64(sum) / float64(max((to-from)*int64(n.slots), 1))
}

func bottleneck(f *fleet.Fleet, c *upstream.Config, mix []load.Mix) neck {
	var least neck
	p, _ := f.Pipeline(mix[0].Pipeline)
	for _, st := range p.Stages {
		for _, svc := range c.Services {
			if svc.Name != st.Service {
				continue
			}
			n := neck{stage: st.Name, sigma: svc.Sigma, mean: time.Duration(svc.MeanMS * float64(time.Millisecond))}
			for _, h := range svc.Halls {
				n.slots += h.Replicas * svc.Slots
			}
			if least.slots == 0 || n.rate() < least.rate() {
				least = n
			}
		}
	}
	return least
}

// account works out wasted time and cost by stage from the journal.
func (f *figures) account(fl *fleet.Fleet, told []check.Told, journal []api.Execution) {
	whole := make(map[string]bool)
	counted := make(map[string]bool)
	for i := range told {
		counted[told[i].ID] = true
		whole[told[i].ID] = load.Whole(&told[i])
	}
	var all, wasted time.Duration
	for _, x := range journal {
		if !counted[x.Request] || x.FreeUS == 0 {
			continue
		}
		took := time.Duration(x.FreeUS-x.StartUS) * time.Microsecond
		all += took
		if !whole[x.Request] {
			wasted += took
		}
		if svc, ok := fl.Service(x.Service); ok {
			f.StageCost[x.Service] += took.Seconds() * svc.Cost / float64(max(f.Whole, 1))
		}
	}
	f.Wasted = float64(wasted) / float64(max(all, 1))
	f.Refused = refusedAfter(told)
}

// refusedAfter is the median time until a refusal was told.
func refusedAfter(told []check.Told) time.Duration {
	var took []time.Duration
	for _, t := range told {
		if t.Outcome == "not_run" {
			took = append(took, t.Answered.Sub(t.Intended))
		}
	}
	if len(took) == 0 {
		return 0
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// bound is the share of requests whole in time that no scheduler can exceed,
// knowing all times beforehand: in any window the whole ones' work at the
// bottleneck must fit its slots from the window's start to its last deadline.
// Taking the shortest first counts the most that fit.
func (n neck) bound(told []check.Told) float64 {
	slices.SortFunc(told, func(a, b check.Told) int { return a.Intended.Compare(b.Intended) })
	took := make([]time.Duration, len(told))
	for i, t := range told {
		took[i] = work.Time(n.mean, n.sigma, cmp.Or(t.ID, t.Label), n.stage)
	}
	most := len(told)
	const windows = 8
	for from := range windows {
		for to := from + 1; to <= windows; to++ {
			a, b := from*len(told)/windows, to*len(told)/windows
			lost := b - a - fits(told[a:b], took[a:b], n.slots)
			most = min(most, len(told)-lost)
		}
	}
	return float64(most) / float64(max(len(told), 1))
}

func fits(told []check.Told, took []time.Duration, slots int) int {
	if len(told) == 0 {
		return 0
	}
	span := told[len(told)-1].Intended.Sub(told[0].Intended) + told[len(told)-1].Deadline
	room := time.Duration(slots) * span
	short := slices.Clone(took)
	slices.SortFunc(short, cmp.Compare[time.Duration])
	n := 0
	for _, d := range short {
		if d > told[0].Deadline || d > room {
			break
		}
		room -= d
		n++
	}
	return n
}
