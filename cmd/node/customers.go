package node

import (
	"math"
	"sync"
	"time"
)

// customerCount is what became of a customer's requests at one instance.
type customerCount struct {
	Sent, Served, NotServed int64
	Beyond                  int64 // of these, refused for its share

	lately float64 // sent lately, but for what was beyond its share
}

// customerCounts counts by customer; those beyond mostCounted are counted together.
type customerCounts struct {
	mu     sync.Mutex
	all    map[string]*customerCount
	lately float64       // of all customers
	at     time.Duration // when that was last faded
}

const (
	mostCounted = 1000
	theRest     = "(all others)"
	latelyFor   = time.Minute // over which what customers usually send is counted
	fadeEach    = time.Second
)

// usual returns a customer's part of what has come lately, and of how many requests
// that is.
func (c *customerCounts) usual(now time.Duration, customer string) (part float32, of uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fade(now)
	if n := c.all[customer]; n != nil && c.lately > 0 {
		part = float32(min(max(n.lately/c.lately, 0), 1))
	}
	return part, uint32(c.lately)
}

func (c *customerCounts) fade(now time.Duration) {
	if now-c.at < fadeEach {
		return
	}
	left := math.Exp(-(now - c.at).Seconds() / latelyFor.Seconds())
	c.at = now
	c.lately *= left
	for _, n := range c.all {
		n.lately *= left
	}
}

// count takes in what became of a request.
func (c *customerCounts) count(customer string, err error, beyond bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all == nil {
		c.all = make(map[string]*customerCount)
	}
	n := c.all[customer]
	if n == nil && len(c.all) >= mostCounted {
		customer = theRest
		n = c.all[customer]
	}
	if n == nil {
		n = &customerCount{}
		c.all[customer] = n
	}
	n.Sent++
	if !beyond && customer != "" {
		n.lately++
		c.lately++
	}
	switch {
	case err == nil:
		n.Served++
	case beyond:
		n.NotServed++
		n.Beyond++
	default:
		n.NotServed++
	}
}

// counts returns what was counted so far.
func (c *customerCounts) counts() map[string]customerCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]customerCount, len(c.all))
	for customer, n := range c.all {
		out[customer] = *n
	}
	return out
}
