package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quinceroad/cmd/slots"
	"quinceroad/coordination/replicas"
	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/fleet"
	"quinceroad/state/table"
)

const (
	ownerPatience = 150 * time.Millisecond // for any sign that an ask arrived
	ownerRest     = time.Second            // how long a silent owner is left alone
)

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
	return scheduler.TwoChoices
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
	c.local.Configure(v.fleet, rs)
}

// acquire waits for a slot of the service, a refusal, or until cancel.
func (c *slotClient) acquire(service string, a scheduler.Ask, left time.Duration) (*slot, scheduler.Action) {
	if c.exact.Load() {
		v := c.entry.view.Load()
		if s, act, ok := c.fromOwner(v.owners[service], service, a, left); ok {
			return s, act
		}
	}
	return c.fromLocal(service, a, left)
}

func (c *slotClient) fromLocal(service string, a scheduler.Ask, left time.Duration) (*slot, scheduler.Action) {
	ch := make(chan slotAnswer, 1)
	a.ID = c.nextID.Add(1)
	a.Deadline = c.local.Now() + left
	c.waiting.Put(a.ID, ch)
	defer c.waiting.Delete(a.ID)
	if known, _ := c.local.Ask(service, a); !known {
		return nil, scheduler.Action{Reason: scheduler.NoReplica}
	}
	t := time.NewTimer(left)
	defer t.Stop()
	select {
	case ans := <-ch:
		return c.granted(service, ans)
	case <-t.C: // without shedding nothing else ends the wait
		c.local.Cancel(service, a.ID, a.Holder)
		return nil, scheduler.Action{Reason: scheduler.Doomed}
	}
}

func (c *slotClient) granted(service string, ans slotAnswer) (*slot, scheduler.Action) {
	if !ans.Granted() {
		return nil, ans.Action
	}
	return &slot{replica: ans.Replica, done: func(took time.Duration, failed bool) {
		if ans.from == nil {
			c.local.Done(service, ans.Permit, took, failed)
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
	if ch, ok := c.waiting.Get(a.Ask); ok {
		ch <- slotAnswer{Action: a}
	}
}

// fromOwner asks the owner; ok is false when it is silent or gone, and the
// local scheduler has to decide.
func (c *slotClient) fromOwner(addr, service string, a scheduler.Ask, left time.Duration) (*slot, scheduler.Action, bool) {
	o := c.owner(addr)
	if o == nil {
		return nil, scheduler.Action{}, false
	}
	ch := make(chan slotAnswer, 2) // a sign of arrival and the answer
	a.ID = c.nextID.Add(1)
	o.waiting.Put(a.ID, ch)
	o.send(askFrame(service, &a, left))
	patience := time.NewTimer(min(ownerPatience, left))
	defer patience.Stop()
	end := time.NewTimer(left)
	defer end.Stop()
	for {
		select {
		case ans := <-ch:
			switch {
			case ans.lost:
				return nil, scheduler.Action{}, false
			case ans.queued:
				patience.Stop()
				continue
			}
			s, act := c.granted(service, ans)
			return s, act, true
		case <-patience.C:
			o.giveUp(service, a.ID)
			o.silent(service, addr)
			return nil, scheduler.Action{}, false
		case <-end.C:
			o.giveUp(service, a.ID)
			return nil, scheduler.Action{Reason: scheduler.Doomed}, true
		}
	}
}

func askFrame(service string, a *scheduler.Ask, left time.Duration) *pb.PermitFrame {
	return &pb.PermitFrame{Body: &pb.PermitFrame_Ask{Ask: &pb.Ask{
		Id: a.ID, Service: service, Customer: a.Customer, Weight: uint32(a.Weight), Class: uint32(a.Class),
		LeftUs: convert.Micros(left), RestUs: convert.Micros(a.Rest), ExpectUs: convert.Micros(a.Expect), Avoid: a.Avoid,
	}}}
}

// ownerStream is the permit stream to one owner.
type ownerStream struct {
	client  *slotClient
	addr    string
	mu      sync.Mutex // keeps frames whole
	s       net.Conn
	waiting *table.Table[uint64, chan slotAnswer]
	resting atomic.Int64 // until when, in nanoseconds of the entry's clock
	gone    atomic.Bool
}

// owner returns the stream to the owner at addr, or nil while it rests.
func (c *slotClient) owner(addr string) *ownerStream {
	if addr == "" {
		return nil
	}
	o := c.owners.GetOrPut(addr, func() *ownerStream { return c.dial(addr) })
	if o.resting.Load() > int64(c.entry.now()) {
		return nil
	}
	if o.gone.Load() {
		c.owners.Delete(addr)
		return nil
	}
	return o
}

// dial opens a stream; one that failed rests a while, so that not every
// request tries again.
func (c *slotClient) dial(addr string) *ownerStream {
	o := &ownerStream{client: c, addr: addr, waiting: table.New[uint64, chan slotAnswer](table.RankSessions)}
	s, err := c.entry.links.Open(addr, frame.Permits, &pb.PermitFrame{})
	if err != nil {
		o.gone.Store(true)
		o.resting.Store(int64(c.entry.now() + ownerRest))
		return o
	}
	o.s = s
	go o.read()
	return o
}

func (o *ownerStream) read() {
	for {
		var f pb.PermitFrame
		if frame.Read(o.s, &f) != nil {
			break
		}
		o.take(&f)
	}
	o.gone.Store(true)
	_ = o.s.Close()
	for id, ch := range o.waiting.Rows() {
		o.waiting.Delete(id)
		select {
		case ch <- slotAnswer{lost: true}:
		default:
		}
	}
}

func (o *ownerStream) take(f *pb.PermitFrame) {
	switch b := f.GetBody().(type) {
	case *pb.PermitFrame_Queued:
		if ch, ok := o.waiting.Get(b.Queued.GetId()); ok {
			ch <- slotAnswer{queued: true}
		}
	case *pb.PermitFrame_Grant:
		ch, ok := o.waiting.Take(b.Grant.GetId())
		if !ok { // given up meanwhile: the owner hears so from the cancel
			return
		}
		ch <- slotAnswer{from: o, Action: scheduler.Action{Ask: b.Grant.GetId(), Permit: b.Grant.GetPermit(), Replica: b.Grant.GetReplica()}}
	case *pb.PermitFrame_Refuse:
		if ch, ok := o.waiting.Take(b.Refuse.GetId()); ok {
			ch <- slotAnswer{from: o, Action: scheduler.Action{
				Reason: scheduler.Reason(b.Refuse.GetReason()), RetryAfter: convert.FromMicros(b.Refuse.GetRetryAfterUs()),
			}}
		}
	}
}

// giveUp takes an ask back; if it was granted meanwhile the owner frees the slot.
func (o *ownerStream) giveUp(service string, id uint64) {
	o.waiting.Delete(id)
	o.send(&pb.PermitFrame{Body: &pb.PermitFrame_Cancel{Cancel: &pb.Cancel{Id: id, Service: service}}})
}

func (o *ownerStream) silent(service, addr string) {
	until := int64(o.client.entry.now() + ownerRest)
	if o.resting.Swap(until) < int64(o.client.entry.now()) {
		event.OwnerLost.Log(o.client.entry.log, "service", service, "owner", addr)
	}
}

func (o *ownerStream) send(f *pb.PermitFrame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.gone.Load() {
		return
	}
	_ = o.s.SetWriteDeadline(time.Now().Add(ownerPatience))
	if frame.Write(o.s, frame.Permits, f) != nil {
		_ = o.s.Close()
	}
}
