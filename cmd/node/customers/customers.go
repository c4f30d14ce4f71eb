// Package customers counts the outcomes of customers' requests at one instance, and which
// share of the recent ones is whose.
package customers

import (
	"math"
	"sync"
	"time"
)

// Count counts the outcomes of a customer's requests at one instance.
type Count struct {
	Sent, Served, NotServed int64
	OverShare               int64 `json:"Beyond"` // refused because the customer is over its share; included in NotServed

	recent float64 // decayed number of requests, without those over the share
}

// Counts counts requests by customer. Customers beyond the first maxCustomers are counted
// together, to bound memory. The zero value is ready for use.
type Counts struct {
	mu         sync.Mutex
	byCustomer map[string]*Count
	recent     float64       // sum over all customers
	decayedAt  time.Duration // time of the last decay of the recent counts
}

const (
	maxCustomers         = 1000
	otherCustomers       = "(all others)"
	recentRequestsWindow = time.Minute // time constant of the decay
	recentDecayInterval  = time.Second
)

// RecentShare returns a customer's share of the recent requests and their total.
func (c *Counts) RecentShare(now time.Duration, customer string) (share float32, total uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	if n := c.byCustomer[customer]; n != nil && c.recent > 0 {
		share = float32(min(max(n.recent/c.recent, 0), 1))
	}
	return share, uint32(c.recent)
}

func (c *Counts) decay(now time.Duration) {
	if now-c.decayedAt < recentDecayInterval {
		return
	}
	remaining := math.Exp(-(now - c.decayedAt).Seconds() / recentRequestsWindow.Seconds())
	c.decayedAt = now
	c.recent *= remaining
	for _, n := range c.byCustomer {
		n.recent *= remaining
	}
}

// Record counts the outcome of a request.
func (c *Counts) Record(customer string, err error, overShare bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCustomer == nil {
		c.byCustomer = make(map[string]*Count)
	}
	n := c.byCustomer[customer]
	if n == nil && len(c.byCustomer) >= maxCustomers {
		customer = otherCustomers
		n = c.byCustomer[customer]
	}
	if n == nil {
		n = &Count{}
		c.byCustomer[customer] = n
	}
	n.Sent++
	if !overShare && customer != "" {
		n.recent++
		c.recent++
	}
	switch {
	case err == nil:
		n.Served++
	case overShare:
		n.NotServed++
		n.OverShare++
	default:
		n.NotServed++
	}
}

// All returns a copy of the counts by customer.
func (c *Counts) All() map[string]Count {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]Count, len(c.byCustomer))
	for customer, n := range c.byCustomer {
		out[customer] = *n
	}
	return out
}
