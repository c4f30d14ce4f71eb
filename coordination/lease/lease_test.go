package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ttl, margin, actDuration = 3 * time.Second, 500 * time.Millisecond, 200 * time.Millisecond

func TestLeaseTimeStartsBeforeTheWrite(t *testing.T) {
	is := is.New(t)
	l := New(ttl, margin)
	l.RecordGrant(time.Second, 8) // the answer may have arrived much later
	is.True(l.Held(3 * time.Second))
	is.True(!l.Held(3*time.Second + 500*time.Millisecond))
	_, ok := l.CanAct(3*time.Second+400*time.Millisecond, actDuration)
	is.True(!ok) // the act would end after the lease
	l.RecordGrant(4*time.Second, 12)
	is.True(!l.Settled(5*time.Second, actDuration)) // taken again: another process may have held it in between
	l.RecordGrant(6*time.Second, 14)
	l.RecordGrant(8*time.Second, 16)
	is.True(l.Settled(8*time.Second, actDuration))
	l.RecordLoss()
	is.True(!l.Held(8 * time.Second))
}

// With pauses and lost answers, two processes never both believe that they hold the
// lease, and a receiver that checks tokens obeys the holders in the order of the
// platform's grants.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{owner: -1, leases: []*Lease{New(ttl, margin), New(ttl, margin)}, writers: map[uint64]int{}}
		t.Repeat(map[string]func(*rapid.T){
			"pause": func(t *rapid.T) { m.advance(t, 4000) },
			"write": m.write,
			"act":   m.act,
			"": func(t *rapid.T) {
				if m.leases[0].Held(m.now) && m.leases[1].Held(m.now) {
					t.Fatal("both processes hold the lease")
				}
			},
		})
	})
}

type model struct {
	now, expiresAt time.Duration
	version        uint64
	owner          int
	leases         []*Lease
	writers        map[uint64]int // by version
	highest        uint64         // highest token that the receiver has obeyed
}

func (m *model) advance(t *rapid.T, maxMillis int) {
	m.now += time.Duration(rapid.IntRange(0, maxMillis).Draw(t, "ms")) * time.Millisecond
}

// write takes or renews the lease if the platform permits it.
func (m *model) write(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "who")
	if m.owner != i && m.now < m.expiresAt {
		m.leases[i].RecordLoss()
		return
	}
	sent := m.now
	m.advance(t, 300) // time in transit
	m.version += 2
	m.owner, m.expiresAt = i, m.now+ttl
	m.writers[m.version] = i
	if rapid.Bool().Draw(t, "answered") {
		m.leases[i].RecordGrant(sent, m.version)
	}
}

// act sends an order that is delayed in transit; the receiver checks its token.
func (m *model) act(t *rapid.T) {
	i := rapid.IntRange(0, 1).Draw(t, "who")
	token, ok := m.leases[i].CanAct(m.now, actDuration)
	if !ok {
		return
	}
	if m.writers[token] != i {
		t.Fatalf("token %d was not written by process %d", token, i)
	}
	m.advance(t, 6000)
	if token >= m.highest {
		m.highest = token
	}
}
