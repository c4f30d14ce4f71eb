package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// resource holds the demand for one resource by customer.
type resource struct {
	opts        *Options
	capacity    float64            // units of work per second
	requests    float64            // number of requests, decayed over DemandWindow
	reported    map[string]float64 // see Allocator
	flows       map[string]*flow   // by customer
	decayedAt   time.Duration      // when the averages were last decayed
	allocatedAt time.Duration      // when the shares were last computed; 0: never
	learnedAt   time.Duration      // when usage was last updated
	learnedFor  time.Duration      // total time over which usage was learned
	wasScarce   bool               // demand has exceeded capacity since learnedAt
	scarce      bool               // demand exceeds capacity
}

// flow is one customer's use of a resource.
type flow struct {
	ranks    []rankDemand // the most urgent first
	usage    float64      // work served within the share, over UsageWindow
	previous float64      // work served in the LearnInterval before the current one, not yet part of usage
	recent   float64      // work served in the current LearnInterval
	share    float64      // units of work per second; +Inf unless throttled
}

// rankDemand is a customer's demand at one rank.
type rankDemand struct {
	rank      int
	work      float64       // units of work demanded, decayed over DemandWindow
	credit    float64       // unused units of work of the share; negative after a large request
	updatedAt time.Duration // when credit was last refilled
}

func (r *resource) flow(customer string) *flow {
	f := r.flows[customer]
	if f == nil {
		f = &flow{share: math.Inf(1)}
		r.flows[customer] = f
	}
	return f
}

func (f *flow) atRank(rank int) *rankDemand {
	i, found := slices.BinarySearchFunc(f.ranks, rank, func(a rankDemand, rank int) int { return cmp.Compare(a.rank, rank) })
	if !found {
		f.ranks = slices.Insert(f.ranks, i, rankDemand{rank: rank})
	}
	return &f.ranks[i]
}

// throttled reports whether the customer demands more than its share.
func (f *flow) throttled() bool { return !math.IsInf(f.share, 1) }

// demand is the customer's demand at all ranks, over DemandWindow.
func (f *flow) demand() float64 {
	sum := 0.0
	for _, a := range f.ranks {
		sum += a.work
	}
	return sum
}

// hasCredit refills a rank's credit and reports whether any is left. A rank gets the
// part of the share that more urgent ranks leave, and accumulates at most Options.Burst
// of it.
func (f *flow) hasCredit(now time.Duration, rank int, o *Options) bool {
	portion := f.share
	for i := range f.ranks {
		a := &f.ranks[i]
		if a.rank != rank {
			portion = max(portion-a.work/o.DemandWindow.Seconds(), 0)
			continue
		}
		a.credit = min(a.credit+portion*(now-a.updatedAt).Seconds(), portion*o.Burst.Seconds())
		a.updatedAt = now
		return a.credit > 0
	}
	return true
}

// allocateIfDue decays the averages and recomputes the shares once per
// AllocationInterval.
func (r *resource) allocateIfDue(now time.Duration) {
	if r.allocatedAt != 0 && now-r.allocatedAt < r.opts.AllocationInterval {
		return
	}
	r.decay(now)
	r.allocatedAt = max(now, 1)
	r.allocate()
	r.learn(now)
}

// learn adds what was served to the usual load, except while demand exceeds capacity
// and in the interval before that: otherwise a flood would become the usual load. When
// no usage is known, as after a restart of all instances, it learns during scarcity
// too.
func (r *resource) learn(now time.Duration) {
	r.wasScarce = r.wasScarce || r.scarce
	if now-r.learnedAt < r.opts.LearnInterval {
		return
	}
	skip := r.wasScarce && (r.learnedFor >= r.opts.MaxScarceLearning || len(r.reported) > 0)
	if !skip {
		r.learnedFor += r.opts.LearnInterval
	}
	for _, f := range r.flows {
		if skip {
			f.previous, f.recent = 0, 0
			continue
		}
		f.usage += f.previous
		f.previous, f.recent = f.recent, 0
	}
	r.learnedAt, r.wasScarce = now, r.scarce
}

// decay ages the averages by the time since the last call and drops customers without
// recent use. While demand exceeds capacity, usage is not aged.
func (r *resource) decay(now time.Duration) {
	demandFactor := math.Exp(-(now - r.decayedAt).Seconds() / r.opts.DemandWindow.Seconds())
	usageFactor := math.Exp(-(now - r.decayedAt).Seconds() / r.opts.UsageWindow.Seconds())
	if r.scarce {
		usageFactor = 1
	}
	r.decayedAt = now
	r.requests *= demandFactor
	maps.DeleteFunc(r.flows, func(_ string, f *flow) bool {
		for i := range f.ranks {
			f.ranks[i].work *= demandFactor
		}
		f.usage *= usageFactor
		f.ranks = slices.DeleteFunc(f.ranks, func(a rankDemand) bool { return a.work < r.opts.MinAverage })
		return len(f.ranks) == 0 && f.usage+f.previous+f.recent < r.opts.MinAverage
	})
}
