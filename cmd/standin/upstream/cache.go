package upstream

import (
	"container/list"
	"sync"
	"time"
)

const (
	maxCachedPrefixes = 64                     // prefixes that a replica caches
	prefixBytes       = 64                     // length of a prefix
	maxCacheEvents    = 1024                   // latest events kept for reports
	eventDelay        = 500 * time.Millisecond // age at which events are reported
	eventGapInterval  = 7                      // every seventh event is never reported
)

// prefixCache is a replica's LRU cache of prompt prefixes. Like those of real engines, its
// events are reported late and with gaps; a gap shows in the sequence numbers.
type prefixCache struct {
	mu      sync.Mutex
	entries map[string]*list.Element
	lru     list.List
	events  []cacheEvent
	seq     int
}

// cacheEvent reports that a prefix was stored or evicted.
type cacheEvent struct {
	Seq      int    `json:"seq"`
	Prefix   string `json:"prefix"`
	Stored   bool   `json:"stored"`
	recorded time.Time
}

func newPrefixCache() *prefixCache { return &prefixCache{entries: make(map[string]*list.Element)} }

// lookupOrStore reports whether a prefix is cached, and stores it if not, evicting the
// least recently used one when the cache is full.
func (c *prefixCache) lookupOrStore(prefix string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e, ok := c.entries[prefix]; ok {
		c.lru.MoveToFront(e)
		return true
	}
	c.entries[prefix] = c.lru.PushFront(prefix)
	c.recordEvent(prefix, true, now)
	if c.lru.Len() > maxCachedPrefixes {
		last := c.lru.Remove(c.lru.Back()).(string)
		delete(c.entries, last)
		c.recordEvent(last, false, now)
	}
	return false
}

func (c *prefixCache) recordEvent(prefix string, stored bool, now time.Time) {
	c.seq++
	if c.seq%eventGapInterval == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Seq: c.seq, Prefix: prefix, Stored: stored, recorded: now})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after a sequence number that are at least eventDelay old.
func (c *prefixCache) eventsAfter(after int, now time.Time) []cacheEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := []cacheEvent{}
	for _, e := range c.events {
		if e.Seq > after && now.Sub(e.recorded) >= eventDelay {
			out = append(out, e)
		}
	}
	return out
}
