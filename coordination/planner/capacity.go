package planner

import (
	"math"

	"quinceroad/state/fleet"
)

// The target share of a service's slots in use at the declared peak: a fleet
// that weighs only attainment keeps 40% free, one that weighs only cost 10%.
const (
	fullestAtAttainment = 0.6
	fullestAtCost       = 0.9
)

// Need is how much capacity a service should get.
type Need struct {
	Service  string
	Load     float64 // slots in use on average at the declared peak
	Target   float64 // share of the slots that should be in use at most
	Replicas int     // that many bring the load to the target
	Have     int     // live and not leaving
	CostSec  float64 // units a second for the load itself
}

// Outlook is what a pipeline can expect at the declared peak, with the replicas
// there are. It is worked out from expected times, not measured.
type Outlook struct {
	Pipeline   string
	Attainment float64 // share whole within the deadline
	Cost       float64 // units per request
}

// target is the share of slots in use that the declared weight asks for.
func target(f *fleet.Fleet) float64 {
	return fullestAtCost - f.AttainmentWeight*(fullestAtCost-fullestAtAttainment)
}

// needs works out each service's capacity from the pipelines' declared rates.
func needs(f *fleet.Fleet, have map[string]capacity) []Need {
	var out []Need
	for _, s := range f.Services {
		n := Need{Service: s.Name, Target: target(f), Have: have[s.Name].slots / s.Slots}
		for _, p := range f.Pipelines {
			for i := range p.Stages {
				if p.Stages[i].Service == s.Name {
					n.Load += p.Rate * p.Stages[i].ExpectedTime().Seconds()
				}
			}
		}
		n.CostSec = n.Load * s.Cost
		n.Replicas = int(math.Ceil(n.Load / n.Target / float64(s.Slots)))
		out = append(out, n)
	}
	return out
}

// outlook treats each service as c slots with one queue (Erlang, 1917) and the
// sum over the stages as normally distributed.
func outlook(f *fleet.Fleet, p *fleet.Pipeline, have map[string]capacity, loads map[string]float64) Outlook {
	o := Outlook{Pipeline: p.Name, Attainment: 1}
	var mean, variance float64
	for i := range p.Stages {
		st := &p.Stages[i]
		svc, _ := f.Service(st.Service) // checked when the declaration was read
		t := st.ExpectedTime().Seconds()
		o.Cost += t * svc.Cost
		wait, ok := meanWait(loads[st.Service], have[st.Service].slots, t)
		if !ok {
			o.Attainment = 0
			return o
		}
		mean += t + wait
		variance += t*t + wait*wait
	}
	left := p.Deadline().Seconds() - mean
	o.Attainment = 0.5 * math.Erfc(-left/math.Sqrt(2*variance))
	return o
}

// meanWait is the mean time in the queue of c slots under a load in slots; false
// when the load is more than they can do.
func meanWait(load float64, c int, t float64) (float64, bool) {
	if load >= float64(c) {
		return 0, false
	}
	// Erlang's loss formula by its recursion, then the chance to wait.
	b := 1.0
	for k := 1; k <= c; k++ {
		b = load * b / (float64(k) + load*b)
	}
	use := load / float64(c)
	waits := b / (1 - use*(1-b))
	return waits * t / (float64(c) * (1 - use)), true
}
