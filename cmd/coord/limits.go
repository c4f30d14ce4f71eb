package coord

import (
	"sync"

	"quinceroad/coordination/limit"
	"quinceroad/protocol/pb"
)

// limits holds the rate budgets of the customers that this coord owns. It is soft
// state: a new owner starts from the entries' next reports.
type limits struct {
	coord   *Coord
	mu      sync.Mutex // table.RankLimits
	budgets map[string]*limit.Allocator
}

func newLimits(c *Coord) *limits {
	return &limits{coord: c, budgets: make(map[string]*limit.Allocator)}
}

// serve answers an entry's demands with its shares of the customers' rates.
func (l *limits) serve(d *pb.Demands) *pb.Demands {
	_, f := l.coord.config()
	out := &pb.Demands{}
	if f == nil {
		return out
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.coord.now()
	for _, x := range d.GetDemands() {
		c, ok := f.Customer(x.GetCustomer())
		if !ok {
			continue
		}
		b, ok := l.budgets[x.GetCustomer()]
		if !ok {
			b = limit.NewAllocator()
			l.budgets[x.GetCustomer()] = b
		}
		share := b.Share(now, d.GetEntry(), x.GetRate(), c.Rate)
		out.Demands = append(out.Demands, &pb.Demand{Customer: x.GetCustomer(), Rate: share})
	}
	return out
}

// sweep removes idle budgets.
func (l *limits) sweep() {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.coord.now()
	for name, b := range l.budgets {
		if b.Idle(now) {
			delete(l.budgets, name)
		}
	}
}
