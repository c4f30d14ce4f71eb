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

// kind is one kind of request of the simulated load.
type kind struct {
	name      string
	rank      int
	perSecond float64 // of all customers together
	objective time.Duration
	deadline  time.Duration
	stages    []Stage
	some      float64 // share of the requests that have pieces of the first stage
}

// kinds is a load of three kinds that share their pools, as deployments have it:
// one that is urgent and large, one that goes through all pools, and one that
// does too and may wait longest.
func kinds() []kind {
	chain := []Stage{
		{Service: "read", Pieces: 1, Bytes: 8_000},
		{Service: "rank", After: []int{0}, Pieces: 6, Bytes: 60_000},
		{Service: "score", After: []int{1}, Pieces: 10, Bytes: 6_000},
	}
	return []kind{
		{name: "urgent", rank: 0, perSecond: 13, objective: 1500 * ms, deadline: 8 * time.Second, some: 0.7, stages: []Stage{{Service: "read", Pieces: 3, Bytes: 1_000_000}}},
		{name: "usual", rank: 11, perSecond: 17, objective: 3300 * ms, deadline: 6 * time.Second, some: 1, stages: chain},
		{name: "patient", rank: 22, perSecond: 13, objective: 4 * time.Second, deadline: 20 * time.Second, some: 1, stages: chain},
	}
}

// flood is a customer that sends a multiple of its usual for some seconds.
type flood struct {
	customer int // by size, the largest is 0
	times    float64
	kind     string // "" for all
	from, to time.Duration
}

// floodLoad is a load on one cell's pools.
type floodLoad struct {
	customers int
	skew      float64 // of their sizes: the n-th sends as much as the first over n to this
	replicas  int     // of each pool
	gone      float64 // share of the replicas that leave after a while
	scale     float64 // of the kinds' requests a second
	floods    []flood
	repeats   bool          // refused clients come back at once and not as told
	reads     time.Duration // until a request has read its results; 0: readFor
	nameless  bool          // all requests are one customer's
	seed      uint64
}

// counted is what became of some requests.
type counted struct{ asked, inTime, late, refused, givenUp int }

func (c counted) share() float64 { return float64(c.inTime) / float64(max(c.asked, 1)) }

// outcomes is what became of the requests of a customer, by kind.
type outcomes map[int]map[string]*counted

func (o outcomes) of(customer int, kind string) *counted {
	if o[customer] == nil {
		o[customer] = make(map[string]*counted)
	}
	if o[customer][kind] == nil {
		o[customer][kind] = &counted{}
	}
	return o[customer][kind]
}

// others adds up what became of a kind's requests of those that did not flood.
func (o outcomes) others(l *floodLoad, kind string) (sum counted) {
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

// happening is what comes at a time in a simulation.
type happening struct {
	at   time.Duration
	turn int
	do   func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(a[i].at, a[j].at), cmp.Compare(a[i].turn, a[j].turn)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(happening)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// floodSim plays a load against a scheduler.
type floodSim struct {
	load   *floodLoad
	s      *Scheduler
	now    time.Duration
	agenda agenda
	turn   int
	random *rand.Rand
	jobs   map[uint64]*simRequest
	out    outcomes
	all    []catalog.Replica
}

// simRequest is one request of a simulation.
type simRequest struct {
	id       string
	customer int
	kind     *kind
	first    time.Duration
	again    bool
}

const (
	simFor   = 30 * time.Second
	readFor  = 80 * ms // until a request has read its results
	simTick  = 50 * ms
	callTime = 200 * ms
)

func floodServices() map[string]*catalog.Service {
	pool := func(batch int, item time.Duration, room int64) *catalog.Service {
		return &catalog.Service{Pool: &catalog.Pool{Slots: 1, QueueLimit: 2, MaxBatch: batch, BatchTime: callTime, ItemTime: item, ResultMemory: room, ResultTTL: 4 * time.Second}}
	}
	return map[string]*catalog.Service{"read": pool(8, 20*ms, 18_000_000), "rank": pool(32, 5*ms, 4_000_000), "score": pool(46, 4*ms, 600_000)}
}

// play plays a load and returns what became of its requests.
func (l *floodLoad) play() outcomes {
	f := &floodSim{load: l, s: New(), random: rand.New(rand.NewPCG(l.seed, 7)), jobs: make(map[uint64]*simRequest), out: make(outcomes)}
	for _, service := range []string{"read", "rank", "score"} {
		for i := range l.replicas {
			id := fmt.Sprint(service, "-", i)
			f.all = append(f.all, catalog.Replica{ID: id, Service: service, Hall: fmt.Sprint(i % 3), Address: id + ":1"})
		}
	}
	f.do(f.s.SetPools(0, floodServices(), f.all))
	f.arrivals()
	for at := simTick; at < simFor+10*time.Second; at += simTick {
		f.at(at, func() { f.do(f.s.Tick(f.now)) })
	}
	if l.gone > 0 {
		f.at(3*time.Second, f.lose)
	}
	for len(f.agenda) > 0 {
		next := heap.Pop(&f.agenda).(happening)
		f.now = next.at
		next.do()
	}
	return f.out
}

// arrivals draws each customer's requests from its own stream, so that a flood
// of one leaves those of the others as they are.
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
			f.draw(own, c, &all[k], rate, 0, simFor, "")
			for n, fl := range f.load.floods {
				if fl.customer == c && (fl.kind == "" || fl.kind == all[k].name) {
					extra := rand.New(rand.NewPCG(f.load.seed+1, uint64(c*len(all)+k)))
					f.draw(extra, c, &all[k], rate*(fl.times-1), fl.from, fl.to, fmt.Sprint("flood", n))
				}
			}
		}
	}
}

func (f *floodSim) draw(random *rand.Rand, customer int, k *kind, rate float64, from, to time.Duration, mark string) {
	n := 0
	for at := from; rate > 0; {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		n++
		r := &simRequest{id: fmt.Sprint(k.name, "-", customer, "-", mark, n), customer: customer, kind: k, first: at}
		some := random.Float64() < k.some
		f.at(at, func() {
			f.out.of(customer, k.name).asked++
			if !some {
				f.out.of(customer, k.name).inTime++
				return
			}
			f.ask(r)
		})
	}
}

func (f *floodSim) at(at time.Duration, do func()) {
	f.turn++
	heap.Push(&f.agenda, happening{at: at, turn: f.turn, do: do})
}

// ask submits a request; one that is refused comes back once.
func (f *floodSim) ask(r *simRequest) {
	j := Job{
		RequestID: r.id, Key: r.id, Rank: r.kind.rank, Stages: r.kind.stages, Again: r.again,
		Objective: r.kind.objective, Deadline: r.kind.deadline - (f.now - r.first),
	}
	if !f.load.nameless {
		j.Customer = fmt.Sprint("customer-", r.customer)
	}
	v, actions := f.s.Submit(f.now, j)
	if v.Admitted {
		f.jobs[v.ID] = r
	} else {
		f.refused(r, v.RetryAfter)
	}
	f.do(actions)
}

func (f *floodSim) refused(r *simRequest, after time.Duration) {
	after = min(after, (r.kind.deadline-(f.now-r.first))/3)
	if f.load.repeats {
		after = 0
	}
	if r.again {
		f.out.of(r.customer, r.kind.name).refused++
		return
	}
	r.again = true
	f.at(f.now+after+10*ms, func() { f.ask(r) })
}

func (f *floodSim) do(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Call:
			took := f.callFor(a)
			f.at(f.now+took, func() { f.answer(a) })
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

// callFor is how long a call takes, a tenth more or less.
func (f *floodSim) callFor(c Call) time.Duration {
	def := floodServices()[c.Service].Pool
	took := def.BatchTime + time.Duration(len(c.Items))*def.ItemTime
	return time.Duration(float64(took) * (0.9 + 0.2*f.random.Float64()))
}

func (f *floodSim) answer(c Call) {
	results := make([]Result, len(c.Items))
	for i := range c.Items {
		f.turn++
		results[i] = Result{Handle: fmt.Sprint(c.Replica, "/", f.turn)}
	}
	f.do(f.s.Answer(f.now, c.ID, Answered, results))
}

func (f *floodSim) delivered(job uint64) {
	r := f.jobs[job]
	delete(f.jobs, job)
	if f.now-r.first <= r.kind.objective {
		f.out.of(r.customer, r.kind.name).inTime++
	} else {
		f.out.of(r.customer, r.kind.name).late++
	}
	f.at(f.now+cmp.Or(f.load.reads, readFor), func() { f.do(f.s.Release(f.now, job)) })
}

// lose has a share of each pool's replicas leave.
func (f *floodSim) lose() {
	each := f.load.replicas
	var left []catalog.Replica
	for i, r := range f.all {
		if float64(i%each) >= f.load.gone*float64(each) {
			left = append(left, r)
		}
	}
	f.do(f.s.SetPools(f.now, floodServices(), left))
}

// leastKept is the share of their requests in time without the flood that those
// who don't flood keep with it, of each kind.
const leastKept = 0.97

// floodPatterns is the loads in which one or two customers flood.
func floodPatterns() map[string]floodLoad {
	from, to := 4*time.Second, 13*time.Second
	one := func(times float64) []flood { return []flood{{customer: 0, times: times, from: from, to: to}} }
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
		"the third of 5, 9 times":       with(func(l *floodLoad) { l.floods = []flood{{customer: 2, times: 9, from: from, to: to}} }),
		"one of 40, 30 times":           with(func(l *floodLoad) { l.customers = 40; l.floods = one(30) }),
		"one of 5400, 90 times":         with(func(l *floodLoad) { l.customers = 5400; l.floods = one(90) }),
		"two of 5, 9 times":             with(func(l *floodLoad) { l.floods = append(one(9), flood{customer: 2, times: 9, from: from, to: to}) }),
		"the urgent kind alone":         with(func(l *floodLoad) { l.floods = one(30); l.floods[0].kind = "urgent" }),
		"the patient kind alone":        with(func(l *floodLoad) { l.floods = one(30); l.floods[0].kind = "patient" }),
		"a fifth of the replicas gone":  with(func(l *floodLoad) { l.gone = 0.2; l.scale = 0.85 }),
		"clients that repeat at once":   with(func(l *floodLoad) { l.repeats = true }),
		"in a cell five times as large": with(func(l *floodLoad) { l.replicas, l.scale, l.customers = 30, 5, 40; l.floods = one(30) }),
	}
}

// overloads is loads in which all customers send more at once.
func overloads() map[string]floodLoad {
	everybody := func(customers int, times float64, kind string, from, to time.Duration) []flood {
		var out []flood
		for c := range customers {
			out = append(out, flood{customer: c, times: times, kind: kind, from: from, to: to})
		}
		return out
	}
	return map[string]floodLoad{
		"5, all kinds 3 times":        {customers: 5, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: everybody(5, 3, "", 5*time.Second, 10*time.Second)},
		"5, the urgent kind 4 times":  {customers: 5, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: everybody(5, 4, "urgent", 5*time.Second, 10*time.Second)},
		"5, the patient kind 6 times": {customers: 5, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: everybody(5, 6, "patient", 5*time.Second, 10*time.Second)},
		"40, all kinds 3 times":       {customers: 40, skew: 1, replicas: 6, scale: 1.2, seed: 1, floods: everybody(40, 3, "", 5*time.Second, 10*time.Second)},
		"just as much as there is":    {customers: 5, skew: 1, replicas: 6, scale: 2, seed: 1},
	}
}

// worths is what an answer in time is worth, by kind, and late ones of it.
var worths = map[string]float64{"urgent": 4, "usual": 1, "patient": 0.5}

const lateWorth = 0.15

// worth is what was earned of what was asked for.
func (o outcomes) worth() float64 {
	earned, owed := 0.0, 0.0
	for _, kinds := range o {
		for name, c := range kinds {
			earned += worths[name] * (float64(c.inTime) + lateWorth*float64(c.late))
			owed += worths[name] * float64(c.asked)
		}
	}
	return earned / owed
}

// mostCost is what customers' shares may cost where none of them floods: part of
// the worth, against the same load without customers.
const mostCost = 0.01

// Where all send more at once nobody floods: the most urgent of all is served
// first, whoever sends it.
func TestSharesCostLittleWhereAllSendMore(t *testing.T) { sharesCostLittle(t, overloads()) }

// The same where there is too much from the first second on and nobody can know
// what is usual.
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
			const plays = 6
			for l.seed = 1; l.seed <= plays; l.seed++ {
				l.nameless = false
				with += l.play().worth() / plays
				l.nameless = true
				without += l.play().worth() / plays
			}
			t.Logf("worth %.3f, without customers %.3f", with, without)
			if with < without-mostCost {
				t.Errorf("customers' shares cost %.3f", without-with)
			}
		})
	}
}

// Who floods slows only itself: the others keep what they have without it.
func TestWhoFloodsSlowsOnlyItself(t *testing.T) {
	for name, l := range floodPatterns() {
		t.Run(name, func(t *testing.T) {
			calm := l
			calm.floods = nil
			before, with := calm.play(), l.play()
			for _, k := range kinds() {
				was, is := before.others(&l, k.name), with.others(&l, k.name)
				t.Logf("%s: %d asked, in time %.3f without the flood, %.3f with it (%d late, %d refused)", k.name, is.asked, was.share(), is.share(), is.late, is.refused)
				if is.share() < leastKept*was.share() {
					t.Errorf("%s: others keep %.3f of their %.3f", k.name, is.share()/was.share(), was.share())
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
				if float64(served) < leastKept*float64(was) {
					t.Errorf("the flooding customer has %d in time, %d without its flood", served, was)
				}
			}
		})
	}
}
