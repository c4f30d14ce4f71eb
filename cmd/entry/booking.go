package entry

import (
	"time"

	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/convert"
)

// bookShare is the share of a pipeline's expected time from which a later stage
// is announced when the request is admitted. Shorter stages are seldom where a
// request waits, and each announcement costs two messages.
const bookShare = 0.2

// booking is a later stage's announcement.
type booking struct {
	service string
	id      uint64
	owner   *ownerStream // nil: the local scheduler
	ch      chan slotAnswer
}

// book announces a stage; settle waits for the answer.
func (c *slotClient) book(service string, a scheduler.Task, ready, left time.Duration) *booking {
	a.ID = c.nextID.Add(1)
	b := &booking{service: service, id: a.ID, owner: c.ownerOf(service)}
	if b.owner != nil {
		f := askFrame(service, &a, left)
		f.Announce, f.ReadyUs = true, convert.Micros(ready)
		b.ch = b.owner.ask(f, a.ID)
		return b
	}
	b.ch = make(chan slotAnswer, 1)
	a.Deadline = c.local.Now() + left
	c.waiting.Put(a.ID, b.ch)
	if !c.local.Announce(service, a, ready) {
		b.ch <- slotAnswer{Action: scheduler.Action{Reason: scheduler.NoReplica}}
	}
	return b
}

// settle returns the answer to a booking. A silent owner, or one that knows no
// replica yet, counts as yes: the stage will be asked for elsewhere.
func (c *slotClient) settle(b *booking) scheduler.Action {
	yes := scheduler.Action{Admitted: true}
	t := time.NewTimer(ownerPatience)
	defer t.Stop()
	select {
	case ans := <-b.ch:
		if ans.lost || (b.owner != nil && ans.Reason == scheduler.NoReplica) {
			return yes
		}
		return ans.Action
	case <-t.C:
		c.unbook(b)
		b.owner.silent(b.service)
		return yes
	}
}

// unbook takes a booking back.
func (c *slotClient) unbook(b *booking) {
	if b.owner != nil {
		b.owner.giveUp(b.service, b.id)
		return
	}
	c.waiting.Delete(b.id)
	c.local.Cancel(b.service, b.id, "")
}

// bookAll announces the later stages of a run that weigh.
func (e *Entry) bookAll(r *run) {
	total := e.expectAll(r)
	ready := time.Duration(0)
	r.bookings = make([]*booking, len(r.pipeline.Stages))
	for i := range r.pipeline.Stages {
		st := &r.pipeline.Stages[i]
		expect := e.estimate(r.pipeline, st).mean(len(r.input))
		if i > 0 && float64(expect) >= bookShare*float64(total) {
			a := scheduler.Task{
				Customer: r.customer.Name, Weight: r.customer.Weight, Class: r.class,
				Remaining: e.expectFrom(r, i+1), Expected: expect,
			}
			r.bookings[i] = e.slots.book(st.Service, a, ready, r.left())
		}
		ready += expect
	}
}

// settleAll waits for the answers to a run's announcements: nothing of it may
// run before all have said yes.
func (e *Entry) settleAll(r *run) *final {
	for i, b := range r.bookings {
		if b == nil {
			continue
		}
		if act := e.slots.settle(b); !act.Admitted {
			return e.noSlot(r, &r.pipeline.Stages[i], act)
		}
	}
	return nil
}

// unbookAll takes back what a run did not use.
func (e *Entry) unbookAll(r *run) {
	for _, b := range r.bookings {
		if b != nil {
			e.slots.unbook(b)
		}
	}
}

// useBooking returns a stage's booking, once.
func (r *run) useBooking(i int) *booking {
	b := r.bookings[i]
	r.bookings[i] = nil
	return b
}
