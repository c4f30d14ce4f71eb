// Package placement chooses the engine (replica that runs a model) for a stream, a
// request that is answered token by token.
//
// An engine prefills a long prompt in chunks between the decode steps of its
// running streams, which pauses all of them. The choice therefore minimizes the
// total cost to all requests: the time to the request's own first event, the
// streams that its prefill would pause, the shared prompt parts that would be
// prefilled again or transferred, and the results that would cross halls.
// Streams with long outputs avoid engines that often prefill long prompts,
// which separates the two kinds of load without explicit partitioning. Engine
// speeds are estimated from observed requests (package speed).
//
// One Placer sees all requests of its engines. It is pure: events and times in,
// decisions out. Its state is soft: a new owner starts with an empty one.
package placement

import (
	"cmp"
	"slices"
	"time"

	"quinceroad/coordination/origin"
	"quinceroad/coordination/pace"
	"quinceroad/coordination/speed"
	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// Request describes a stream to be placed.
type Request struct {
	ID           uint64 // unique in the Placer while the request runs
	Service      string
	Parts        []catalog.PromptPart // of the prompt; the last one is specific to this request
	OutputTokens int                  // expected number of generated tokens
	Slack        time.Duration        // time left until the first event is late
	ResultBytes  map[string]int64     // bytes of results that the stream reads, by the hall that holds them
	Avoid        map[string]bool      // IDs of excluded engines
	Binding      origin.Binding       // build that began the stream, if it goes on
	RemoteCache  CachedPrefix         // longest prefix cached in other regions
	ReplicaEnds  int                  // replicas that ended while running this request; a request with any is a suspect
}

// CachedPrefix is the part of a prompt that an engine has cached.
type CachedPrefix struct {
	Address string // IP:port of the engine
	Tokens  int    // length, from the start of the prompt
}

// Choice is a placement decision: the engine, and where it fetches the cached
// prefix that it lacks.
type Choice struct {
	Replica            catalog.Replica
	FetchFrom          string // IP:port; "" if nothing is fetched
	PrefillTokens      int    // prompt tokens that the engine has to prefill
	TransferTokens     int    // prompt tokens that the engine has to fetch
	ConcurrentSuspects int    // other suspects running on the engine
}

// Placer tracks engines and their running requests, and places new requests. It
// is not safe for concurrent use.
type Placer struct {
	opts        Options
	engines     map[string]*engine
	byService   map[string][]*engine // sorted by ID
	speeds      map[string]*speed.ServiceEstimator
	runs        map[uint64]*run
	grants      pace.Limiter // nil: send grants are not used
	warmUpLimit warmup.Limit
	warmUpSends *warmup.Window // requests sent to warming engines
}

type engine struct {
	catalog.Replica
	warmUpRate       int           // maximum requests per second while warming; 0: unlimited
	slots            int           // streams that it runs at the same time; 0: unknown
	memory           int           // in tokens
	generating       int           // streams past their first event
	prefilling       int           // streams before their first event
	suspects         int           // running requests with ReplicaEnds > 0
	trials           int           // running requests with ReplicaEnds >= TrialThreshold
	busyUntil        time.Duration // estimated end of the prefills that were placed on it
	prefillShare     float64       // recent share of time spent on prefill, as of prefillShareAt
	prefillShareAt   time.Duration
	speed            *speed.ServiceEstimator
	replicaSpeed     speed.ReplicaEstimator // speed relative to the service's other replicas
	transferPerToken time.Duration          // time to transfer one token from another engine
	cached           map[uint64]*cachedPart
	reported         map[string]int // cached tokens by part ID, as of the engine's last cache report
	reportedAt       time.Duration
	cachedTokens     int
}

// New returns a placer without engines; warmUp limits the request rate of warming
// engines.
func New(o Options, warmUp warmup.Limit) *Placer {
	return &Placer{
		opts: o, engines: make(map[string]*engine), speeds: make(map[string]*speed.ServiceEstimator),
		runs: make(map[uint64]*run), warmUpLimit: warmUp, warmUpSends: warmup.NewWindow(),
	}
}

// WithSendGrants makes the placer respect and spend the send grants of engines
// that state a rate limit. It returns the placer.
func (p *Placer) WithSendGrants(grants pace.Limiter) *Placer {
	p.grants = grants
	return p
}

// SetEngines replaces the configured services and the live replicas. The state
// of engines that remain listed is kept.
func (p *Placer) SetEngines(services map[string]*catalog.Service, replicas []catalog.Replica) {
	listed := make(map[string]bool)
	for _, r := range replicas {
		s := services[r.Service]
		if s == nil || s.Engine == nil {
			continue
		}
		listed[r.ID] = true
		e := p.engines[r.ID]
		if e == nil {
			e = &engine{cached: make(map[uint64]*cachedPart)}
			p.engines[r.ID] = e
		}
		r.Draining = r.Draining || e.Draining
		e.Replica = r
		e.slots = s.Engine.Slots
		e.warmUpRate = 0
		if s.WarmUp != nil {
			e.warmUpRate = p.warmUpLimit.MaxPerSender(s.WarmUp.RequestsPerSecond)
		}
		e.memory = int(s.Engine.MemoryTokens)
		e.speed = p.serviceSpeed(r.Service)
		e.transferPerToken = transferTimePerToken(s.Engine)
	}
	for id := range p.engines {
		if !listed[id] {
			delete(p.engines, id)
		}
	}
	p.byService = make(map[string][]*engine)
	for _, e := range p.engines {
		p.byService[e.Service] = append(p.byService[e.Service], e)
	}
	for _, list := range p.byService {
		slices.SortFunc(list, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Place returns the engine with the lowest cost for a request; false if no
// engine is eligible.
func (p *Placer) Place(now time.Duration, r *Request) (Choice, bool) {
	keys := prefixKeys(r.Parts)
	all := p.candidates(now, r)
	if len(all) == 0 {
		return Choice{}, false
	}
	cached := make([]int, len(all))
	longest := 0
	for i, e := range all {
		cached[i] = e.cachedPrefix(now, &p.opts, r.Parts, keys)
		longest = max(longest, cached[i])
	}
	fetch := all[slices.Index(cached, longest)].Address
	if e, n := p.drainedHolder(now, r, keys); n > longest {
		fetch, longest = e.Address, n
	}
	if r.RemoteCache.Tokens > longest {
		fetch, longest = r.RemoteCache.Address, r.RemoteCache.Tokens
	}
	best, least := -1, 0.0
	for i, e := range all {
		if c := p.cost(now, r, e, cached[i], longest); best < 0 || c < least {
			best, least = i, c
		}
	}
	c := Choice{Replica: all[best].Replica, ConcurrentSuspects: all[best].suspects, PrefillTokens: r.promptTokens() - longest, TransferTokens: longest - cached[best]}
	if c.TransferTokens > 0 {
		c.FetchFrom = fetch
	}
	return c, true
}

// drainedHolder returns the engine with the longest cached prefix in the halls
// being drained, and the prefix length. Such an engine gets no requests, but
// its cache can still be fetched.
func (p *Placer) drainedHolder(now time.Duration, r *Request, keys []uint64) (holder *engine, longest int) {
	for _, e := range p.byService[r.Service] {
		if !e.HallDrained || e.Draining {
			continue
		}
		if n := e.cachedPrefix(now, &p.opts, r.Parts, keys); n > longest {
			holder, longest = e, n
		}
	}
	return holder, longest
}

// candidates returns the engines eligible for a request. The start of the list
// rotates with the request ID, so that engines of equal cost share the load.
func (p *Placer) candidates(now time.Duration, r *Request) []*engine {
	all := p.byService[r.Service]
	out := make([]*engine, 0, len(all))
	for i := range all {
		e := all[(uint64(i)+r.ID*rotationMultiplier)%uint64(len(all))]
		if e.AcceptsWork() && !r.Avoid[e.ID] && r.Binding.Allows(e.Version) && p.withinWarmUpRate(now, e) && p.hasSendGrant(now, e) {
			out = append(out, e)
		}
	}
	return r.isolate(out)
}

// TrialThreshold is the number of replica ends during a request after which its
// next run is a trial: no other request is placed on its engine, so that one
// more end identifies the request as the cause.
const TrialThreshold = 2

// isolate returns the engines with the best isolation rank. It avoids engines
// that run another request's trial if there are others; a suspect gets the
// engines with the fewest other suspects, because everything that runs with the
// culprit is lost with it; a trial gets the least loaded of these.
func (r *Request) isolate(all []*engine) []*engine {
	var out []*engine
	for _, e := range all {
		if len(out) > 0 {
			switch c := slices.Compare(r.isolationRank(e), r.isolationRank(out[0])); {
			case c > 0:
				continue
			case c < 0:
				out = out[:0]
			}
		}
		out = append(out, e)
	}
	return out
}

// isolationRank returns the sort key of an engine for isolate; lower is better.
func (r *Request) isolationRank(e *engine) []int {
	rank := []int{min(e.trials, 1), 0, 0}
	if r.ReplicaEnds > 0 {
		rank[1] = e.suspects
	}
	if r.ReplicaEnds >= TrialThreshold {
		rank[2] = e.generating + e.prefilling
	}
	return rank
}

// hasSendGrant reports whether the rate limit that an engine states allows one
// more request now.
func (p *Placer) hasSendGrant(now time.Duration, e *engine) bool {
	return p.grants == nil || !p.grants.HasLimits() || p.grants.NextGrant(now, e.ID) <= now
}

// GrantSupply returns the combined send grants of the engines eligible for a
// request.
func (p *Placer) GrantSupply(now time.Duration, r *Request) (s pace.Supply) {
	if p.grants == nil || !p.grants.HasLimits() {
		return s
	}
	first := true
	for _, e := range p.byService[r.Service] {
		if !e.AcceptsWork() || r.Avoid[e.ID] || !r.Binding.Allows(e.Version) {
			continue
		}
		s = s.Add(first, p.grants.NextGrant(now, e.ID), p.grants.Interval(e.ID))
		first = false
	}
	return s
}

// withinWarmUpRate reports whether an engine is warm, or its warm-up limit
// allows one more request now.
func (p *Placer) withinWarmUpRate(now time.Duration, e *engine) bool {
	return e.warmUpRate == 0 || now >= e.WarmingUntil || p.warmUpSends.NextAllowed(now, e.ID, e.warmUpRate) <= now
}

// rotationMultiplier spreads consecutive request IDs over the rotations of the
// candidate list (multiplicative hashing).
const rotationMultiplier = 0x9e3779b1

// cost returns the total cost of placing a request on an engine that has cached
// the given number of prompt tokens; longest is the longest prefix cached
// anywhere.
func (p *Placer) cost(now time.Duration, r *Request, e *engine, cached, longest int) float64 {
	o := &p.opts
	transferred := longest - cached
	prefill := e.prefillTime(r.promptTokens() - longest)
	queue := max(e.busyUntil-now, 0)
	firstEvent := queue + prefill + e.transferTime(transferred) + e.baseTime()

	c := o.FirstEventSecondCost*firstEvent.Seconds() + o.TransferTokenCost*float64(transferred)
	if r.Slack > 0 { // the cost of lateness rises between 60% and 110% of the slack
		c += o.LateCost * ramp(firstEvent.Seconds(), 0.6*r.Slack.Seconds(), 1.1*r.Slack.Seconds())
	}
	c += o.StallCost * float64(e.generating) * ramp((queue+prefill).Seconds(), o.StallMin.Seconds(), o.StallMax.Seconds())
	c += o.InterferenceCost * e.decayedPrefillShare(now, o) * float64(r.OutputTokens) * e.speed.Estimate().PerOutputToken.Seconds()
	for hall, bytes := range r.ResultBytes {
		if hall != e.Hall {
			c += o.CrossHallByteCost * float64(bytes)
		}
	}
	if e.slots > 0 {
		c += o.HighOccupancyCost * ramp(float64(e.generating+e.prefilling)/float64(e.slots), o.HighOccupancy, 1)
	}
	return c
}

// ramp rises linearly from 0 at from to 1 at to.
func ramp(x, from, to float64) float64 {
	if to <= from {
		return 0
	}
	return min(max((x-from)/(to-from), 0), 1)
}

// decayedPrefillShare returns the engine's recent prefill share, decayed up to
// now.
func (e *engine) decayedPrefillShare(now time.Duration, o *Options) float64 {
	e.prefillShare *= max(1-(now-e.prefillShareAt).Seconds()/o.PrefillShareWindow.Seconds(), 0)
	e.prefillShareAt = now
	return e.prefillShare
}
