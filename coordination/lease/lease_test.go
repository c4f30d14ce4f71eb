package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ttl, margin, limit = 3 * time.Second, 500 * time.Millisecond, 200 * time.Millisecond

func TestHeldByOwnClockFromBeforeTheWrite(t *testing.T) {
	is := is.New(t)
	l := New(ttl, margin)
	l.RecordGrant(time.Second, 8) // the answer may have come much later
	is.True(l.Held(3 * time.Second))
	is.True(!l.Held(3*time.Second + 500*time.Millisecond))
	_, ok := l.CanAct(3*time.Second+400*time.Millisecond, limit)
	is.True(!ok) // it would end after the lease
	l.RecordGrant(4*time.Second, 12)
	is.True(!l.Settled(5*time.Second, limit)) // taken anew: another may have held it in between
	l.RecordGrant(6*time.Second, 14)
	l.RecordGrant(8*time.Second, 16)
	is.True(l.Settled(8*time.Second, limit))
	l.RecordLoss()
	is.True(!l.Held(8 * time.Second))
}

// Two processes and a platform, under pauses and lost answers: never do both
// believe that they hold the lease, and a receiver that checks tokens obeys the
// holders in the platform's order.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{owner: -1, leases: []*Lease{New(ttl, margin), New(ttl, margin)}, byVersion: map[uint64]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"pause": func(t *rapid.T) { m.sleep(t, 4000) },
			"write": m.write,
			"act":   m.act,
			"": func(t *rapid.T) {
				if m.leases[0].Held(m.now) && m.leases[1].Held(m.now) {
					t.Fatal("both hold it")
				}
			},
		})
	})
}

type model struct {
	now, lapses time.Duration
	version     uint64
	owner       int
	leases      []*Lease
	byVersion   map[uint64]int // version -> who wrote it
	highest     uint64         // token the receiver obeyed last
}

func (m *model) sleep(t *rapid.T, most int) {
	m.now += time.Duration(rapid.IntRange(0, most).Draw(t, "ms")) * time.Millisecond
}

// write takes or renews the lease if the platform lets this process.
func (m *model) write(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "who")
	if m.owner != i && m.now < m.lapses {
		m.leases[i].RecordLoss()
		return
	}
	sent := m.now
	m.sleep(t, 300) // on its way
	m.version += 2
	m.owner, m.lapses = i, m.now+ttl
	m.byVersion[m.version] = i
	if rapid.Bool().Draw(t, "answered") {
		m.leases[i].RecordGrant(sent, m.version)
	}
}

// act sends an order that pauses on its way; the receiver checks its token.
func (m *model) act(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "who")
	token, ok := m.leases[i].CanAct(m.now, limit)
	if !ok {
		return
	}
	if m.byVersion[token] != i {
		t.Fatalf("token %d is not %d's", token, i)
	}
	m.sleep(t, 6000)
	if token >= m.highest {
		m.highest = token
	}
}
