package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// allocate computes each customer's share by progressive filling: shares rise in
// proportion to the weights until the resource is used up, and a customer that demands
// less than its share leaves the remainder to the others.
func (r *resource) allocate() {
	total := 0.0
	for _, f := range r.flows {
		f.share = math.Inf(1)
		total += f.demand() / r.opts.DemandWindow.Seconds()
	}
	r.scarce = total > r.capacity
	if !r.scarce {
		return
	}
	demands := r.demands()
	if !r.findUsage(demands) {
		return
	}
	weights := 0.0
	for i := range demands {
		demands[i].weight = max(demands[i].usageFraction, 1/float64(len(demands)))
		weights += demands[i].weight
	}
	r.markExcess(demands, total)
	slices.SortStableFunc(demands, func(a, b demand) int { return cmp.Compare(a.rate*b.weight, b.rate*a.weight) })
	remaining := r.capacity
	for _, a := range demands {
		fair := remaining * a.weight / weights
		if a.rate > fair && a.excess {
			a.flow.share = fair
		}
		remaining -= min(a.rate, fair)
		weights -= a.weight
	}
}

// findUsage sets each customer's fraction of the usual load, learned here or, until
// enough is learned, reported by the instances that accept requests. It returns false
// when no usage is known.
func (r *resource) findUsage(demands []demand) bool {
	usage := func(a *demand) float64 { return r.reported[a.customer] }
	if r.learnedFor >= r.opts.MinLearned {
		usage = func(a *demand) float64 { return a.flow.usage }
	}
	total := 0.0
	for i := range demands {
		total += usage(&demands[i])
	}
	for i := range demands {
		demands[i].usageFraction = usage(&demands[i]) / max(total, math.SmallestNonzeroFloat64)
	}
	return total > 0
}

// demands returns the customers with demand, by name.
func (r *resource) demands() []demand {
	var out []demand
	for _, name := range slices.Sorted(maps.Keys(r.flows)) {
		f := r.flows[name]
		if a := f.demand() / r.opts.DemandWindow.Seconds(); a > 0 {
			out = append(out, demand{customer: name, flow: f, rate: a})
		}
	}
	return out
}

// markExcess marks the customers whose demand clearly exceeds that of the others, each
// in proportion to its weight. A marked customer no longer counts in the comparison for
// the rest. When all demand more, nobody is marked and requests are ordered by rank
// alone; a few requests that arrive together by chance don't count as a flood.
func (r *resource) markExcess(demands []demand, total float64) {
	burst := r.opts.BurstTolerance * total / max(r.requests, 1)
	remainingUsage := 1.0
	for changed := true; changed; {
		changed = false
		for i := range demands {
			a := &demands[i]
			if a.customer != "" && !a.excess && (a.rate-burst)*(remainingUsage-a.usageFraction) > r.opts.ExcessRatio*a.weight*(total-a.rate) {
				a.excess, changed = true, true
				total -= a.rate
				remainingUsage -= a.usageFraction
			}
		}
	}
}

// demand is one customer's input to an allocation.
type demand struct {
	flow          *flow
	customer      string  // "" when unknown: on routes without authentication, and from older builds
	rate          float64 // units of work per second
	usageFraction float64 // fraction of the usual load
	weight        float64 // usageFraction, or an equal part if that is more
	excess        bool
}
