package node

import (
	"time"

	"quinceroad/protocol/event"
)

// holding is who is held to a share at a cell.
type holding struct{ customer, service string }

// mostHeldLogged bounds the lines of one look at who is held.
const mostHeldLogged = 20

// logHeld logs who is held to a share since the last look, and who is no more.
func (c *cell) logHeld(now time.Duration) {
	c.mu.Lock()
	rows := c.scheduler.ThrottledCustomers(now)
	c.mu.Unlock()
	if len(rows) == 0 && len(c.held) == 0 {
		return
	}
	log, lines := c.owner.node.log, 0
	held := make(map[holding]time.Duration, len(rows))
	for _, r := range rows {
		h := holding{r.Customer, r.Resource}
		since, known := c.held[h]
		if !known {
			since = now
			if lines++; lines <= mostHeldLogged {
				event.NodeCustomerThrottled.Log(log, "cell", c.number, "customer", r.Customer, "service", r.Resource, "asked", r.Demand, "share", r.Share)
			}
		}
		held[h] = since
	}
	for h, since := range c.held {
		if _, still := held[h]; still {
			continue
		}
		if lines++; lines <= mostHeldLogged {
			event.NodeCustomerUnthrottled.Log(log, "cell", c.number, "customer", h.customer, "service", h.service, "after", now-since)
		}
	}
	c.held = held
	c.owner.node.counters.held(c.number, len(held))
}
