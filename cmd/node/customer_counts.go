package node

import (
	"math"
	"sync"
	"time"
)

// customerCount counts the outcomes of a customer's requests at one instance.
type customerCount struct {
	Sent, Served, NotServed int64
	OverShare               int64 `json:"Beyond"` // refused because the customer is over its share; included in NotServed

	recent float64 // decayed number of requests, without those over the share
}

// customerCounts counts requests by customer. Customers beyond the first
// maxCountedCustomers are counted together, to bound memory.
type customerCounts struct {
	mu         sync.Mutex
	byCustomer map[string]*customerCount
	recent     float64       // sum over all customers
	decayedAt  time.Duration // time of the last decay of the recent counts
}

const (
	maxCountedCustomers  = 1000
	otherCustomers       = "(all others)"
	recentRequestsWindow = time.Minute // time constant of the decay
	recentDecayInterval  = time.Second
)

// recentShare returns a customer's share of the recent requests and their total.
func (c *customerCounts) recentShare(now time.Duration, customer string) (share float32, total uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decay(now)
	if n := c.byCustomer[customer]; n != nil && c.recent > 0 {
		share = float32(min(max(n.recent/c.recent, 0), 1))
	}
	return share, uint32(c.recent)
}

func (c *customerCounts) decay(now time.Duration) {
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

// record counts the outcome of a request.
func (c *customerCounts) record(customer string, err error, overShare bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byCustomer == nil {
		c.byCustomer = make(map[string]*customerCount)
	}
	n := c.byCustomer[customer]
	if n == nil && len(c.byCustomer) >= maxCountedCustomers {
		customer = otherCustomers
		n = c.byCustomer[customer]
	}
	if n == nil {
		n = &customerCount{}
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

// counts returns a copy of the counts.
func (c *customerCounts) counts() map[string]customerCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[string]customerCount, len(c.byCustomer))
	for customer, n := range c.byCustomer {
		out[customer] = *n
	}
	return out
}
