package shares

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// resource is what customers ask for of one thing.
type resource struct {
	opts     *Options
	capacity float64
	requests float64 // asked for, over AskedFor
	told     map[string]float64
	flows    map[string]*flow
	at       time.Duration // when the flows' averages were last faded
	partedAt time.Duration
	learntAt time.Duration
	learnt   time.Duration // for how long what is usual has been learnt
	wasShort bool          // since learntAt
	short    bool          // more is asked for than there is
}

// flow is one customer's part of a resource.
type flow struct {
	ranks  []rankAsked // the most urgent first
	usual  float64     // served within its share, over UsualFor
	before float64     // served in the LearnEach before the last, not in usual yet
	recent float64     // and since
	share  float64     // that it may have, in a second; +Inf where nothing is short
}

// rankAsked is what is asked for at a rank.
type rankAsked struct {
	rank   int
	work   float64       // over AskedFor
	credit float64       // that its part of the share has left; below 0: it took more at once
	at     time.Duration // as of when
}

func (r *resource) flow(customer string) *flow {
	f := r.flows[customer]
	if f == nil {
		f = &flow{share: math.Inf(1)}
		r.flows[customer] = f
	}
	return f
}

func (f *flow) of(rank int) *rankAsked {
	i, found := slices.BinarySearchFunc(f.ranks, rank, func(a rankAsked, rank int) int { return cmp.Compare(a.rank, rank) })
	if !found {
		f.ranks = slices.Insert(f.ranks, i, rankAsked{rank: rank})
	}
	return &f.ranks[i]
}

// held reports whether a customer asks for more than its share.
func (f *flow) held() bool { return !math.IsInf(f.share, 1) }

// asked is what a customer asks for, over AskedFor.
func (f *flow) asked() float64 {
	sum := 0.0
	for _, a := range f.ranks {
		sum += a.work
	}
	return sum
}

// hasCredit reports whether a rank's part of the share has something left: what
// the more urgent leave of it, as it comes in time. At most what comes in ahead is
// kept.
func (f *flow) hasCredit(now time.Duration, rank int, o *Options) bool {
	part := f.share
	for i := range f.ranks {
		a := &f.ranks[i]
		if a.rank != rank {
			part = max(part-a.work/o.DemandWindow.Seconds(), 0)
			continue
		}
		a.credit = min(a.credit+part*(now-a.at).Seconds(), part*o.Burst.Seconds())
		a.at = now
		return a.credit > 0
	}
	return true
}

// partIfDue fades the averages and parts the resource anew when it is time.
func (r *resource) partIfDue(now time.Duration) {
	if r.partedAt != 0 && now-r.partedAt < r.opts.AllocationInterval {
		return
	}
	r.fade(now)
	r.partedAt = max(now, 1)
	r.part()
	r.learn(now)
}

// learn takes over what was served as usual, unless more was asked for than there
// was then or soon after: else a flood would become what is usual. Where nothing is
// known at all, as after a start of all, what is served first has to do.
func (r *resource) learn(now time.Duration) {
	r.wasShort = r.wasShort || r.short
	if now-r.learntAt < r.opts.LearnInterval {
		return
	}
	skip := r.wasShort && (r.learnt >= r.opts.MaxScarceLearning || len(r.told) > 0)
	if !skip {
		r.learnt += r.opts.LearnInterval
	}
	for _, f := range r.flows {
		if skip {
			f.before, f.recent = 0, 0
			continue
		}
		f.usual += f.before
		f.before, f.recent = f.recent, 0
	}
	r.learntAt, r.wasShort = now, r.short
}

func (r *resource) fade(now time.Duration) {
	asked := math.Exp(-(now - r.at).Seconds() / r.opts.DemandWindow.Seconds())
	usual := math.Exp(-(now - r.at).Seconds() / r.opts.UsageWindow.Seconds())
	if r.short {
		usual = 1
	}
	r.at = now
	r.requests *= asked
	maps.DeleteFunc(r.flows, func(_ string, f *flow) bool {
		for i := range f.ranks {
			f.ranks[i].work *= asked
		}
		f.usual *= usual
		f.ranks = slices.DeleteFunc(f.ranks, func(a rankAsked) bool { return a.work < r.opts.MinAverage })
		return len(f.ranks) == 0 && f.usual+f.before+f.recent < r.opts.MinAverage
	})
}
