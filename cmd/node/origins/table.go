package origins

import (
	"sync"
	"time"

	"quinceroad/coordination/origin"
)

// lockedTable is a table of records for concurrent use. No other lock is acquired under its
// own.
type lockedTable struct {
	mu    sync.Mutex
	table *origin.Table
}

func (t *lockedTable) put(now time.Duration, r origin.Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Put(now, r)
}

func (t *lockedTable) putOwn(now time.Duration, r origin.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.PutOwn(now, r)
}

func (t *lockedTable) own(now time.Duration, service string) []origin.Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Own(now, service)
}

func (t *lockedTable) get(now time.Duration, k origin.Key) (origin.Record, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.table.Get(now, k)
}

func (t *lockedTable) expire(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.table.Expire(now)
}

func (t *lockedTable) len() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return int64(t.table.Len())
}
