package planner

import (
	"math"

	"quinceroad/state/fleet"
)

// Target utilization of a service's slots at the declared peak: 40% of the
// slots stay free if only attainment has weight, 10% if only cost has.
const (
	maxUtilizationForAttainment = 0.6
	maxUtilizationForCost       = 0.9
)

// Need is the capacity that a service needs at the declared peak.
type Need struct {
	Service           string
	SlotsInUse        float64 // average number of slots in use
	TargetUtilization float64 // maximum utilization of the slots
	RequiredReplicas  int     // replicas that keep the utilization at TargetUtilization
	LiveReplicas      int     // live replicas that are not leaving
	CostPerSecond     float64 // cost units per second for the load itself
}

// Outlook is the expected service level of a pipeline at the declared peak with
// the live replicas, computed from declared durations.
type Outlook struct {
	Pipeline       string
	Attainment     float64 // share of requests completed within the deadline
	CostPerRequest float64 // cost units per request
}

// targetUtilization interpolates the target utilization by the declared weight
// of attainment against cost.
func targetUtilization(f *fleet.Fleet) float64 {
	return maxUtilizationForCost - f.AttainmentWeight*(maxUtilizationForCost-maxUtilizationForAttainment)
}

// needs computes each service's capacity from the declared rates of the
// pipelines.
func needs(f *fleet.Fleet, have map[string]capacity) []Need {
	var out []Need
	for _, s := range f.Services {
		n := Need{Service: s.Name, TargetUtilization: targetUtilization(f), LiveReplicas: have[s.Name].slots / s.Slots}
		for _, p := range f.Pipelines {
			for i := range p.Stages {
				if p.Stages[i].Service == s.Name {
					n.SlotsInUse += p.Rate * p.Stages[i].ExpectedTime().Seconds()
				}
			}
		}
		n.CostPerSecond = n.SlotsInUse * s.Cost
		n.RequiredReplicas = int(math.Ceil(n.SlotsInUse / n.TargetUtilization / float64(s.Slots)))
		out = append(out, n)
	}
	return out
}

// outlook models each service as a queue with c servers (M/M/c, Erlang 1917)
// and the total duration of the stages as normally distributed.
func outlook(f *fleet.Fleet, p *fleet.Pipeline, have map[string]capacity, loads map[string]float64) Outlook {
	o := Outlook{Pipeline: p.Name, Attainment: 1}
	var mean, variance float64
	for i := range p.Stages {
		st := &p.Stages[i]
		svc, _ := f.Service(st.Service) // validated when the declaration was parsed
		t := st.ExpectedTime().Seconds()
		o.CostPerRequest += t * svc.Cost
		wait, ok := meanWait(loads[st.Service], have[st.Service].slots, t)
		if !ok {
			o.Attainment = 0
			return o
		}
		mean += t + wait
		variance += t*t + wait*wait
	}
	slack := p.Deadline().Seconds() - mean
	o.Attainment = 0.5 * math.Erfc(-slack/math.Sqrt(2*variance))
	return o
}

// meanWait returns the mean waiting time in a queue with c servers, mean
// service time t and the given load in servers; false if the load reaches the
// capacity.
func meanWait(load float64, c int, t float64) (float64, bool) {
	if load >= float64(c) {
		return 0, false
	}
	// Erlang B by recursion, then Erlang C, the probability of waiting.
	b := 1.0
	for k := 1; k <= c; k++ {
		b = load * b / (float64(k) + load*b)
	}
	utilization := load / float64(c)
	waitProbability := b / (1 - utilization*(1-b))
	return waitProbability * t / (float64(c) * (1 - utilization)), true
}
