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
	ownerPatience = 150 * time.Millisecond // for any sign that an ask arrived
	ownerRest     = time.Second            // how long a silent owner is left alone
)

// overShare is how much more than its even share of slots an entry's own
// scheduler fills: callers are not spread evenly over the entries.
const overShare = 2

// slotClient gets slots: from the service's owner when the policy is permits,
// from the entry's own scheduler otherwise and while the owner is silent.
type slotClient struct {
	entry   *Entry
	local   *slots.Host
	nextID  atomic.Uint64
	waiting *table.Table[uint64, chan slotAnswer]
	owners  *table.Table[string, *ownerStream]
	exact   atomic.Bool
}

// slotAnswer is what came back for an ask.
type slotAnswer struct {
	scheduler.Action
	queued bool         // only a sign that the owner has the ask
	lost   bool         // the owner is gone: ask elsewhere
	from   *ownerStream // nil when the answer is the local scheduler's
}

// slot is a granted place on a replica; done must be called once.
type slot struct {
	replica string
	done    func(took time.Duration, failed bool)
}

func newSlotClient(e *Entry) *slotClient {
	c := &slotClient{
		entry:   e,
		waiting: table.New[uint64, chan slotAnswer](table.RankSessions),
		owners:  table.New[string, *ownerStream](table.RankSessions),
	}
	c.local = slots.New(localPolicy, c.deliverLocal)
	return c
}

// localPolicy is the policy of the entry's own scheduler: that of the
// declaration, or the fallback of permits.
func localPolicy(f *fleet.Fleet) scheduler.Policy {
	if p := scheduler.Policy(f.Policy); p != scheduler.Exact {
		return p
	}
	return scheduler.Local
}

func (c *slotClient) start() { c.local.Start() }

func (c *slotClient) stop() { c.local.Stop() }

func (c *slotClient) configure(v *view) {
	if v.fleet == nil {
		return
	}
	c.exact.Store(scheduler.Policy(v.fleet.Policy) == scheduler.Exact)
	rs := make([]replicas.Replica, 0, len(v.replicas))
	for _, r := range v.replicas {
		rs = append(rs, r)
	}
	c.local.Configure(v.fleet, rs, overShare/float64(v.live))
}

// acquire waits for a slot of the service, a refusal, or the deadline. b is the
// booking of the stage, nil without one.
func (c *slotClient) acquire(service string, a scheduler.Task, left time.Duration, b *booking) (*slot, scheduler.Action) {
	a.ID = c.nextID.Add(1)
	if b != nil {
		a.ID = b.id
	}
	if o := c.ownerOf(service); o != nil {
		if s, act, ok := c.fromOwner(o, service, a, left); ok {
			return s, act
		}
		a.ID = c.nextID.Add(1)
	}
	return c.fromLocal(service, a, left)
}

// ownerOf returns the stream to the service's owner, or nil when the local
// scheduler has to decide.
func (c *slotClient) ownerOf(service string) *ownerStream {
	if !c.exact.Load() {
		return nil
	}
	return c.owner(c.entry.view.Load().owners[service])
}

func (c *slotClient) fromLocal(service string, a scheduler.Task, left time.Duration) (*slot, scheduler.Action) {
	ch := make(chan slotAnswer, 1)
	a.Deadline = c.local.Now() + left
	c.waiting.Put(a.ID, ch)
	defer c.waiting.Delete(a.ID)
	if known, _ := c.local.Submit(service, a); !known {
		return nil, scheduler.Action{Reason: scheduler.NoReplica}
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case ans := <-ch:
		return c.granted(service, ans)
	case <-t.C: // without shedding nothing else ends the wait
		c.local.Cancel(service, a.ID, a.Holder)
		return nil, scheduler.Action{Reason: scheduler.TooLate}
	}
}

func (c *slotClient) granted(service string, ans slotAnswer) (*slot, scheduler.Action) {
	if !ans.Granted() {
		return nil, ans.Action
	}
	return &slot{replica: ans.Replica, done: func(took time.Duration, failed bool) {
		if ans.from == nil {
			c.local.Release(service, ans.Permit, took, failed)
			return
		}
		ans.from.send(doneFrame(service, ans.Permit, took, failed))
	}}, ans.Action
}

func doneFrame(service string, permit uint64, took time.Duration, failed bool) *pb.PermitFrame {
	return &pb.PermitFrame{Body: &pb.PermitFrame_Done{Done: &pb.Done{
		Service: service, Permit: permit, TookUs: convert.Micros(took), Failed: failed,
	}}}
}

func (c *slotClient) deliverLocal(_ string, a scheduler.Action) {
	if ch, ok := c.waiting.Get(a.Task); ok {
		ch <- slotAnswer{Action: a}
	}
}

// fromOwner asks the owner; ok is false when it is silent or gone, and the
// local scheduler has to decide.
func (c *slotClient) fromOwner(o *ownerStream, service string, a scheduler.Task, left time.Duration) (*slot, scheduler.Action, bool) {
	ch := o.ask(askFrame(service, &a, left), a.ID)
	patience := time.NewTimer(min(ownerPatience, left))
	defer patience.Stop()
	end := time.NewTimer(left)
	defer end.Stop()
	for {
		select {
		case ans := <-ch:
			switch {
			case ans.lost, ans.Reason == scheduler.NoReplica:
				// An owner that has just started knows no replica yet.
				return nil, scheduler.Action{}, false
			case ans.queued:
				patience.Stop()
				continue
			}
			s, act := c.granted(service, ans)
			return s, act, true
		case <-patience.C:
			o.giveUp(service, a.ID)
			o.silent(service)
			return nil, scheduler.Action{}, false
		case <-end.C:
			o.giveUp(service, a.ID)
			return nil, scheduler.Action{Reason: scheduler.TooLate}, true
		}
	}
}

func askFrame(service string, a *scheduler.Task, left time.Duration) *pb.Ask {
	return &pb.Ask{
		Id: a.ID, Service: service, Customer: a.Customer, Weight: uint32(a.Weight), Class: uint32(a.Class),
		LeftUs: convert.Micros(left), RestUs: convert.Micros(a.Remaining), ExpectUs: convert.Micros(a.Expected), Avoid: a.Avoid,
	}
}
