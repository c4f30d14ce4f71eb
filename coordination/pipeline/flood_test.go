package pipeline

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"quinceroad/state/catalog"
)

// requestKind is one kind of request of the simulated load.
type requestKind struct {
	name        string
	rank        int
	perSecond   float64 // of all customers together
	objective   time.Duration
	deadline    time.Duration
	stages      []Stage
	stagesShare float64 // share of the requests that have items in their stages
}

// kinds returns three kinds of requests that share their pools, as in deployments: an urgent one
// with large results, one that uses all pools, and a third that does too and has the longest
// deadline.
func kinds() []requestKind {
	chain := []Stage{
		{Service: "read", Items: 1, ResultBytes: 8_000},
		{Service: "rank", After: []int{0}, Items: 6, ResultBytes: 60_000},
		{Service: "score", After: []int{1}, Items: 10, ResultBytes: 6_000},
	}
	return []requestKind{
		{name: "urgent", rank: 0, perSecond: 13, objective: 1500 * ms, deadline: 8 * time.Second, stagesShare: 0.7, stages: []Stage{{Service: "read", Items: 3, ResultBytes: 1_000_000}}},
		{name: "usual", rank: 11, perSecond: 17, objective: 3300 * ms, deadline: 6 * time.Second, stagesShare: 1, stages: chain},
		{name: "patient", rank: 22, perSecond: 13, objective: 4 * time.Second, deadline: 20 * time.Second, stagesShare: 1, stages: chain},
	}
}

// flood is a customer that sends a multiple of its usual load for some seconds.
type flood struct {
	customer int // by size; 0 is the largest
	factor   float64
	kind     string // "" for all
	from, to time.Duration
}

// floodLoad is a load on the pools of one cell.
type floodLoad struct {
	customers     int
	skew          float64 // of customer sizes: the n-th sends 1/n^skew of what the first sends
	replicas      int     // of each pool
	lostShare     float64 // share of the replicas that leave after 3 s
	scale         float64 // multiplies the request rate of each kind
	floods        []flood
	retriesAtOnce bool          // refused clients ignore the retry time and retry at once
	readTime      time.Duration // until a request has read its results; 0: defaultReadTime
	oneCustomer   bool          // all requests belong to one customer
	seed          uint64
}

// tally counts requests by their outcome.
type tally struct{ asked, inTime, late, refused, givenUp int }

func (c tally) inTimeShare() float64 { return float64(c.inTime) / float64(max(c.asked, 1)) }

// tallies holds the outcomes by customer and kind.
type tallies map[int]map[string]*tally

func (o tallies) of(customer int, kind string) *tally {
	if o[customer] == nil {
		o[customer] = make(map[string]*tally)
	}
	if o[customer][kind] == nil {
		o[customer][kind] = &tally{}
	}
	return o[customer][kind]
}

// others adds up the outcomes of a kind's requests of the customers that did not flood.
func (o tallies) others(l *floodLoad, kind string) (sum tally) {
	for customer, kinds := range o {
		if slices.ContainsFunc(l.floods, func(f flood) bool { return f.customer == customer }) || kinds[kind] == nil {
			continue
		}
		c := kinds[kind]
		sum.asked += c.asked
		sum.inTime += c.inTime
		sum.late += c.late
		sum.refused += c.refused
		sum.givenUp += c.givenUp
	}
	return sum
}

// simEvent is an event of a simulation.
type simEvent struct {
	at       time.Duration
	sequence int
	do       func()
}

type eventQueue []simEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].sequence, a[j].sequence)) < 0
}
func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(simEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// floodSim simulates a load against a scheduler.
type floodSim struct {
	load     *floodLoad
	s        *Scheduler
	now      time.Duration
	events   eventQueue
	sequence int
	random   *rand.Rand
	jobs     map[uint64]*simRequest
	out      tallies
	replicas []catalog.Replica
}

// simRequest is one request of a simulation.
type simRequest struct {
	id             string
	customer       int
	kind           *requestKind
	firstSubmitted time.Duration
	retried        bool
}

const (
	simDuration     = 30 * time.Second
	defaultReadTime = 80 * ms // until a request has read its results
	simTick         = 50 * ms
	callTime        = 200 * ms
)

func floodServices() map[string]*catalog.Service {
	pool := func(batch int, item time.Duration, memory int64) *catalog.Service {
		return &catalog.Service{Pool: &catalog.Pool{Slots: 1, QueueLimit: 2, MaxBatch: batch, BatchTime: callTime, ItemTime: item, ResultMemory: memory, ResultTTL: 4 * time.Second}}
	}
	return map[string]*catalog.Service{"read": pool(8, 20*ms, 18_000_000), "rank": pool(32, 5*ms, 4_000_000), "score": pool(46, 4*ms, 600_000)}
}

// simulate runs the load and returns the outcomes of its requests.
func (l *floodLoad) simulate() tallies {
	f := &floodSim{load: l, s: New(), random: rand.New(rand.NewPCG(l.seed, 7)), jobs: make(map[uint64]*simRequest), out: make(tallies)}
	for _, service := range []string{"read", "rank", "score"} {
		for i := range l.replicas {
			id := fmt.Sprint(service, "-", i)
			f.replicas = append(f.replicas, catalog.Replica{ID: id, Service: service, Hall: fmt.Sprint(i % 3), Address: id + ":1"})
		}
	}
	f.apply(f.s.SetPools(0, floodServices(), f.replicas))
	f.arrivals()
	for at := simTick; at < simDuration+10*time.Second; at += simTick {
		f.schedule(at, func() { f.apply(f.s.Tick(f.now)) })
	}
	if l.lostShare > 0 {
		f.schedule(3*time.Second, f.loseReplicas)
	}
	for len(f.events) > 0 {
		next := heap.Pop(&f.events).(simEvent)
		f.now = next.at
		next.do()
	}
	return f.out
}

// arrivals draws each customer's requests from a separate random stream, so that a flood of
// one customer doesn't change the requests of the others.
func (f *floodSim) arrivals() {
	total := 0.0
	size := func(customer int) float64 { return 1 / math.Pow(float64(customer+1), f.load.skew) }
	for c := range f.load.customers {
		total += size(c)
	}
	all := kinds()
	for c := range f.load.customers {
		for k := range all {
			own := rand.New(rand.NewPCG(f.load.seed, uint64(c*len(all)+k)))
			rate := all[k].perSecond * f.load.scale * size(c) / total
			f.drawRequests(own, c, &all[k], rate, 0, simDuration, "")
			for n, fl := range f.load.floods {
				if fl.customer == c && (fl.kind == "" || fl.kind == all[k].name) {
					extra := rand.New(rand.NewPCG(f.load.seed+1, uint64(c*len(all)+k)))
					f.drawRequests(extra, c, &all[k], rate*(fl.factor-1), fl.from, fl.to, fmt.Sprint("flood", n))
				}
			}
		}
	}
}

func (f *floodSim) drawRequests(random *rand.Rand, customer int, k *requestKind, rate float64, from, to time.Duration, mark string) {
	n := 0
	for at := from; rate > 0; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		n++
		r := &simRequest{id: fmt.Sprint(k.name, "-", customer, "-", mark, n), customer: customer, kind: k, firstSubmitted: at}
		hasWork := random.Float64() < k.stagesShare
		f.schedule(at, func() {
			f.out.of(customer, k.name).asked++
			if !hasWork {
				f.out.of(customer, k.name).inTime++
				return
			}
			f.submit(r)
		})
	}
}

func (f *floodSim) schedule(at time.Duration, do func()) {
	f.sequence++
	heap.Push(&f.events, simEvent{at: at, sequence: f.sequence, do: do})
}

// submit submits a request; a refused one is retried once.
func (f *floodSim) submit(r *simRequest) {
	j := Job{
		RequestID: r.id, Key: r.id, Rank: r.kind.rank, Stages: r.kind.stages, Retry: r.retried,
		Objective: r.kind.objective, Deadline: r.kind.deadline - (f.now - r.firstSubmitted),
	}
	if !f.load.oneCustomer {
		j.Customer = fmt.Sprint("customer-", r.customer)
	}
	v, actions := f.s.Submit(f.now, j)
	if v.Admitted {
		f.jobs[v.ID] = r
	} else {
		f.refused(r, v.RetryAfter)
	}
	f.apply(actions)
}

func (f *floodSim) refused(r *simRequest, after time.Duration) {
	after = min(after, (r.kind.deadline-(f.now-r.firstSubmitted))/3)
	if f.load.retriesAtOnce {
		after = 0
	}
	if r.retried {
		f.out.of(r.customer, r.kind.name).refused++
		return
	}
	r.retried = true
	f.schedule(f.now+after+10*ms, func() { f.submit(r) })
}

func (f *floodSim) apply(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Call:
			took := f.callDuration(a)
			f.schedule(f.now+took, func() { f.answer(a) })
		case Deliver:
			f.delivered(a.Job)
		case Fail:
			r := f.jobs[a.Job]
			delete(f.jobs, a.Job)
			f.out.of(r.customer, r.kind.name).givenUp++
			f.refused(r, a.RetryAfter)
		}
	}
}

// callDuration returns the duration of a call, which varies by 10%.
func (f *floodSim) callDuration(c Call) time.Duration {
	def := floodServices()[c.Service].Pool
	took := def.BatchTime + time.Duration(len(c.Items))*def.ItemTime
	return time.Duration(float64(took) * (0.9 + 0.2*f.random.Float64()))
}

func (f *floodSim) answer(c Call) {
	results := make([]Result, len(c.Items))
	for i := range c.Items {
		f.sequence++
		results[i] = Result{Handle: fmt.Sprint(c.Replica, "/", f.sequence)}
	}
	f.apply(f.s.FinishCall(f.now, c.ID, Answered, results))
}

func (f *floodSim) delivered(job uint64) {
	r := f.jobs[job]
	delete(f.jobs, job)
	if f.now-r.firstSubmitted <= r.kind.objective {
		f.out.of(r.customer, r.kind.name).inTime++
	} else {
		f.out.of(r.customer, r.kind.name).late++
	}
	f.schedule(f.now+cmp.Or(f.load.readTime, defaultReadTime), func() { f.apply(f.s.Release(f.now, job)) })
}

// loseReplicas removes a share of each pool's replicas.
func (f *floodSim) loseReplicas() {
	perPool := f.load.replicas
	var left []catalog.Replica
	for i, r := range f.replicas {
		if float64(i%perPool) >= f.load.lostShare*float64(perPool) {
			left = append(left, r)
		}
	}
	f.apply(f.s.SetPools(f.now, floodServices(), left))
}

// minKeptShare is the share of their in-time requests, for each kind, that customers must keep
// during another customer's flood.
const minKeptShare = 0.97

// singleFloods returns the loads in which one or two customers flood.
func singleFloods() map[string]floodLoad {
	from, to := 4*time.Second, 13*time.Second
	one := func(times float64) []flood { return []flood{{customer: 0, factor: times, from: from, to: to}} }
	small := floodLoad{customers: 5, skew: 1, replicas: 6, scale: 1, floods: one(9), seed: 1}
	with := func(change func(l *floodLoad)) floodLoad {
		l := small
		change(&l)
		return l
	}
	return map[string]floodLoad{
		"the largest of 5, 3 times":     with(func(l *floodLoad) { l.floods = one(3) }),
		"the largest of 5, 9 times":     small,
		"the largest of 5, 30 times":    with(func(l *floodLoad) { l.floods = one(30) }),
		"the third of 5, 9 times":       with(func(l *floodLoad) { l.floods = []flood{{customer: 2, factor: 9, from: from, to: to}} }),
		"one of 40, 30 times":           with(func(l *floodLoad) { l.customers = 40; l.floods = one(30) }),
		"one of 5400, 90 times":         with(func(l *floodLoad) { l.customers = 5400; l.floods = one(90) }),
		"two of 5, 9 times":             with(func(l *floodLoad) { l.floods = append(one(9), flood{customer: 2, factor: 9, from: from, to: to}) }),
		"the urgent kind alone":         with(func(l *floodLoad) { l.floods = one(30); l.floods[0].kind = "urgent" }),
		"the patient kind alone":        with(func(l *floodLoad) { l.floods = one(30); l.floods[0].kind = "patient" }),
		"a fifth of the replicas gone":  with(func(l *floodLoad) { l.lostShare = 0.2; l.scale = 0.85 }),
		"clients that repeat at once":   with(func(l *floodLoad) { l.retriesAtOnce = true }),
		"in a cell five times as large": with(func(l *floodLoad) { l.replicas, l.scale, l.customers = 30, 5, 40; l.floods = one(30) }),
	}
}

// overloads returns loads in which all customers send more at the same time.
func overloads() map[string]floodLoad {
	allCustomers := func(customers int, times float64, kind string, from, to time.Duration) []flood {
		var out []flood
		for c := range customers {
			out = append(out, flood{customer: c, factor: times, kind: kind, from: from, to: to})
		}
		return out
	}
	return map[string]floodLoad{
		"5, all kinds 3 times":        {customers: 5, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: allCustomers(5, 3, "", 5*time.Second, 10*time.Second)},
		"5, the urgent kind 4 times":  {customers: 5, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: allCustomers(5, 4, "urgent", 5*time.Second, 10*time.Second)},
		"5, the patient kind 6 times": {customers: 5, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: allCustomers(5, 6, "patient", 5*time.Second, 10*time.Second)},
		"40, all kinds 3 times":       {customers: 40, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: allCustomers(40, 3, "", 5*time.Second, 10*time.Second)},
		"just as much as there is":    {customers: 5, skew: 1, replicas: 6, scale: 2, seed: 1},
	}
}

// kindWorth is the worth of an answer in time, by kind.
var kindWorth = map[string]float64{"urgent": 4, "usual": 1, "patient": 0.5}

// lateWorth is the worth of a late answer, as a share of that of an answer in time.
const lateWorth = 0.15

// worth returns the worth of the answers as a share of the most that was possible.
func (o tallies) worth() float64 {
	earned, possible := 0.0, 0.0
	for _, kinds := range o {
		for name, c := range kinds {
			earned += kindWorth[name] * (float64(c.inTime) + lateWorth*float64(c.late))
			possible += kindWorth[name] * float64(c.asked)
		}
	}
	return earned / possible
}

// maxShareCost is how much worth fair shares may cost if no customer floods, compared with the
// same load without customers.
const maxShareCost = 0.01

// If all customers send more at once, none of them floods, and the most urgent requests must
// be served first whoever sends them.
func TestSharesCostLittleWhereAllSendMore(t *testing.T) { sharesCostLittle(t, overloads()) }

// As above, but overloaded from the first second on, so that no usual load is known.
func TestSharesCostLittleInAnOverloadFromTheStart(t *testing.T) {
	sharesCostLittle(t, map[string]floodLoad{
		"5":  {customers: 5, skew: 1, replicas: 6, scale: 3},
		"40": {customers: 40, skew: 1, replicas: 6, scale: 3},
	})
}

func sharesCostLittle(t *testing.T, loads map[string]floodLoad) {
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			with, without := 0.0, 0.0
			const runs = 6
			for l.seed = 1; l.seed <= runs; l.seed++ {
				l.oneCustomer = false
				with += l.simulate().worth() / runs
				l.oneCustomer = true
				without += l.simulate().worth() / runs
			}
			t.Logf("worth %.3f, without customers %.3f", with, without)
			if with < without-maxShareCost {
				t.Errorf("customers' shares cost %.3f", without-with)
			}
		})
	}
}

// A flood slows down only the customer that sends it: the others keep what they have without
// it.
func TestFloodSlowsOnlyItsCustomer(t *testing.T) {
	for name, l := range singleFloods() {
		t.Run(name, func(t *testing.T) {
			withoutFlood := l
			withoutFlood.floods = nil
			before, with := withoutFlood.simulate(), l.simulate()
			for _, k := range kinds() {
				was, is := before.others(&l, k.name), with.others(&l, k.name)
				t.Logf("%s: %d asked, in time %.3f without the flood, %.3f with it (%d late, %d refused)", k.name, is.asked, was.inTimeShare(), is.inTimeShare(), is.late, is.refused)
				if is.inTimeShare() < minKeptShare*was.inTimeShare() {
					t.Errorf("%s: others keep %.3f of their %.3f", k.name, is.inTimeShare()/was.inTimeShare(), was.inTimeShare())
				}
			}
			for _, f := range l.floods {
				served, was := 0, 0
				for _, k := range kinds() {
					c, w := with.of(f.customer, k.name), before.of(f.customer, k.name)
					t.Logf("the flooding customer's %s: %d asked, in time %d with, %d without", k.name, c.asked, c.inTime, w.inTime)
					served += c.inTime
					was += w.inTime
				}
				if float64(served) < minKeptShare*float64(was) {
					t.Errorf("the flooding customer has %d in time, %d without its flood", served, was)
				}
			}
		})
	}
}
