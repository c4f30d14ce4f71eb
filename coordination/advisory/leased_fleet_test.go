package advisory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// leasedModel is brittleModel with a grantor for each replica that the senders ask for
// leases. Its count of falls is written from the rule, as there.
type leasedModel struct {
	brittleModel
	delay     time.Duration // of a message
	crashes   bool          // each grantor is lost once, and senders notice it one after the other
	cutOff    int           // senders that can't reach the grantors for a while
	cutFrom   []int         // the grantors that they can't reach, by rank
	split     bool          // the deputies can't reach the grantors in that time either
	abandoned float64       // fraction of requests whose end their sender doesn't see
	maxWait   time.Duration // of a request for a slot

	now      time.Duration
	random   *rand.Rand
	events   map[time.Duration][]func() // by step
	queued   map[queuedAt]func()
	trackers []*Tracker
	grantors [][]*SlotLeases // by replica, then by rank before any was lost
	states   []*leasedReplicaState
	asks     int
	answered int
	falls    int
}

// leasedReplicaState is what a replica runs and has refused lately.
type leasedReplicaState struct {
	running   map[int]modelRun // by request
	requests  int
	refusals  []time.Duration
	downUntil time.Duration
	crashAt   time.Duration // when its grantor is lost; 0: never
}

const (
	leaseStep        = time.Millisecond
	advanceInterval  = 20 * time.Millisecond
	leaseAskTimeout  = 150 * time.Millisecond
	grantorLostPause = 300 * time.Millisecond
	// Time within which all instances notice that another is lost or cut off.
	lossNoticed  = 2 * time.Second
	grantorPlace = 0.5 // in the order in which instances notice it
	cutOffFrom   = 10 * time.Second
	cutOffTo     = 14 * time.Second
)

func (m *leasedModel) after(d time.Duration, run func()) {
	at := m.now + max(d.Truncate(leaseStep), leaseStep)
	m.events[at] = append(m.events[at], run)
}

// play returns the falls and the answers.
func (m *leasedModel) play(seed uint64) {
	m.random = rand.New(rand.NewPCG(seed, seed))
	m.events = make(map[time.Duration][]func())
	m.queued = make(map[queuedAt]func())
	m.trackers = make([]*Tracker, m.senders)
	for i := range m.trackers {
		m.trackers[i] = New(DefaultOptions())
	}
	for r := range m.replicas {
		var ranked []*SlotLeases
		for range Grantors + 1 {
			ranked = append(ranked, NewSlotLeases(DefaultSlotLeaseOptions()))
		}
		m.grantors = append(m.grantors, ranked)
		m.states = append(m.states, &leasedReplicaState{running: make(map[int]modelRun)})
		if m.crashes {
			m.states[r].crashAt = modelContact + time.Duration(m.random.Int64N(int64(modelEnd-modelContact)))
		}
	}
	for m.now = 0; m.now < modelEnd; m.now += leaseStep {
		for _, run := range m.events[m.now] {
			run()
		}
		delete(m.events, m.now)
		if m.now%advanceInterval == 0 {
			m.advanceAll()
		}
		for sender := range m.senders {
			for range int(m.demand*leaseStep.Seconds() + m.random.Float64()) {
				m.request(sender, m.random.IntN(m.replicas))
			}
		}
	}
}

// advanceAll has all grantors grant what has become free by the passage of time.
func (m *leasedModel) advanceAll() {
	for r, ranked := range m.grantors {
		for _, g := range ranked {
			m.advance(g, m.name(r))
		}
	}
}

func (m *leasedModel) name(r int) string { return fmt.Sprintf("r%d@%d", r, m.states[r].downUntil) }

func (m *leasedModel) isLost(r int) bool {
	crashAt := m.states[r].crashAt
	return crashAt != 0 && m.now >= crashAt
}

// notices reports whether an instance has noticed what happened at a time. Each does so at a
// time of its own, of which place (0 to 1) decides.
func (m *leasedModel) notices(at time.Duration, place float64) bool {
	return m.now >= at+time.Duration(place*float64(lossNoticed))
}

func (m *leasedModel) place(sender int) float64 { return float64(sender) / float64(m.senders) }

// firstKnown returns the grantor of a replica as an instance sees it.
func (m *leasedModel) firstKnown(r int, place float64) int {
	if m.isLost(r) && m.notices(m.states[r].crashAt, place) {
		return 1
	}
	return 0
}

// firstSeenBy returns the grantor of a replica as another one of them sees it.
func (m *leasedModel) firstSeenBy(grantor, r int) int {
	if m.split && m.isCut() && m.notices(cutOffFrom, grantorPlace) {
		return min(grantor, 1) // all deputies are on the other side
	}
	return m.firstKnown(r, grantorPlace)
}

// share returns the fraction of the instances that a grantor believes to be alive.
func (m *leasedModel) share(grantor int) float64 {
	if !m.split || !m.isCut() || !m.notices(cutOffFrom, grantorPlace) {
		return 1
	}
	cut := float64(m.cutOff) / float64(m.senders)
	if grantor == 0 {
		return 1 - cut
	}
	return cut
}

func (m *leasedModel) isCut() bool { return m.now >= cutOffFrom && m.now < cutOffTo }

// canReach reports whether a sender reaches a grantor.
func (m *leasedModel) canReach(sender, r, grantor int) bool {
	if sender < m.cutOff && m.isCut() && slices.Contains(m.cutFrom, grantor) {
		return false
	}
	return grantor > 0 || !m.isLost(r)
}

// request has a sender send a request to a replica, with a lease if it knows that the
// service's replicas are brittle.
func (m *leasedModel) request(sender, r int) {
	t, name := m.trackers[sender], m.name(r)
	if m.now < m.states[r].downUntil {
		return
	}
	if ok, _ := t.CanSend(m.now, name); !ok {
		return
	}
	rank, ok := t.NextGrantor(m.now, name)
	if !t.IsBrittle("s") || !ok {
		m.sendAlone(sender, r, name)
		return
	}
	m.asks++
	grantor := m.firstKnown(r, m.place(sender)) + rank
	if m.split && sender < m.cutOff && m.isCut() && m.notices(cutOffFrom, m.place(sender)) {
		grantor = 1
	}
	lost := func() { t.RecordGrantorLost(m.now, name, rank, m.now+grantorLostPause) }
	if !m.canReach(sender, r, grantor) {
		m.after(leaseAskTimeout, lost)
		return
	}
	m.after(m.delay, func() { m.ask(sender, r, grantor, name, lost) })
}

// ask has a grantor answer. A deputy asks the first one in place of the sender, and issues
// leases only once it has noticed the loss of that.
func (m *leasedModel) ask(sender, r, grantor int, name string, lost func()) {
	delay := m.delay
	switch first := m.firstSeenBy(grantor, r); {
	case grantor == first:
	case grantor == first+1 && !m.isLost(r) && !(m.split && m.isCut()):
		grantor = first
		delay += 2 * m.delay
	default: // the first one doesn't answer, or this one has not noticed its loss
		m.after(leaseAskTimeout, lost)
		return
	}
	g := m.grantors[r][grantor]
	reply := g.Ask(m.now, SlotAsk{Incarnation: name, Tolerated: m.tolerated, Slots: m.slots, Share: m.share(grantor), Hold: time.Second, MaxWait: m.maxWait})
	t := m.trackers[sender]
	use := func() {
		a, _ := t.BeginLeased(m.now, name)
		m.send(sender, r, name, a, func(end LeaseEnd) {
			m.after(delay, func() {
				g.Release(m.now, name, reply.ID, end)
				m.advance(g, name)
			})
		})
	}
	switch {
	case reply.Granted:
		m.after(delay, use)
	case reply.Queued:
		m.queued[queuedAt{g, reply.ID}] = func() { m.after(delay, use) }
	default:
		m.after(delay, func() { t.RecordLeaseDenied(m.now, name, m.now+reply.Wait) })
	}
}

// queuedAt identifies a request that waits for a slot.
type queuedAt struct {
	grantor *SlotLeases
	id      LeaseID
}

// advance has a grantor tell those that wait that they have a slot.
func (m *leasedModel) advance(g *SlotLeases, name string) {
	for _, id := range g.Advance(m.now, name) {
		m.queued[queuedAt{g, id}]()
	}
}

func (m *leasedModel) sendAlone(sender, r int, name string) {
	if a, ok := m.trackers[sender].Begin(m.now, name, "s"); ok {
		m.send(sender, r, name, a, func(LeaseEnd) {})
	}
}

// send has a request arrive at a replica.
func (m *leasedModel) send(sender, r int, name string, a Attempt, release func(LeaseEnd)) {
	t, s := m.trackers[sender], m.states[r]
	if name != m.name(r) || m.now < s.downUntil { // the replica has fallen over since
		t.End(a)
		release(LeaseUnused)
		return
	}
	if len(s.running) >= m.room(m.now) {
		t.RecordBrittle(m.report())
		t.RecordRefusal(m.now, a)
		t.End(a)
		release(LeaseRefused)
		m.refuse(r)
		return
	}
	s.requests++
	request := s.requests
	s.running[request] = modelRun{sender: sender, replica: r, attempt: a}
	isAbandoned := m.random.Float64() < m.abandoned
	if isAbandoned { // at some time during its work, which the replica goes on with
		m.after(time.Duration(m.random.Int64N(int64(modelWork))), func() { release(LeaseAbandoned) })
	}
	m.after(modelWork, func() {
		if _, ok := s.running[request]; !ok {
			t.End(a)
			release(LeaseAbandoned)
			return
		}
		delete(s.running, request)
		t.RecordBrittle(m.report())
		t.RecordAnswer(m.now, a)
		t.End(a)
		if !isAbandoned {
			m.answered++
			release(LeaseCompleted)
		}
	})
}

// refuse counts a refusal of a replica, which falls over when there are too many.
func (m *leasedModel) refuse(r int) {
	s := m.states[r]
	s.refusals = append(s.refusals, m.now)
	for m.now-s.refusals[0] >= second {
		s.refusals = s.refusals[1:]
	}
	if m.now >= modelContact && float64(len(s.refusals)) > m.tolerated {
		m.falls++
		clear(s.running)
		s.refusals = nil
		s.downUntil = m.now + modelRestart
	}
}

// minServedShare is the fraction of what the replicas have room for, with the messages before
// and after each request, that must be answered under twice that demand: the rules ask for
// two thirds where other trouble is served around.
const minServedShare = 2.0 / 3

// LIMIT: with a grantor that leases the slots, many senders neither make the replicas fall
// over nor leave their room unused, also while grantors are lost or can't be reached.
func TestBrittleReplicasOfManySendersAreServedByLeases(t *testing.T) {
	const replicas, slots = 10, 8
	cases := map[string]leasedModel{
		"undisturbed":                       {},
		"requests wait for slots":           {maxWait: 150 * time.Millisecond},
		"slow links":                        {delay: 10 * time.Millisecond},
		"grantors are lost":                 {crashes: true},
		"a third reaches only deputies":     {cutOff: 33, cutFrom: []int{0}},
		"a tenth reaches no grantor":        {cutOff: 10, cutFrom: []int{0, 1, 2}},
		"a third is cut off, with deputies": {cutOff: 33, cutFrom: []int{0}, split: true},
		"abandoned requests":                {abandoned: 0.02},
	}
	for what, m := range cases {
		for _, senders := range []int{60, 295} {
			for _, tolerated := range []float64{1, 3, 10} {
				t.Run(fmt.Sprintf("%s, %d senders, %g", what, senders, tolerated), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(5) {
						m := m
						m.brittleModel = brittleModel{senders: senders, replicas: replicas, tolerated: tolerated, slots: slots, room: func(now time.Duration) int {
							if now < 4*second {
								return 2 * slots
							}
							return slots
						}}
						m.delay = max(m.delay, leaseStep)
						m.cutOff = senders * m.cutOff / 100
						m.demand = 2 * replicas * slots / modelWork.Seconds() / float64(senders)
						m.play(seed)
						if m.falls > 2+replicas/10 {
							t.Errorf("seed %d: %d falls", seed, m.falls)
						}
						room := replicas * slots * modelEnd.Seconds() / (modelWork + 2*m.delay).Seconds()
						if float64(m.answered) < minServedShare*room {
							t.Errorf("seed %d: %d of %.0f answered", seed, m.answered, room)
						}
						t.Logf("seed %d: %d falls, %d of %.0f answered, %d asks", seed, m.falls, m.answered, room, m.asks)
					}
				})
			}
		}
	}
}
