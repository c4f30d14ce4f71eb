package scheduler

import (
	"container/heap"
	"time"

	"quinceroad/state/fleet"
)

const classes = int(fleet.Batch) + 1

// queue orders tasks by class, then by weighted fair share among customers (virtual
// finish times), then by least slack. All operations take logarithmic time.
type queue struct {
	classes    [classes]classQueue
	byDropTime elementHeap[*item]
	byID       map[taskKey]*item
	announced  map[taskKey]*item  // announced, not yet submitted
	byDeadline elementHeap[*item] // the announced tasks by deadline
}

type taskKey struct {
	holder string
	id     uint64
}

type item struct {
	task    *Task
	dropAt  time.Duration // when it is dropped; for an announcement, its deadline
	removed bool          // popped or cancelled; the heaps discard it when they reach it
}

// classQueue holds the flows of one class; clock is its virtual time.
type classQueue struct {
	flows     map[string]*flow
	active    elementHeap[*flow]
	clock     float64
	queued    int     // queued tasks
	announced int     // announced tasks
	weight    float64 // total weight of the flows with queued or announced tasks
}

// flow holds one customer's tasks, least slack first.
type flow struct {
	customer  string
	weight    float64
	finish    float64 // virtual time at which its next task is due
	tasks     elementHeap[*item]
	queued    int // tasks, removed ones excluded
	announced int // announced tasks
	index     int
}

func newQueue() *queue {
	q := &queue{byID: make(map[taskKey]*item), announced: make(map[taskKey]*item)}
	for i := range q.classes {
		q.classes[i].flows = make(map[string]*flow)
	}
	return q
}

func (q *queue) len() int { return len(q.byID) }

func (q *queue) class(t *Task) *classQueue {
	return &q.classes[min(max(int(t.Class), 0), classes-1)]
}

func (q *queue) push(t *Task, dropAt time.Duration) {
	it := &item{task: t, dropAt: dropAt}
	q.byID[taskKey{t.Holder, t.ID}] = it
	heap.Push(&q.byDropTime, it)
	q.class(t).push(it)
}

// pop returns the next task to run, or nil.
func (q *queue) pop() *Task {
	for i := range q.classes {
		if it := q.classes[i].pop(); it != nil {
			q.forget(it)
			return it.task
		}
	}
	return nil
}

// popExpired returns a task that must be dropped by now, or nil.
func (q *queue) popExpired(now time.Duration) *Task {
	for len(q.byDropTime) > 0 && (q.byDropTime[0].removed || q.byDropTime[0].dropAt < now) {
		it := heap.Pop(&q.byDropTime).(*item)
		if it.removed {
			continue
		}
		q.remove(it)
		return it.task
	}
	return nil
}

func (q *queue) cancel(id uint64, holder string) {
	key := taskKey{holder, id}
	if it, ok := q.byID[key]; ok {
		q.remove(it)
	}
	if it, ok := q.announced[key]; ok {
		q.endAnnouncement(it.task)
	}
}

// announce counts a task that will be submitted later.
func (q *queue) announce(t *Task) {
	it := &item{task: t, dropAt: t.Deadline}
	q.announced[taskKey{t.Holder, t.ID}] = it
	heap.Push(&q.byDeadline, it)
	c := q.class(t)
	f := c.flow(t)
	f.announced++
	c.announced++
}

// endAnnouncement removes an announcement and reports whether there was one.
func (q *queue) endAnnouncement(t *Task) bool {
	key := taskKey{t.Holder, t.ID}
	it, ok := q.announced[key]
	if !ok {
		return false
	}
	it.removed = true
	delete(q.announced, key)
	c := q.class(it.task)
	f := c.flows[it.task.Customer]
	f.announced--
	c.announced--
	c.deactivate(f)
	return true
}

// expire removes the announcements whose deadline has passed.
func (q *queue) expire(now time.Duration) {
	for len(q.byDeadline) > 0 && (q.byDeadline[0].removed || q.byDeadline[0].dropAt < now) {
		if it := heap.Pop(&q.byDeadline).(*item); !it.removed {
			q.endAnnouncement(it.task)
		}
	}
}

func (q *queue) dropHolder(holder string) {
	for k, it := range q.byID {
		if k.holder == holder {
			q.remove(it)
		}
	}
	for k, it := range q.announced {
		if k.holder == holder {
			q.endAnnouncement(it.task)
		}
	}
}

// remove removes a queued item; the heaps discard it when they reach it.
func (q *queue) remove(it *item) {
	q.class(it.task).removeOne(it.task.Customer)
	q.forget(it)
}

func (q *queue) forget(it *item) {
	it.removed = true
	delete(q.byID, taskKey{it.task.Holder, it.task.ID})
}

// ahead estimates how many tasks would run before t if it were queued now: those of
// higher classes, and those of its own class that fair sharing puts first. Announced
// tasks count as queued.
func (q *queue) ahead(t *Task) int {
	n := 0
	for i := 0; i < min(int(t.Class), classes); i++ {
		n += q.classes[i].queued + q.classes[i].announced
	}
	c := q.class(t)
	w := float64(max(t.Weight, 1))
	own, total := 0, c.weight
	if f, ok := c.flows[t.Customer]; ok && f.queued+f.announced > 0 {
		own = f.queued + f.announced
	} else {
		total += w
	}
	fair := float64(own+1) * total / w
	return n + min(c.queued+c.announced, int(fair)-1)
}

// flow returns the customer's flow and counts it as active.
func (c *classQueue) flow(t *Task) *flow {
	f, ok := c.flows[t.Customer]
	if !ok {
		f = &flow{customer: t.Customer, index: -1}
		c.flows[t.Customer] = f
	}
	if f.queued+f.announced == 0 {
		f.weight = float64(max(t.Weight, 1))
		c.weight += f.weight
	}
	return f
}

// deactivate removes the weight of a flow that has no queued or announced tasks.
func (c *classQueue) deactivate(f *flow) {
	if f.queued+f.announced > 0 {
		return
	}
	c.weight -= f.weight
	if f.index < 0 {
		delete(c.flows, f.customer)
	}
}

func (c *classQueue) push(it *item) {
	f := c.flow(it.task)
	heap.Push(&f.tasks, it)
	f.queued++
	c.queued++
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
			c.dropIdle(f)
			continue
		}
		c.clock = f.finish
		f.finish += 1 / f.weight
		heap.Fix(&c.active, 0)
		c.removeOne(f.customer)
		return it
	}
	return nil
}

// removeOne subtracts one of a customer's tasks from the counts.
func (c *classQueue) removeOne(customer string) {
	f := c.flows[customer]
	f.queued--
	c.queued--
	c.deactivate(f)
}

// dropIdle deletes a flow without tasks, so that memory use depends on the customers
// that wait now, not on all that ever waited.
func (c *classQueue) dropIdle(f *flow) {
	if f.queued+f.announced == 0 {
		delete(c.flows, f.customer)
	}
}

func (f *flow) pop() *item {
	for len(f.tasks) > 0 {
		it := heap.Pop(&f.tasks).(*item)
		if !it.removed {
			return it
		}
	}
	return nil
}

func (it *item) before(other *item) bool { return it.dropAt < other.dropAt }

func (it *item) setHeapIndex(int) {} // items are removed from the front only

func (f *flow) before(other *flow) bool { return f.finish < other.finish }

func (f *flow) setHeapIndex(i int) { f.index = i }
