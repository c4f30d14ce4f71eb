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

// A model of many instances before the replicas of a plain service, some of which
// state limits. Its counter is written from the rule's text, not from the mechanism.

const (
	step     = 5 * time.Millisecond
	beatEach = 200 * time.Millisecond
	beatTo   = 3 // instances that a heartbeat goes to
	missed   = time.Second
	retryIn  = 20 * time.Millisecond
)

// play is one run of the model.
type play struct {
	seed      uint64
	instances int
	replicas  int
	limited   int     // of the replicas
	perSecond float64 // of each of them
	load      float64 // requests a second of each instance
	delay     time.Duration
	lost      float64 // share of heartbeats
	length    time.Duration

	deaths  time.Duration // one instance dies, and starts again, so often; 0: none
	cuts    time.Duration // the same, cut off for a while
	powers  time.Duration // all start anew then; 0: never
	moves   time.Duration // limits change so often, to between a third and three times
	flaps   time.Duration // limits end and begin so often
	ownWord bool          // each instance gives turns by itself: the mechanism switched off
}

type modelInstance struct {
	name    string
	hall    string
	book    *Tracker
	dead    bool
	cut     bool
	since   time.Duration // when that, or the start, was
	excused []excuse
	told    map[int]time.Duration     // by replica: when it first passed on a statement that still holds
	keepers map[string]*modelInstance // by replica, as of its last heartbeat
}

type excuse struct{ from, to time.Duration }

type modelReplica struct {
	life  string
	place Location
	limit Limit
	named time.Duration // since when it states one
	came  []arrival
	aim   float64 // requests that its limits allowed, summed over time
}

type arrival struct {
	at   time.Duration
	from *modelInstance
	told bool // the sender had passed on the statement half a second before
}

type happening struct {
	at  time.Duration
	run func()
}

type model struct {
	play
	random    *rand.Rand
	now       time.Duration
	instances []*modelInstance
	replicas  []*modelReplica
	queue     []happening
	served    int
	refused   int
}

func newModel(p play) *model {
	m := &model{play: p, random: rand.New(rand.NewPCG(p.seed, 1))}
	for i := range p.instances {
		x := &modelInstance{name: fmt.Sprint("i", i), hall: fmt.Sprint("h", i%3), since: -time.Hour}
		m.instances = append(m.instances, x)
		x.start()
	}
	for i := range p.replicas {
		m.replicas = append(m.replicas, &modelReplica{life: fmt.Sprint("r", i), place: Location{Hall: fmt.Sprint("h", i%3)}})
	}
	return m
}

func (x *modelInstance) start() {
	x.book, x.told, x.keepers = New(Standard()), make(map[int]time.Duration), nil
}

func (m *model) after(d time.Duration, run func()) {
	h := happening{at: m.now + d, run: run}
	i, _ := slices.BinarySearchFunc(m.queue, h, func(a, b happening) int { return cmp.Compare(a.at, b.at) })
	m.queue = slices.Insert(m.queue, i, h)
}

func (m *model) reaches(a, b *modelInstance) bool {
	return !a.dead && !b.dead && (a == b || !a.cut && !b.cut)
}

// view is whom an instance hears of: those it reaches, and who was lost a moment ago.
func (m *model) view(x *modelInstance) []gossip.Instance {
	var out []gossip.Instance
	for _, y := range m.instances {
		if m.reaches(x, y) || m.now-max(x.since, y.since) < missed && (y.dead || y.cut || x.cut) {
			out = append(out, gossip.Instance{Name: y.name, Hall: y.hall})
		}
	}
	return out
}

func (m *model) keeper(x *modelInstance, r *modelReplica) *modelInstance {
	if m.ownWord {
		return x
	}
	if x.keepers == nil {
		x.keepers = make(map[string]*modelInstance)
		view := m.view(x)
		for _, r := range m.replicas[:m.limited] {
			k, _ := SelectGrantor(view, r.life, r.place)
			for _, y := range m.instances {
				if y.name == k.Name {
					x.keepers[r.life] = y
				}
			}
		}
	}
	return x.keepers[r.life]
}

// request is one caller's request at an instance: any replica that may, then another.
func (m *model) request(x *modelInstance, tries int) {
	if x.dead {
		return
	}
	var may []int
	for i, r := range m.replicas {
		if x.book.NextGrant(m.now, r.life) <= m.now {
			may = append(may, i)
		}
	}
	if len(may) == 0 || tries == 0 {
		m.refused++
		return
	}
	i := may[m.random.IntN(len(may))]
	r := m.replicas[i]
	if !x.book.Limit(r.life).Stated {
		m.send(x, i)
		return
	}
	k := m.keeper(x, r)
	if k == nil || !m.reaches(x, k) {
		m.after(4*m.delay, func() {
			if x.book.TryLocalGrant(m.now, r.life, len(m.view(x))) {
				m.send(x, i)
				return
			}
			x.book.RecordDenial(r.life, m.now+300*time.Millisecond)
			m.request(x, tries-1)
		})
		return
	}
	m.after(m.delay, func() {
		for _, w := range x.book.Reports(m.now, r.life) {
			k.book.Record(m.now, w)
		}
		gives := m.keeper(k, r) == k && !k.dead
		if gives {
			k.book.SetGrantor(m.now, r.life, true)
		}
		ok := gives && k.book.TryGrant(m.now, r.life)
		free := max(k.book.NextGrant(m.now, r.life)-m.now, retryIn)
		m.after(m.delay, func() {
			switch {
			case ok:
				m.send(x, i)
			default:
				x.book.RecordDenial(r.life, m.now+free)
				m.request(x, tries-1)
			}
		})
	})
}

func (m *model) send(x *modelInstance, i int) {
	r := m.replicas[i]
	m.served++
	m.after(m.delay, func() {
		if x.dead {
			return
		}
		told, ok := x.told[i]
		r.came = append(r.came, arrival{at: m.now, from: x, told: ok && m.now-told >= 500*time.Millisecond})
		work := time.Duration(m.random.Float64()*300) * time.Millisecond
		m.after(work, func() {
			limit := r.limit
			m.after(m.delay, func() { m.answered(x, i, limit) })
		})
	})
}

func (m *model) answered(x *modelInstance, i int, limit Limit) {
	if x.dead {
		return
	}
	r := m.replicas[i]
	if !limit.Stated {
		delete(x.told, i)
	} else if _, ok := x.told[i]; !ok {
		x.told[i] = m.now
	}
	if x.book.Record(m.now, Report{Incarnation: r.life, Limit: limit}) == Unchanged {
		return
	}
	if k := m.keeper(x, r); k != nil && m.random.Float64() >= m.lost {
		m.tell(x, k)
	}
	m.beat(x)
}

func (m *model) tell(x, y *modelInstance) {
	words := x.book.Updates(m.now, 3*time.Second, 16)
	m.after(m.delay, func() {
		if !m.reaches(x, y) {
			return
		}
		for _, w := range words {
			y.book.Record(m.now, w)
		}
	})
}

func (m *model) beat(x *modelInstance) {
	if x.dead {
		return
	}
	x.keepers = nil
	for range beatTo {
		if m.random.Float64() >= m.lost {
			m.tell(x, m.instances[m.random.IntN(len(m.instances))])
		}
	}
	x.book.Sweep(m.now, func(string) bool { return true })
	for _, r := range m.replicas[:m.limited] {
		x.book.SetGrantor(m.now, r.life, m.keeper(x, r) == x)
	}
}

func (m *model) state(r *modelReplica, l Limit) {
	if l.Stated && !r.limit.Stated {
		r.named = m.now
		r.came = nil // the rule counts from here
	}
	r.limit = l
}

// trouble strikes some instance, unless one is struck already.
func (m *model) trouble(strike func(*modelInstance)) {
	for _, x := range m.instances {
		if x.dead || x.cut {
			return
		}
	}
	x := m.instances[m.random.IntN(len(m.instances))]
	x.since = m.now
	strike(x)
	length := time.Duration(1+3*m.random.Float64()) * time.Second
	x.excused = append(x.excused, excuse{from: m.now, to: m.now + length + 3*time.Second})
	m.after(length, func() {
		if x.dead {
			x.start()
		}
		x.dead, x.cut, x.since = false, false, m.now
	})
}

func (m *model) every(each time.Duration, f func()) {
	if each > 0 && m.now%each == 0 && m.now > 0 {
		f()
	}
}

func (m *model) run() {
	for ; m.now < m.length; m.now += step {
		for len(m.queue) > 0 && m.queue[0].at <= m.now {
			h := m.queue[0]
			m.queue = m.queue[1:]
			h.run()
		}
		if m.now == time.Second {
			for _, r := range m.replicas[:m.limited] {
				m.state(r, stated(m.perSecond))
			}
		}
		for i, x := range m.instances {
			if m.random.Float64() < m.load*step.Seconds() {
				m.request(x, 4)
			}
			if (m.now+time.Duration(i)*step)%beatEach == 0 {
				m.beat(x)
			}
		}
		m.every(m.deaths, func() { m.trouble(func(x *modelInstance) { x.dead = true }) })
		m.every(m.cuts, func() { m.trouble(func(x *modelInstance) { x.cut = true }) })
		m.every(m.powers, func() {
			for _, x := range m.instances {
				x.start()
				x.excused = append(x.excused, excuse{from: m.now, to: m.now + 3*time.Second})
			}
		})
		m.every(m.moves, func() {
			for _, r := range m.replicas[:m.limited] {
				m.state(r, stated(m.perSecond*(1+m.random.Float64()*2)/(1+m.random.Float64()*2)))
			}
		})
		m.every(m.flaps, func() {
			for _, r := range m.replicas[:m.limited] {
				m.state(r, Limit{PerSecond: m.perSecond, Stated: !r.limit.Stated})
			}
		})
		for _, r := range m.replicas {
			r.aim += r.limit.PerSecond * step.Seconds()
		}
	}
}

// worst returns by how many times a replica got what the rule allows in some 4 s,
// at most: 1 and below keeps it.
func (m *model) worst() float64 {
	const span = 4 * time.Second
	worst := 0.0
	for _, r := range m.replicas[:m.limited] {
		var counted []time.Duration
		for _, a := range r.came {
			excused := slices.ContainsFunc(a.from.excused, func(e excuse) bool { return a.at >= e.from && a.at <= e.to })
			if a.told && !excused && a.at >= r.named+3*time.Second {
				counted = append(counted, a.at)
			}
		}
		allowed := 1.5*m.most(r)*span.Seconds() + 5
		for i, from := range counted {
			n := 0
			for _, at := range counted[i:] {
				if at-from >= span {
					break
				}
				n++
			}
			worst = max(worst, float64(n)/allowed)
		}
	}
	return worst
}

// most is the largest limit that the replica may have stated.
func (m *model) most(*modelReplica) float64 {
	if m.moves > 0 {
		return 3 * m.perSecond
	}
	return m.perSecond
}

// got is what limited replicas got, against what they stated, once all had time to
// hear of it.
func (m *model) got() float64 {
	came, stated := 0, 0.0
	for _, r := range m.replicas[:m.limited] {
		for _, a := range r.came {
			if a.at > r.named+3*time.Second {
				came++
			}
		}
		stated += m.perSecond * (m.length - r.named - 3*time.Second).Seconds()
	}
	return float64(came) / stated
}

var fleets = []struct{ instances, replicas, limited int }{{6, 4, 1}, {6, 4, 4}, {30, 10, 2}, {60, 20, 20}}

func plays(seed uint64) []play {
	var out []play
	for _, f := range fleets {
		for _, perSecond := range []float64{0.3, 1.2, 8, 50} {
			base := play{
				seed: seed, instances: f.instances, replicas: f.replicas, limited: f.limited, perSecond: perSecond,
				load: 4 + 2*perSecond*float64(f.limited)/float64(f.instances), delay: time.Millisecond, lost: 0.05, length: 20 * time.Second,
			}
			deaths, cuts, powers, moves, flaps, far := base, base, base, base, base, base
			deaths.deaths = 3 * time.Second
			cuts.cuts = 3 * time.Second
			powers.powers = 9 * time.Second
			moves.moves = 2 * time.Second
			flaps.flaps = 4 * time.Second
			far.delay, far.lost = 20*time.Millisecond, 0.3
			out = append(out, base, deaths, cuts, powers, moves, flaps, far)
		}
	}
	return out
}

// seeds is how many seeds are played; by hand more than in CI.
var seeds = flag.Uint64("seeds", 1, "seeds of the fleets that are played")

// Whatever befalls instances, their heartbeats and the limits: no replica gets
// more than it states, by the rule's count.
func TestLimitsHoldOverAFleet(t *testing.T) {
	for seed := range *seeds {
		for _, p := range plays(seed) {
			m := newModel(p)
			m.run()
			if worst := m.worst(); worst > 1 {
				t.Errorf("%+v: %.2f times what is allowed", p, worst)
			}
		}
	}
}

// With nothing else wrong a limited replica gets what it states, no more and hardly
// less where that much is asked for.
func TestALimitIsUsed(t *testing.T) {
	for _, p := range plays(7) {
		if p.deaths+p.cuts+p.powers+p.moves+p.flaps > 0 {
			continue
		}
		m := newModel(p)
		m.run()
		if got := m.got(); got > 1.1 || got < 0.6 {
			t.Errorf("%+v: %.2f of its limit", p, got)
		}
	}
}

// The counter notices what the rule forbids: with each instance giving turns by
// itself a limit is not one over all.
func TestTheCounterNoticesASumOfOwnTurns(t *testing.T) {
	is := is.New(t)
	m := newModel(play{seed: 1, instances: 12, replicas: 4, limited: 1, perSecond: 1.2, load: 4, delay: time.Millisecond, length: 20 * time.Second, ownWord: true})
	m.run()
	is.True(m.worst() > 1)
}
