// Package table provides maps that are safe for concurrent use and defines the
// lock order of all shared tables of a process.
//
// A goroutine that needs two tables locks the one with the lower Rank first. It
// must not block (network, channel, log sink) while it holds either lock.
package table

import "sync"

// Rank is a position in the lock order; lower ranks are locked first.
type Rank int

// The ranks of all shared tables, in lock order. docs/ARCHITECTURE.md lists them too.
const (
	RankConfig    Rank = iota + 1 // the configuration in force
	RankMembers                   // instances
	RankReplicas                  // replicas of upstreams
	RankLimits                    // customers' rate limits
	RankLedger                    // at-most-once records
	RankScheduler                 // slots and queues of one service
	RankSessions                  // open connections and permit streams
)

// Table is a map guarded by one lock. Use New to create one.
type Table[K comparable, V any] struct {
	rank Rank
	mu   sync.RWMutex
	rows map[K]V
}

// New returns an empty table with the given rank.
func New[K comparable, V any](rank Rank) *Table[K, V] {
	return &Table[K, V]{rank: rank, rows: make(map[K]V)}
}

// Rank returns the table's position in the lock order.
func (t *Table[K, V]) Rank() Rank { return t.rank }

// Get returns the row of key k.
func (t *Table[K, V]) Get(k K) (V, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	v, ok := t.rows[k]
	return v, ok
}

// Put sets the row of key k.
func (t *Table[K, V]) Put(k K, v V) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rows[k] = v
}

// Delete removes the row of key k.
func (t *Table[K, V]) Delete(k K) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.rows, k)
}

// GetAndDelete returns the row of key k and removes it.
func (t *Table[K, V]) GetAndDelete(k K) (V, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	v, ok := t.rows[k]
	delete(t.rows, k)
	return v, ok
}

// GetOrPut returns the row of key k and creates it first if it is missing.
func (t *Table[K, V]) GetOrPut(k K, create func() V) V {
	if v, ok := t.Get(k); ok {
		return v
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if v, ok := t.rows[k]; ok {
		return v
	}
	v := create()
	t.rows[k] = v
	return v
}

// Replace sets all rows atomically.
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

// Rows returns a copy of all rows.
func (t *Table[K, V]) Rows() map[K]V {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := make(map[K]V, len(t.rows))
	for k, v := range t.rows {
		out[k] = v
	}
	return out
}
