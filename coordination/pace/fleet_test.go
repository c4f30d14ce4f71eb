package pace

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/gossip"
)

// Simulates many instances that send to the replicas of a service, some of which state
// rate limits. The check counts arrivals according to the rule itself and shares no
// code with the package.

const (
	step              = 5 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	heartbeatFanout   = 3 // instances that each heartbeat is sent to
	failureDetection  = time.Second
	minDenial         = 20 * time.Millisecond
)

// scenario holds the parameters of one simulation run.
type scenario struct {
	seed      uint64
	instances int
	replicas  int
	limited   int     // number of replicas that state a limit
	perSecond float64 // limit of each limited replica
	load      float64 // requests per second that arrive at each instance
	delay     time.Duration
	lossRate  float64 // fraction of heartbeats lost
	duration  time.Duration

	crashes       time.Duration // interval at which one instance crashes and restarts; 0: never
	partitions    time.Duration // interval at which one instance is cut off for a while; 0: never
	fleetRestarts time.Duration // interval at which all instances restart at once; 0: never
	limitChanges  time.Duration // interval at which limits change, to between a third and three times the original
	flaps         time.Duration // interval at which limits are removed and added again
	noGrantor     bool          // each instance grants by itself, without a common grantor
}

type modelInstance struct {
	name        string
	hall        string
	tracker     *Tracker
	down        bool
	partitioned bool
	changedAt   time.Duration // time of the last crash, partition or start
	exempt      []exemption
	announced   map[int]time.Duration     // by replica index: when this instance first announced the limit in force
	grantors    map[string]*modelInstance // by incarnation, computed at the last heartbeat
}

type exemption struct{ from, to time.Duration }

type modelReplica struct {
	incarnation string
	location    Location
	limit       Limit
	limitedAt   time.Duration // when the limit was first stated
	arrivals    []arrival
	allowance   float64 // number of requests that the stated limits allowed so far
}

type arrival struct {
	at        time.Duration
	from      *modelInstance
	announced bool // the sender had announced the limit at least 500 ms before
}

type event struct {
	at  time.Duration
	run func()
}

type model struct {
	scenario
	random    *rand.Rand
	now       time.Duration
	instances []*modelInstance
	replicas  []*modelReplica
	queue     []event
	served    int
	refused   int
}

func newModel(p scenario) *model {
	m := &model{scenario: p, random: rand.New(rand.NewPCG(p.seed, 1))}
	for i := range p.instances {
		x := &modelInstance{name: fmt.Sprint("i", i), hall: fmt.Sprint("h", i%3), changedAt: -time.Hour}
		m.instances = append(m.instances, x)
		x.start()
	}
	for i := range p.replicas {
		m.replicas = append(m.replicas, &modelReplica{incarnation: fmt.Sprint("r", i), location: Location{Hall: fmt.Sprint("h", i%3)}})
	}
	return m
}

func (x *modelInstance) start() {
	x.tracker, x.announced, x.grantors = New(DefaultOptions()), make(map[int]time.Duration), nil
}

func (m *model) after(d time.Duration, run func()) {
	h := event{at: m.now + d, run: run}
	i, _ := slices.BinarySearchFunc(m.queue, h, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	m.queue = slices.Insert(m.queue, i, h)
}

func (m *model) canReach(a, b *modelInstance) bool {
	return !a.down && !b.down && (a == b || !a.partitioned && !b.partitioned)
}

// view returns the instances that x considers alive: those that it can reach, and those
// lost less than failureDetection ago.
func (m *model) view(x *modelInstance) []gossip.Instance {
	var out []gossip.Instance
	for _, y := range m.instances {
		if m.canReach(x, y) || m.now-max(x.changedAt, y.changedAt) < failureDetection && (y.down || y.partitioned || x.partitioned) {
			out = append(out, gossip.Instance{Name: y.name, Hall: y.hall})
		}
	}
	return out
}

func (m *model) grantor(x *modelInstance, r *modelReplica) *modelInstance {
	if m.noGrantor {
		return x
	}
	if x.grantors == nil {
		x.grantors = make(map[string]*modelInstance)
		view := m.view(x)
		for _, r := range m.replicas[:m.limited] {
			k, _ := SelectGrantor(view, r.incarnation, r.location)
			for _, y := range m.instances {
				if y.name == k.Name {
					x.grantors[r.incarnation] = y
				}
			}
		}
	}
	return x.grantors[r.incarnation]
}

// request sends one request from an instance to a random eligible replica, and tries
// another one when it is denied.
func (m *model) request(x *modelInstance, tries int) {
	if x.down {
		return
	}
	var eligible []int
	for i, r := range m.replicas {
		if x.tracker.NextGrant(m.now, r.incarnation) <= m.now {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 || tries == 0 {
		m.refused++
		return
	}
	i := eligible[m.random.IntN(len(eligible))]
	r := m.replicas[i]
	if !x.tracker.Limit(r.incarnation).Stated {
		m.send(x, i)
		return
	}
	k := m.grantor(x, r)
	if k == nil || !m.canReach(x, k) {
		m.after(4*m.delay, func() {
			if x.tracker.TryLocalGrant(m.now, r.incarnation, len(m.view(x))) {
				m.send(x, i)
				return
			}
			x.tracker.RecordDenial(r.incarnation, m.now+300*time.Millisecond)
			m.request(x, tries-1)
		})
		return
	}
	m.after(m.delay, func() {
		for _, w := range x.tracker.Reports(m.now, r.incarnation) {
			k.tracker.Record(m.now, w)
		}
		isGrantor := m.grantor(k, r) == k && !k.down
		if isGrantor {
			k.tracker.SetGrantor(m.now, r.incarnation, true)
		}
		ok := isGrantor && k.tracker.TryGrant(m.now, r.incarnation)
		denied := max(k.tracker.NextGrant(m.now, r.incarnation)-m.now, minDenial)
		m.after(m.delay, func() {
			switch {
			case ok:
				m.send(x, i)
			default:
				x.tracker.RecordDenial(r.incarnation, m.now+denied)
				m.request(x, tries-1)
			}
		})
	})
}

func (m *model) send(x *modelInstance, i int) {
	r := m.replicas[i]
	m.served++
	m.after(m.delay, func() {
		if x.down {
			return
		}
		announced, ok := x.announced[i]
		r.arrivals = append(r.arrivals, arrival{at: m.now, from: x, announced: ok && m.now-announced >= 500*time.Millisecond})
		work := time.Duration(m.random.Float64()*300) * time.Millisecond
		m.after(work, func() {
			limit := r.limit
			m.after(m.delay, func() { m.answered(x, i, limit) })
		})
	})
}

func (m *model) answered(x *modelInstance, i int, limit Limit) {
	if x.down {
		return
	}
	r := m.replicas[i]
	if !limit.Stated {
		delete(x.announced, i)
	} else if _, ok := x.announced[i]; !ok {
		x.announced[i] = m.now
	}
	if x.tracker.Record(m.now, Report{Incarnation: r.incarnation, Limit: limit}) == Unchanged {
		return
	}
	if k := m.grantor(x, r); k != nil && m.random.Float64() >= m.lossRate {
		m.announce(x, k)
	}
	m.heartbeat(x)
}

func (m *model) announce(x, y *modelInstance) {
	reports := x.tracker.Updates(m.now, 3*time.Second, 16)
	m.after(m.delay, func() {
		if !m.canReach(x, y) {
			return
		}
		for _, w := range reports {
			y.tracker.Record(m.now, w)
		}
	})
}

func (m *model) heartbeat(x *modelInstance) {
	if x.down {
		return
	}
	x.grantors = nil
	for range heartbeatFanout {
		if m.random.Float64() >= m.lossRate {
			m.announce(x, m.instances[m.random.IntN(len(m.instances))])
		}
	}
	x.tracker.Expire(m.now, func(string) bool { return true })
	for _, r := range m.replicas[:m.limited] {
		x.tracker.SetGrantor(m.now, r.incarnation, m.grantor(x, r) == x)
	}
}

func (m *model) setLimit(r *modelReplica, l Limit) {
	if l.Stated && !r.limit.Stated {
		r.limitedAt = m.now
		r.arrivals = nil // arrivals are counted from this moment
	}
	r.limit = l
}

// disrupt applies a fault to a random instance, unless another fault is in effect.
func (m *model) disrupt(fault func(*modelInstance)) {
	for _, x := range m.instances {
		if x.down || x.partitioned {
			return
		}
	}
	x := m.instances[m.random.IntN(len(m.instances))]
	x.changedAt = m.now
	fault(x)
	duration := time.Duration(1+3*m.random.Float64()) * time.Second
	x.exempt = append(x.exempt, exemption{from: m.now, to: m.now + duration + 3*time.Second})
	m.after(duration, func() {
		if x.down {
			x.start()
		}
		x.down, x.partitioned, x.changedAt = false, false, m.now
	})
}

func (m *model) every(each time.Duration, f func()) {
	if each > 0 && m.now%each == 0 && m.now > 0 {
		f()
	}
}

func (m *model) run() {
	for ; m.now < m.duration; m.now += step {
		for len(m.queue) > 0 && m.queue[0].at <= m.now {
			h := m.queue[0]
			m.queue = m.queue[1:]
			h.run()
		}
		if m.now == time.Second {
			for _, r := range m.replicas[:m.limited] {
				m.setLimit(r, stated(m.perSecond))
			}
		}
		for i, x := range m.instances {
			if m.random.Float64() < m.load*step.Seconds() {
				m.request(x, 4)
			}
			if (m.now+time.Duration(i)*step)%heartbeatInterval == 0 {
				m.heartbeat(x)
			}
		}
		m.every(m.crashes, func() { m.disrupt(func(x *modelInstance) { x.down = true }) })
		m.every(m.partitions, func() { m.disrupt(func(x *modelInstance) { x.partitioned = true }) })
		m.every(m.fleetRestarts, func() {
			for _, x := range m.instances {
				x.start()
				x.exempt = append(x.exempt, exemption{from: m.now, to: m.now + 3*time.Second})
			}
		})
		m.every(m.limitChanges, func() {
			for _, r := range m.replicas[:m.limited] {
				m.setLimit(r, stated(m.perSecond*(1+m.random.Float64()*2)/(1+m.random.Float64()*2)))
			}
		})
		m.every(m.flaps, func() {
			for _, r := range m.replicas[:m.limited] {
				m.setLimit(r, Limit{PerSecond: m.perSecond, Stated: !r.limit.Stated})
			}
		})
		for _, r := range m.replicas {
			r.allowance += r.limit.PerSecond * step.Seconds()
		}
	}
}

// worstRatio returns the highest ratio of arrivals to the allowed number over any 4 s
// at one replica; a value up to 1 keeps the limit.
func (m *model) worstRatio() float64 {
	const span = 4 * time.Second
	worstRatio := 0.0
	for _, r := range m.replicas[:m.limited] {
		var counted []time.Duration
		for _, a := range r.arrivals {
			exempt := slices.ContainsFunc(a.from.exempt, func(e exemption) bool { return a.at >= e.from && a.at <= e.to })
			if a.announced && !exempt && a.at >= r.limitedAt+3*time.Second {
				counted = append(counted, a.at)
			}
		}
		allowed := 1.5*m.maxLimit(r)*span.Seconds() + 5
		for i, from := range counted {
			n := 0
			for _, at := range counted[i:] {
				if at-from >= span {
					break
				}
				n++
			}
			worstRatio = max(worstRatio, float64(n)/allowed)
		}
	}
	return worstRatio
}

// maxLimit is the highest limit that the replica may have stated.
func (m *model) maxLimit(*modelReplica) float64 {
	if m.limitChanges > 0 {
		return 3 * m.perSecond
	}
	return m.perSecond
}

// usage returns the ratio of arrivals to stated limits, leaving out the first 3 s, in
// which the limits are announced.
func (m *model) usage() float64 {
	arrivals, stated := 0, 0.0
	for _, r := range m.replicas[:m.limited] {
		for _, a := range r.arrivals {
			if a.at > r.limitedAt+3*time.Second {
				arrivals++
			}
		}
		stated += m.perSecond * (m.duration - r.limitedAt - 3*time.Second).Seconds()
	}
	return float64(arrivals) / stated
}

var fleets = []struct{ instances, replicas, limited int }{{6, 4, 1}, {6, 4, 4}, {30, 10, 2}, {60, 20, 20}}

func scenarios(seed uint64) []scenario {
	var out []scenario
	for _, f := range fleets {
		for _, perSecond := range []float64{0.3, 1.2, 8, 50} {
			base := scenario{
				seed: seed, instances: f.instances, replicas: f.replicas, limited: f.limited, perSecond: perSecond,
				load: 4 + 2*perSecond*float64(f.limited)/float64(f.instances), delay: time.Millisecond, lossRate: 0.05, duration: 20 * time.Second,
			}
			crashes, partitions, fleetRestarts, limitChanges, flaps, slowLinks := base, base, base, base, base, base
			crashes.crashes = 3 * time.Second
			partitions.partitions = 3 * time.Second
			fleetRestarts.fleetRestarts = 9 * time.Second
			limitChanges.limitChanges = 2 * time.Second
			flaps.flaps = 4 * time.Second
			slowLinks.delay, slowLinks.lossRate = 20*time.Millisecond, 0.3
			out = append(out, base, crashes, partitions, fleetRestarts, limitChanges, flaps, slowLinks)
		}
	}
	return out
}

// seeds is the number of seeds to simulate; CI runs one, a run by hand may use more.
var seeds = flag.Uint64("seeds", 1, "number of seeds to simulate")

// No replica receives more than its limit allows while instances crash, lose heartbeats
// or are partitioned, and while limits change.
func TestLimitsHoldOverAFleet(t *testing.T) {
	for seed := range *seeds {
		for _, p := range scenarios(seed) {
			m := newModel(p)
			m.run()
			if worstRatio := m.worstRatio(); worstRatio > 1 {
				t.Errorf("%+v: %.2f times the allowed number of requests", p, worstRatio)
			}
		}
	}
}

// Without faults and with enough load, a limited replica receives close to its limit.
func TestALimitIsUsed(t *testing.T) {
	for _, p := range scenarios(7) {
		if p.crashes+p.partitions+p.fleetRestarts+p.limitChanges+p.flaps > 0 {
			continue
		}
		m := newModel(p)
		m.run()
		if usage := m.usage(); usage > 1.1 || usage < 0.6 {
			t.Errorf("%+v: %.2f of the limit was used", p, usage)
		}
	}
}

// The check must fail without a common grantor: when each instance grants on its own,
// the total exceeds the limit.
func TestTheModelDetectsMissingCoordination(t *testing.T) {
	is := is.New(t)
	m := newModel(scenario{seed: 1, instances: 12, replicas: 4, limited: 1, perSecond: 1.2, load: 4, delay: time.Millisecond, duration: 20 * time.Second, noGrantor: true})
	m.run()
	is.True(m.worstRatio() > 1)
}
