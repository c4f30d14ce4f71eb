package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// part gives each customer its share: a level rises for all in proportion to
// their weights until the resource is used up, and who asks for less than the
// level gives it leaves the rest to the others.
func (r *resource) part() {
	total := 0.0
	for _, f := range r.flows {
		f.share = math.Inf(1)
		total += f.asked() / r.opts.DemandWindow.Seconds()
	}
	r.short = total > r.capacity
	if !r.short {
		return
	}
	asks := r.asks()
	if !r.findUsual(asks) {
		return
	}
	weights := 0.0
	for i := range asks {
		asks[i].weight = max(asks[i].usual, 1/float64(len(asks)))
		weights += asks[i].weight
	}
	r.findBeyond(asks, total)
	slices.SortStableFunc(asks, func(a, b asking) int { return cmp.Compare(a.asked*b.weight, b.asked*a.weight) })
	left := r.capacity
	for _, a := range asks {
		fair := left * a.weight / weights
		if a.asked > fair && a.beyond {
			a.flow.share = fair
		}
		left -= min(a.asked, fair)
		weights -= a.weight
	}
}

// findUsual sets each customer's part of what is usual, by what was learnt here or,
// before that, by what is told; it reports whether anything is known.
func (r *resource) findUsual(asks []asking) bool {
	usual := func(a *asking) float64 { return r.told[a.customer] }
	if r.learnt >= r.opts.MinLearned {
		usual = func(a *asking) float64 { return a.flow.usual }
	}
	total := 0.0
	for i := range asks {
		total += usual(&asks[i])
	}
	for i := range asks {
		asks[i].usual = usual(&asks[i]) / max(total, math.SmallestNonzeroFloat64)
	}
	return total > 0
}

// asks returns the customers that ask for something, by name.
func (r *resource) asks() []asking {
	var out []asking
	for _, name := range slices.Sorted(maps.Keys(r.flows)) {
		f := r.flows[name]
		if a := f.asked() / r.opts.DemandWindow.Seconds(); a > 0 {
			out = append(out, asking{customer: name, flow: f, asked: a})
		}
	}
	return out
}

// findBeyond marks the customers that ask for clearly more than the others do,
// each against what it usually has; those found are no measure for the rest.
// Where all ask for more, ranks decide as ever; and a few requests that happen to
// come together are no flood.
func (r *resource) findBeyond(asks []asking, total float64) {
	few := r.opts.BurstTolerance * total / max(r.requests, 1)
	usual := 1.0
	for found := true; found; {
		found = false
		for i := range asks {
			a := &asks[i]
			if a.customer != "" && !a.beyond && (a.asked-few)*(usual-a.usual) > r.opts.ExcessRatio*a.weight*(total-a.asked) {
				a.beyond, found = true, true
				total -= a.asked
				usual -= a.usual
			}
		}
	}
}

// asking is a customer's part in one parting.
type asking struct {
	flow     *flow
	customer string  // "" where it is not told: by routes that take anybody, and by older builds
	asked    float64 // in a second
	usual    float64 // its part of what is usually served
	weight   float64 // that, or an equal part where it is more
	beyond   bool
}
