package upstream

import (
	"container/list"
	"sync"
	"time"
)

const (
	cacheMost   = 64 // prefixes a replica keeps
	prefixBytes = 64
	eventsMost  = 1024
	eventLag    = 500 * time.Millisecond // events are told so late
	eventGap    = 7                      // each so many-th event is never told
)

// cache is a replica's prefix cache in limited memory. Its events are told late
// and with gaps, as engines do; a gap shows in the numbers.
type cache struct {
	mu     sync.Mutex
	rows   map[string]*list.Element
	recent list.List
	events []cacheEvent
	seq    int
}

// cacheEvent is one prefix stored or dropped.
type cacheEvent struct {
	Seq    int    `json:"seq"`
	Prefix string `json:"prefix"`
	Stored bool   `json:"stored"`
	at     time.Time
}

func newCache() *cache { return &cache{rows: make(map[string]*list.Element)} }

// use looks a prefix up and keeps it, dropping the one longest unused.
func (c *cache) use(prefix string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.rows[prefix]; ok {
		c.recent.MoveToFront(e)
		return true
	}
	c.rows[prefix] = c.recent.PushFront(prefix)
	c.note(prefix, true, now)
	if c.recent.Len() > cacheMost {
		last := c.recent.Remove(c.recent.Back()).(string)
		delete(c.rows, last)
		c.note(last, false, now)
	}
	return false
}

func (c *cache) note(prefix string, stored bool, now time.Time) {
	c.seq++
	if c.seq%eventGap == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Prefix: prefix, Stored: stored, at: now})
	if len(c.events) > eventsMost {
		c.events = c.events[len(c.events)-eventsMost:]
	}
}

// since returns the events after a number that are old enough to be told.
func (c *cache) since(after int, now time.Time) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > after && now.Sub(e.at) >= eventLag {
			out = append(out, e)
		}
	}
	return out
}
