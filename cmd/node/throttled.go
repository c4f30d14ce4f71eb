package node

import (
	"time"

	"quinceroad/protocol/event"
)

// throttledCustomer identifies a customer that is throttled at a service of a cell.
type throttledCustomer struct{ customer, service string }

// maxThrottledLogLines bounds the log lines of one check.
const maxThrottledLogLines = 20

// logThrottled logs the customers that have become throttled since the last check, and
// those that are no longer throttled.
func (c *cell) logThrottled(now time.Duration) {
	c.mu.Lock()
	rows := c.scheduler.ThrottledCustomers(now)
	c.mu.Unlock()
	if len(rows) == 0 && len(c.throttledSince) == 0 {
		return
	}
	log, lines := c.owner.node.log, 0
	throttled := make(map[throttledCustomer]time.Duration, len(rows))
	for _, r := range rows {
		key := throttledCustomer{r.Customer, r.Resource}
		since, known := c.throttledSince[key]
		if !known {
			since = now
			if lines++; lines <= maxThrottledLogLines {
				event.NodeCustomerThrottled.Log(log, "cell", c.number, "customer", r.Customer, "service", r.Resource, "asked", r.Demand, "share", r.Share)
			}
		}
		throttled[key] = since
	}
	for key, since := range c.throttledSince {
		if _, still := throttled[key]; still {
			continue
		}
		if lines++; lines <= maxThrottledLogLines {
			event.NodeCustomerUnthrottled.Log(log, "cell", c.number, "customer", key.customer, "service", key.service, "after", now-since)
		}
	}
	c.throttledSince = throttled
	c.owner.node.counters.setThrottled(c.number, len(throttled))
}
