package entry

import (
	"sync/atomic"
	"time"

	"quinceroad/cmd/slots"
	"quinceroad/coordination/replicas"
	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/pb"
	"quinceroad/state/fleet"
	"quinceroad/state/table"
)

const (
	ownerTimeout = 150 * time.Millisecond // maximum time until the owner acknowledges a task
	ownerBackoff = time.Second            // how long an unresponsive owner is avoided
)

// localShareFactor is the multiple of its even share of slots that an entry's local
// scheduler may use. It is above 1 because clients are not distributed evenly over the
// entries.
const localShareFactor = 2

// slotClient acquires slots from the service's owner if the policy is permits, and from
// the entry's local scheduler otherwise or while the owner is unresponsive.
type slotClient struct {
	entry   *Entry
	local   *slots.Host
	nextID  atomic.Uint64
	pending *table.Table[uint64, chan slotAnswer]
	owners  *table.Table[string, *ownerStream]
	exact   atomic.Bool // the policy is permits (scheduler.Exact): owners grant the slots
}

// slotAnswer is a response to a submitted or announced task.
type slotAnswer struct {
	scheduler.Action
	queued       bool         // only an acknowledgement: the owner has queued the task
	disconnected bool         // the stream to the owner failed; the local scheduler has to decide
	owner        *ownerStream // nil if the local scheduler responded
}

// slot is a granted execution slot on a replica; release must be called exactly once.
type slot struct {
	replica string
	release func(took time.Duration, failed bool)
}

func newSlotClient(e *Entry) *slotClient {
	c := &slotClient{
		entry:   e,
		pending: table.New[uint64, chan slotAnswer](table.RankSessions),
		owners:  table.New[string, *ownerStream](table.RankSessions),
	}
	c.local = slots.New(localPolicy, c.deliverLocal)
	return c
}

// localPolicy returns the policy of the entry's local scheduler: the configured one, or
// the local policy as fallback for permits.
func localPolicy(f *fleet.Fleet) scheduler.Policy {
	if p := scheduler.Policy(f.Policy); p != scheduler.Exact {
		return p
	}
	return scheduler.Local
}

func (c *slotClient) start() { c.local.Start() }

func (c *slotClient) stop() { c.local.Stop() }

// configure applies the view's configuration and replicas to the local scheduler.
func (c *slotClient) configure(v *view) {
	if v.fleet == nil {
		return
	}
	c.exact.Store(scheduler.Policy(v.fleet.Policy) == scheduler.Exact)
	rs := make([]replicas.Replica, 0, len(v.replicas))
	for _, r := range v.replicas {
		rs = append(rs, r)
	}
	c.local.Configure(v.fleet, rs, localShareFactor/float64(v.liveCount))
}

// acquire waits for a slot of the service, a refusal or the deadline. announced is the
// announcement of the stage, nil if there is none.
func (c *slotClient) acquire(service string, task scheduler.Task, left time.Duration, announced *announcement) (*slot, scheduler.Action) {
	task.ID = c.nextID.Add(1)
	if announced != nil {
		task.ID = announced.id
	}
	if o := c.ownerOf(service); o != nil {
		if s, act, ok := c.acquireFromOwner(o, service, task, left); ok {
			return s, act
		}
		task.ID = c.nextID.Add(1)
	}
	return c.acquireLocal(service, task, left)
}

// ownerOf returns the stream to the service's owner, or nil if the local scheduler has
// to decide.
func (c *slotClient) ownerOf(service string) *ownerStream {
	if !c.exact.Load() {
		return nil
	}
	return c.ownerAt(c.entry.view.Load().slotOwners[service])
}

func (c *slotClient) acquireLocal(service string, task scheduler.Task, left time.Duration) (*slot, scheduler.Action) {
	ch := make(chan slotAnswer, 1)
	task.Deadline = c.local.Now() + left
	c.pending.Put(task.ID, ch)
	defer c.pending.Delete(task.ID)
	if known, _ := c.local.Submit(service, task); !known {
		return nil, scheduler.Action{Reason: scheduler.NoReplica}
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case ans := <-ch:
		return c.newSlot(service, ans)
	case <-t.C: // without load shedding nothing else ends the wait
		c.local.Cancel(service, task.ID, task.Holder)
		return nil, scheduler.Action{Reason: scheduler.TooLate}
	}
}

func (c *slotClient) newSlot(service string, ans slotAnswer) (*slot, scheduler.Action) {
	if !ans.Granted() {
		return nil, ans.Action
	}
	return &slot{replica: ans.Replica, release: func(took time.Duration, failed bool) {
		if ans.owner == nil {
			c.local.Release(service, ans.Permit, took, failed)
			return
		}
		ans.owner.send(doneFrame(service, ans.Permit, took, failed))
	}}, ans.Action
}

func doneFrame(service string, permit uint64, took time.Duration, failed bool) *pb.PermitFrame {
	return &pb.PermitFrame{Body: &pb.PermitFrame_Done{Done: &pb.Done{
		Service: service, Permit: permit, TookUs: convert.Micros(took), Failed: failed,
	}}}
}

func (c *slotClient) deliverLocal(_ string, a scheduler.Action) {
	if ch, ok := c.pending.Get(a.Task); ok {
		ch <- slotAnswer{Action: a}
	}
}

// acquireFromOwner requests a slot from the owner. The last result is false if the owner
// is unresponsive, disconnected or has no replicas, and the local scheduler has to
// decide.
func (c *slotClient) acquireFromOwner(o *ownerStream, service string, task scheduler.Task, left time.Duration) (*slot, scheduler.Action, bool) {
	ch := o.submit(buildAsk(service, &task, left), task.ID)
	timeout := time.NewTimer(min(ownerTimeout, left))
	defer timeout.Stop()
	deadline := time.NewTimer(left)
	defer deadline.Stop()
	for {
		select {
		case ans := <-ch:
			switch {
			case ans.disconnected, ans.Reason == scheduler.NoReplica:
				// An owner that has just started has not received the replicas yet.
				return nil, scheduler.Action{}, false
			case ans.queued:
				timeout.Stop()
				continue
			}
			s, act := c.newSlot(service, ans)
			return s, act, true
		case <-timeout.C:
			o.cancel(service, task.ID)
			o.markUnresponsive(service)
			return nil, scheduler.Action{}, false
		case <-deadline.C:
			o.cancel(service, task.ID)
			return nil, scheduler.Action{Reason: scheduler.TooLate}, true
		}
	}
}

func buildAsk(service string, task *scheduler.Task, left time.Duration) *pb.Ask {
	return &pb.Ask{
		Id: task.ID, Service: service, Customer: task.Customer, Weight: uint32(task.Weight), Class: uint32(task.Class),
		LeftUs: convert.Micros(left), RestUs: convert.Micros(task.Remaining), ExpectUs: convert.Micros(task.Expected), Avoid: task.Avoid,
	}
}
