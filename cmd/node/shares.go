package node

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"quinceroad/coordination/shares"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

// standingNews is what an owner tells of how a request stands within its
// customer's share; nil where it is within.
func standingNews(s shares.Standing) *pb.Standing {
	if s.Within {
		return nil
	}
	return &pb.Standing{Resource: s.Resource, Asked: float32(s.Asked), Share: float32(s.Share)}
}

// standingOf reads what an owner tells; one of an older build tells nothing.
func standingOf(s *pb.Standing) shares.Standing {
	if s == nil {
		return shares.Standing{Within: true}
	}
	return shares.Standing{Resource: s.Resource, Asked: float64(s.Asked), Share: float64(s.Share)}
}

// mostCustomer bounds a customer's name in messages and logs, in bytes.
const mostCustomer = 128

// nameOf is a customer's name as messages and logs have it: one that is longer than
// they hold goes by its hash.
func nameOf(customer string) string {
	if len(customer) <= mostCustomer {
		return customer
	}
	return fmt.Sprintf("%.32s...%016x", customer, xxhash.Sum64String(customer))
}

// holding is who is held to a share at a cell.
type holding struct{ customer, service string }

// mostHeldLogged bounds the lines of one look at who is held.
const mostHeldLogged = 20

// logHeld logs who is held to a share since the last look, and who is no more.
func (c *cell) logHeld(now time.Duration) {
	c.mu.Lock()
	rows := c.scheduler.Held(now)
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
				event.NodeCustomerHeld.Log(log, "cell", c.number, "customer", r.Customer, "service", r.Resource, "asked", r.Asked, "share", r.Share)
			}
		}
		held[h] = since
	}
	for h, since := range c.held {
		if _, still := held[h]; still {
			continue
		}
		if lines++; lines <= mostHeldLogged {
			event.NodeCustomerFree.Log(log, "cell", c.number, "customer", h.customer, "service", h.service, "after", now-since)
		}
	}
	c.held = held
	c.owner.node.counters.held(c.number, len(held))
}

// customerCount is what became of a customer's requests at one instance.
type customerCount struct {
	Sent, Served, Refused int64
	Beyond                int64 // of the refused ones, for its share

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
		n.Refused++
		n.Beyond++
	default:
		n.Refused++
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
