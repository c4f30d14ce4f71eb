// Package table holds the shared tables of a process and states the order in
// which their locks may be taken.
//
// A goroutine that needs two tables takes the lower Rank first and never calls
// out (network, channel, log sink that blocks) while it holds either.
package table

import "sync"

// Rank is a lock's place in the order; lower ranks are taken first.
type Rank int

// The ranks of every shared table, in lock order. docs/ARCHITECTURE.md repeats them.
const (
	RankConfig    Rank = iota + 1 // the configuration in force
	RankMembers                   // instances
	RankReplicas                  // upstreams' replicas
	RankLimits                    // customers' rate limits
	RankLedger                    // at-most-once records
	RankScheduler                 // slots and queues of one service
	RankSessions                  // open links and permit streams
)

// Table is a map guarded by one lock; the zero value is not usable, see New.
type Table[K comparable, V any] struct {
	rank Rank
	mu   sync.RWMutex
	rows map[K]V
}

// New returns an empty table with the given place in the lock order.
func New[K comparable, V any](rank Rank) *Table[K, V] {
	return &Table[K, V]{rank: rank, rows: make(map[K]V)}
}

// Rank returns the table's place in the lock order.
func (t *Table[K, V]) Rank() Rank { return t.rank }

// Get returns the row of k.
func (t *Table[K, V]) Get(k K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.rows[k]
	return v, ok
}

// Put sets the row of k.
func (t *Table[K, V]) Put(k K, v V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[k] = v
}

// Delete drops the row of k.
func (t *Table[K, V]) Delete(k K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, k)
}

// Take returns the row of k and drops it.
func (t *Table[K, V]) GetAndDelete(k K) (V, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.rows[k]
	delete(t.rows, k)
	return v, ok
}

// GetOrPut returns the row of k, which it makes with fresh when there is none.
func (t *Table[K, V]) GetOrPut(k K, fresh func() V) V {
	if v, ok := t.Get(k); ok {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, ok := t.rows[k]; ok {
		return v
	}
	v := fresh()
	t.rows[k] = v
	return v
}

// Replace exchanges all rows at once, so that readers never see half a change.
func (t *Table[K, V]) Replace(rows map[K]V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows = rows
}

// Len returns the number of rows.
func (t *Table[K, V]) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.rows)
}

// Rows returns a copy of all rows, in no order.
func (t *Table[K, V]) Rows() map[K]V {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[K]V, len(t.rows))
	for k, v := range t.rows {
		out[k] = v
	}
	return out
}
