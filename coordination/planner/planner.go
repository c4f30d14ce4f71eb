// Package planner computes the effects of a declaration: where each stage runs,
// how much capacity each service needs, each stage's share of the deadline, the
// expected service level (by M/M/c queues), and the cost.
package planner

import (
	"fmt"
	"math"
	"reflect"
	"sort"
	"time"

	"quinceroad/coordination/replicas"
	"quinceroad/state/fleet"
)

// Step is one stage of the plan.
type Step struct {
	Pipeline        string
	Stage           string
	Service         string
	Halls           []string      // of the service's replicas
	Slots           int           // of all of these replicas
	StagesPerSecond float64       // stages per second of the whole service at the expected duration
	Budget          time.Duration // the stage's share of the deadline
	CostPerRequest  float64       // cost units per request
}

// Plan describes the effects of a declaration.
type Plan struct {
	Changes  []string
	Warnings []string
	Steps    []Step
	Needs    []Need
	Outlooks []Outlook
}

// Compute compares the declared fleet with the current one, which may be nil,
// given the live replicas.
func Compute(next, old *fleet.Fleet, live []replicas.Replica) Plan {
	p := Plan{Changes: changes(next, old)}
	capacity := capacities(next, live)
	for _, pl := range next.Pipelines {
		p.addPipeline(next, &pl, capacity)
	}
	p.Needs = needs(next, capacity)
	loads := make(map[string]float64)
	for _, n := range p.Needs {
		loads[n.Service] = n.SlotsInUse
		if n.RequiredReplicas > n.LiveReplicas && n.LiveReplicas > 0 {
			p.Warnings = append(p.Warnings, fmt.Sprintf("service %s has %d replicas, %d would keep it under %.0f%% at the declared peak", n.Service, n.LiveReplicas, n.RequiredReplicas, 100*n.TargetUtilization))
		}
	}
	for i := range next.Pipelines {
		p.Outlooks = append(p.Outlooks, outlook(next, &next.Pipelines[i], capacity, loads))
	}
	for _, s := range next.Services {
		if capacity[s.Name].slots == 0 {
			p.Warnings = append(p.Warnings, fmt.Sprintf("service %s has no live replica", s.Name))
		}
	}
	return p
}

// capacity is what the live replicas of a service that are not leaving provide.
type capacity struct {
	halls []string
	slots int
}

func capacities(f *fleet.Fleet, live []replicas.Replica) map[string]capacity {
	out := make(map[string]capacity)
	for _, s := range f.Services {
		halls := make(map[string]bool)
		var c capacity
		for _, r := range live {
			if r.Service == s.Name && !r.Leaving {
				halls[r.Hall] = true
				c.slots += s.Slots
			}
		}
		for h := range halls {
			c.halls = append(c.halls, h)
		}
		sort.Strings(c.halls)
		out[s.Name] = c
	}
	return out
}

func (p *Plan) addPipeline(f *fleet.Fleet, pl *fleet.Pipeline, capacity map[string]capacity) {
	var total time.Duration
	for i := range pl.Stages {
		total += pl.Stages[i].ExpectedTime()
	}
	if total > pl.Deadline() {
		p.Warnings = append(p.Warnings, fmt.Sprintf("pipeline %s: its stages' expected times add up to %s, over its deadline of %s", pl.Name, total, pl.Deadline()))
	}
	for i := range pl.Stages {
		st := &pl.Stages[i]
		svc, _ := f.Service(st.Service) // validated when the declaration was parsed
		c := capacity[st.Service]
		share := float64(st.ExpectedTime()) / float64(max(total, 1))
		p.Steps = append(p.Steps, Step{
			Pipeline: pl.Name, Stage: st.Name, Service: st.Service,
			Halls: c.halls, Slots: c.slots,
			StagesPerSecond: math.Round(10*float64(c.slots)/st.ExpectedTime().Seconds()) / 10,
			Budget:          time.Duration(share * float64(pl.Deadline())),
			CostPerRequest:  st.ExpectedTime().Seconds() * svc.Cost,
		})
	}
}

// changes lists the differences by kind and name: additions and changes in the
// order of next, then removals in the order of old.
func changes(next, old *fleet.Fleet) []string {
	if old == nil {
		old = &fleet.Fleet{}
	}
	var out []string
	a, b := *next, *old
	a.Services, a.Pipelines, a.Customers = nil, nil, nil
	b.Services, b.Pipelines, b.Customers = nil, nil, nil
	if !reflect.DeepEqual(a, b) {
		out = append(out, "~ fleet settings")
	}
	out = append(out, compare("service", next.Services, old.Services, func(s fleet.Service) string { return s.Name })...)
	out = append(out, compare("pipeline", next.Pipelines, old.Pipelines, func(p fleet.Pipeline) string { return p.Name })...)
	return append(out, compare("customer", next.Customers, old.Customers, func(c fleet.Customer) string { return c.Name })...)
}

func compare[T any](kind string, next, old []T, name func(T) string) []string {
	before := make(map[string]T)
	for _, o := range old {
		before[name(o)] = o
	}
	var out []string
	for _, n := range next {
		o, ok := before[name(n)]
		delete(before, name(n))
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("+ %s %s", kind, name(n)))
		case !reflect.DeepEqual(n, o):
			out = append(out, fmt.Sprintf("~ %s %s", kind, name(n)))
		}
	}
	for _, o := range old {
		if _, gone := before[name(o)]; gone {
			out = append(out, fmt.Sprintf("- %s %s", kind, name(o)))
		}
	}
	return out
}
