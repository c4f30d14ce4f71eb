package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func number(inc uint64, n int, issued time.Duration) Number {
	return Number{Key: fmt.Sprint(inc, "/", n), Incarnation: inc, Issued: issued, Digest: uint64(n)}
}

func TestBegin(t *testing.T) {
	is := is.New(t)
	l := New(1, WithHorizon(time.Minute), WithMaxRecords(2))
	v, r := l.Begin(number(1, 1, 0), time.Second)
	is.Equal(v, Start)
	v, joined := l.Begin(number(1, 1, 0), 2*time.Second)
	is.Equal(v, Join)
	is.Equal(r, joined)
	v, _ = l.Begin(number(2, 1, 0), time.Second)
	is.Equal(v, Foreign)
	other := number(1, 1, 0)
	other.Digest++
	v, _ = l.Begin(other, time.Second)
	is.Equal(v, Reused)
	v, _ = l.Begin(number(1, 2, 0), 2*time.Minute)
	is.Equal(v, Expired)
	v, _ = l.Begin(number(1, 3, time.Minute), 70*time.Second)
	is.Equal(v, Start)
	v, _ = l.Begin(number(1, 4, time.Minute), 70*time.Second)
	is.Equal(v, Full)
}

// A number whose record may be gone is too old to start. Replays a sequence in which
// the model of TestAtMostOnce wrongly gave one key a second issue time, which no
// ticket has.
func TestANumberWhoseRecordIsGoneDoesNotStart(t *testing.T) {
	is := is.New(t)
	l := New(2, WithHorizon(time.Minute))
	v, _ := l.Begin(number(2, 1, 0), 0)
	is.Equal(v, Start)
	v, _ = l.Begin(number(2, 1, 0), 181*time.Second)
	is.Equal(v, Expired)
}

// A fleet of ledgers starts each number at most once, under duplicates, reordering,
// crashes, pauses beyond the horizon and handovers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{started: map[string]int{}, successorOf: map[uint64]uint64{}, prefixes: map[string]time.Duration{}}
		for range 3 {
			m.spawn()
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request,
			"finish":  m.finish,
			"crash":   m.crash,
			"stop":    m.stop,
			"sleep":   func(t *rapid.T) { m.now += time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second },
			"": func(t *rapid.T) {
				for k, n := range m.started {
					if n > 1 {
						t.Fatalf("%s started %d times", k, n)
					}
				}
			},
		})
	})
}

type node struct {
	incarnation uint64
	start       time.Duration
	ledger      *Ledger
	pending     []*Record
}

type fleetModel struct {
	now             time.Duration
	nodes           []*node
	lastIncarnation uint64
	issued          []Number
	started         map[string]int
	successorOf     map[uint64]uint64
	prefixes        map[string]time.Duration // issue time of the prefix, by key
}

func (m *fleetModel) spawn() {
	m.lastIncarnation++
	m.nodes = append(m.nodes, &node{incarnation: m.lastIncarnation, start: m.now, ledger: New(m.lastIncarnation, WithHorizon(time.Minute))})
}

func (m *fleetModel) pick(t *rapid.T) *node {
	return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")]
}

// request sends a new or an old number to any node, as clients and forwarding entries
// may do.
func (m *fleetModel) request(t *rapid.T) {
	n := m.pick(t)
	owner := m.pick(t)
	x := number(owner.incarnation, rapid.IntRange(1, 4).Draw(t, "number"), m.now-owner.start)
	if len(m.issued) > 0 && rapid.Bool().Draw(t, "retry") {
		x = m.issued[rapid.IntRange(0, len(m.issued)-1).Draw(t, "old")]
	}
	// A key contains its prefix's nonce, so its issue time never changes.
	if first, ok := m.prefixes[x.Key]; ok {
		x.Issued = first
	}
	m.prefixes[x.Key] = x.Issued
	m.issued = append(m.issued, x)
	v, r := n.ledger.Begin(x, m.now-n.start)
	if v == Start {
		m.started[x.Key]++
		n.pending = append(n.pending, r)
	}
}

func (m *fleetModel) finish(t *rapid.T) {
	n := m.pick(t)
	for _, r := range n.pending {
		n.ledger.Finish(r, Answer{Status: 200})
	}
	n.pending = nil
}

// crash replaces a node with a new incarnation with an empty ledger.
func (m *fleetModel) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "crash")
	m.nodes = append(m.nodes[:i], m.nodes[i+1:]...)
	m.spawn()
}

// stop hands a node's ledger over to another; the stopped node may still get requests.
func (m *fleetModel) stop(t *rapid.T) {
	n, successor := m.pick(t), m.pick(t)
	if n == successor || n.ledger.Sealed() || successor.ledger.Sealed() {
		return
	}
	m.finish(t)
	for _, r := range n.pending {
		n.ledger.Finish(r, Answer{})
	}
	n.pending = nil
	n.ledger.Seal()
	elapsed := m.now - n.start
	successor.ledger.Adopt(n.ledger.Lineage(elapsed), n.ledger.Export(elapsed), m.now-successor.start)
	m.spawn()
}
