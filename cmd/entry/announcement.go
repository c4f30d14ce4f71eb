package entry

import (
	"time"

	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/convert"
)

// minAnnounceShare is the minimum fraction of a pipeline's expected time for a later
// stage to be announced when the request is admitted. Requests seldom queue for shorter
// stages, and each announcement costs two messages.
const minAnnounceShare = 0.2

// announcement is the advance notice of a later stage to the scheduler of its service,
// which either admits the stage or refuses it.
type announcement struct {
	service string
	id      uint64       // of the announced task
	owner   *ownerStream // nil if announced to the local scheduler
	ch      chan slotAnswer
}

// announce announces a stage that will be ready after the given time. awaitAdmission
// waits for the response.
func (c *slotClient) announce(service string, task scheduler.Task, ready, left time.Duration) *announcement {
	task.ID = c.nextID.Add(1)
	a := &announcement{service: service, id: task.ID, owner: c.ownerOf(service)}
	if a.owner != nil {
		f := buildAsk(service, &task, left)
		f.Announce, f.ReadyUs = true, convert.Micros(ready)
		a.ch = a.owner.submit(f, task.ID)
		return a
	}
	a.ch = make(chan slotAnswer, 1)
	task.Deadline = c.local.Now() + left
	c.pending.Put(task.ID, a.ch)
	if !c.local.Announce(service, task, ready) {
		a.ch <- slotAnswer{Action: scheduler.Action{Reason: scheduler.NoReplica}}
	}
	return a
}

// awaitAdmission returns the response to an announcement. If the owner is unresponsive or
// has no replicas yet, the stage counts as admitted: its slot will be acquired from the
// local scheduler.
func (c *slotClient) awaitAdmission(a *announcement) scheduler.Action {
	admitted := scheduler.Action{Admitted: true}
	t := time.NewTimer(ownerTimeout)
	defer t.Stop()
	select {
	case ans := <-a.ch:
		if ans.disconnected || (a.owner != nil && ans.Reason == scheduler.NoReplica) {
			return admitted
		}
		return ans.Action
	case <-t.C:
		c.withdraw(a)
		a.owner.markUnresponsive(a.service)
		return admitted
	}
}

// withdraw cancels an announcement.
func (c *slotClient) withdraw(a *announcement) {
	if a.owner != nil {
		a.owner.cancel(a.service, a.id)
		return
	}
	c.pending.Delete(a.id)
	c.local.Cancel(a.service, a.id, "")
}

// announceStages announces the later stages that take a large part of the run's
// expected time.
func (e *Entry) announceStages(r *run) {
	total := e.expectedTotal(r)
	ready := time.Duration(0)
	r.announcements = make([]*announcement, len(r.pipeline.Stages))
	for i := range r.pipeline.Stages {
		st := &r.pipeline.Stages[i]
		expect := e.estimate(r.pipeline, st).mean(len(r.input))
		if i > 0 && float64(expect) >= minAnnounceShare*float64(total) {
			task := scheduler.Task{
				Customer: r.customer.Name, Weight: r.customer.Weight, Class: r.class,
				Remaining: e.expectedFrom(r, i+1), Expected: expect,
			}
			r.announcements[i] = e.slots.announce(st.Service, task, ready, r.timeLeft())
		}
		ready += expect
	}
}

// awaitAdmissions waits for the responses to a run's announcements. No stage may start
// before all of them are admitted.
func (e *Entry) awaitAdmissions(r *run) *runResult {
	for i, a := range r.announcements {
		if a == nil {
			continue
		}
		if act := e.slots.awaitAdmission(a); !act.Admitted {
			return e.refuseForSlot(r, &r.pipeline.Stages[i], act)
		}
	}
	return nil
}

// withdrawUnused cancels the announcements whose stages were not reached.
func (e *Entry) withdrawUnused(r *run) {
	for _, a := range r.announcements {
		if a != nil {
			e.slots.withdraw(a)
		}
	}
}

// takeAnnouncement returns the announcement of a stage and removes it from the run.
func (r *run) takeAnnouncement(i int) *announcement {
	a := r.announcements[i]
	r.announcements[i] = nil
	return a
}
