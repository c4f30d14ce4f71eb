package scheduler

import (
	"container/heap"
	"time"

	"quinceroad/state/fleet"
)

const classes = int(fleet.Batch) + 1

// queue orders asks by class, then weighted fair share among customers
// (virtual finish times), then least slack. All steps are logarithmic.
type queue struct {
	classes [classes]classQueue
	doomed  doomHeap
	byID    map[askKey]*item
	coming  map[askKey]*item // announced, not yet asked for
	late    doomHeap         // the same by deadline
}

type askKey struct {
	holder string
	id     uint64
}

type item struct {
	ask    *Task
	dropAt time.Duration
	gone   bool // popped or cancelled; heaps skip it
}

// classQueue holds the flows of one class; clock is its virtual time.
type classQueue struct {
	flows  map[string]*flow
	active flowHeap
	clock  float64
	n      int
	coming int     // announced
	weight float64 // of the flows that have asks or announcements
}

// flow is one customer's asks, most urgent first.
type flow struct {
	customer string
	weight   float64
	finish   float64 // virtual time at which its next ask is due
	asks     slackHeap
	n        int // without the gone
	coming   int // announced
	index    int
}

func newQueue() *queue {
	q := &queue{byID: make(map[askKey]*item), coming: make(map[askKey]*item)}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) class(a *Task) *classQueue {
	return &q.classes[min(max(int(a.Class), 0), classes-1)]
}

func (q *queue) push(a *Task, dropAt time.Duration) {
	it := &item{ask: a, dropAt: dropAt}
	q.byID[askKey{a.Holder, a.ID}] = it
	heap.Push(&q.doomed, it)
	q.class(a).push(it)
}

// pop returns the ask to run next, or nil.
func (q *queue) pop() *Task {
	for i := range q.classes {
		if it := q.classes[i].pop(); it != nil {
			q.forget(it)
			return it.ask
		}
	}
	return nil
}

// popDoomed returns an ask that must be given up by now, or nil.
func (q *queue) popDoomed(now time.Duration) *Task {
	for len(q.doomed) > 0 && (q.doomed[0].gone || q.doomed[0].dropAt < now) {
		it := heap.Pop(&q.doomed).(*item)
		if it.gone {
			continue
		}
		q.remove(it)
		return it.ask
	}
	return nil
}

func (q *queue) cancel(id uint64, holder string) {
	key := askKey{holder, id}
	if it, ok := q.byID[key]; ok {
		q.remove(it)
	}
	if it, ok := q.coming[key]; ok {
		q.arrive(it.ask)
	}
}

// announce counts an ask that will come.
func (q *queue) announce(a *Task) {
	it := &item{ask: a, dropAt: a.Deadline}
	q.coming[askKey{a.Holder, a.ID}] = it
	heap.Push(&q.late, it)
	c := q.class(a)
	f := c.flow(a)
	f.coming++
	c.coming++
}

// arrive ends an announcement; false when there was none.
func (q *queue) arrive(a *Task) bool {
	key := askKey{a.Holder, a.ID}
	it, ok := q.coming[key]
	if !ok {
		return false
	}
	it.gone = true
	delete(q.coming, key)
	c := q.class(it.ask)
	f := c.flows[it.ask.Customer]
	f.coming--
	c.coming--
	c.rest(f)
	return true
}

// expire ends the announcements of requests whose deadline has passed.
func (q *queue) expire(now time.Duration) {
	for len(q.late) > 0 && (q.late[0].gone || q.late[0].dropAt < now) {
		if it := heap.Pop(&q.late).(*item); !it.gone {
			q.arrive(it.ask)
		}
	}
}

func (q *queue) dropHolder(holder string) {
	for k, it := range q.byID {
		if k.holder == holder {
			q.remove(it)
		}
	}
	for k, it := range q.coming {
		if k.holder == holder {
			q.arrive(it.ask)
		}
	}
}

// remove takes a still queued item out; the heaps drop it when they meet it.
func (q *queue) remove(it *item) {
	q.class(it.ask).lose(it.ask.Customer)
	q.forget(it)
}

func (q *queue) forget(it *item) {
	it.gone = true
	delete(q.byID, askKey{it.ask.Holder, it.ask.ID})
}

// ahead estimates how many asks run before a, were it queued now: those of
// higher classes, and in its own class what its fair share lets through first.
// Announced ones count as if they were queued.
func (q *queue) ahead(a *Task) int {
	n := 0
	for i := 0; i < min(int(a.Class), classes); i++ {
		n += q.classes[i].n + q.classes[i].coming
	}
	c := q.class(a)
	w := float64(max(a.Weight, 1))
	own, total := 0, c.weight
	if f, ok := c.flows[a.Customer]; ok && f.n+f.coming > 0 {
		own = f.n + f.coming
	} else {
		total += w
	}
	fair := float64(own+1) * total / w
	return n + min(c.n+c.coming, int(fair)-1)
}

// flow returns the customer's flow, which counts as active from here on.
func (c *classQueue) flow(a *Task) *flow {
	f, ok := c.flows[a.Customer]
	if !ok {
		f = &flow{customer: a.Customer, index: -1}
		c.flows[a.Customer] = f
	}
	if f.n+f.coming == 0 {
		f.weight = float64(max(a.Weight, 1))
		c.weight += f.weight
	}
	return f
}

// rest takes a flow without asks and announcements out of the weights.
func (c *classQueue) rest(f *flow) {
	if f.n+f.coming > 0 {
		return
	}
	c.weight -= f.weight
	if f.index < 0 {
		delete(c.flows, f.customer)
	}
}

func (c *classQueue) push(it *item) {
	f := c.flow(it.ask)
	heap.Push(&f.asks, it)
	f.n++
	c.n++
	if f.index < 0 {
		f.finish = max(f.finish, c.clock) + 1/f.weight
		heap.Push(&c.active, f)
	}
}

func (c *classQueue) pop() *item {
	for len(c.active) > 0 {
		f := c.active[0]
		it := f.pop()
		if it == nil {
			heap.Pop(&c.active)
			c.forgetIdle(f)
			continue
		}
		c.clock = f.finish
		f.finish += 1 / f.weight
		heap.Fix(&c.active, 0)
		c.lose(f.customer)
		return it
	}
	return nil
}

// lose counts one ask of a customer out.
func (c *classQueue) lose(customer string) {
	f := c.flows[customer]
	f.n--
	c.n--
	c.rest(f)
}

// forgetIdle drops a flow without asks, so that memory follows the customers
// that wait, not those that ever waited.
func (c *classQueue) forgetIdle(f *flow) {
	if f.n+f.coming == 0 {
		delete(c.flows, f.customer)
	}
}

func (f *flow) pop() *item {
	for len(f.asks) > 0 {
		it := heap.Pop(&f.asks).(*item)
		if !it.gone {
			return it
		}
	}
	return nil
}

type slackHeap []*item

func (h slackHeap) Len() int           { return len(h) }
func (h slackHeap) Less(i, j int) bool { return h[i].dropAt < h[j].dropAt }
func (h slackHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *slackHeap) Push(x any) { *h = append(*h, x.(*item)) }

// Pop implements heap.Interface.
func (h *slackHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return it
}

// doomHeap orders by the same key; its items are those of all flows.
type doomHeap = slackHeap

type flowHeap []*flow

func (h flowHeap) Len() int           { return len(h) }
func (h flowHeap) Less(i, j int) bool { return h[i].finish < h[j].finish }
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.index = len(*h)
	*h = append(*h, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.index = -1
	return f
}
