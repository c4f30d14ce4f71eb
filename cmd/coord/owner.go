package coord

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quinceroad/cmd/slots"
	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/fleet"
	"quinceroad/state/table"
)

// owner holds the slots of the services this coord owns, and the streams of
// the entries that ask for them. It is soft state: two owners for a moment
// only fill the replicas a little more.
type owner struct {
	coord   *Coord
	holders *table.Table[string, *holder]
	streams atomic.Int64 // served so far: tells two streams of one address apart
}

// holder is one entry's stream.
type holder struct {
	mu sync.Mutex // keeps frames whole
	s  net.Conn
}

func newOwner(c *Coord) *owner {
	o := &owner{coord: c, holders: table.New[string, *holder](table.RankSessions)}
	exact := func(f *fleet.Fleet) scheduler.Policy { return scheduler.Exact }
	c.slots = slots.New(exact, o.deliver)
	return o
}

// configure gives the schedulers what is in force and who is there.
func (o *owner) configure() {
	if _, f := o.coord.config(); f != nil {
		o.coord.slots.Configure(f, o.coord.allReplicas(), 1)
	}
}

// serve handles one entry's stream until it ends; then its permits end too.
func (o *owner) serve(s net.Conn) {
	h := &holder{s: s}
	name := fmt.Sprintf("%s/%d", s.RemoteAddr(), o.streams.Add(1))
	o.holders.Put(name, h)
	defer func() {
		o.holders.Delete(name)
		o.coord.slots.DropHolder(name)
	}()
	for {
		var f pb.PermitFrame
		if frame.Read(s, &f) != nil {
			return
		}
		o.take(name, h, &f)
	}
}

func (o *owner) take(name string, h *holder, f *pb.PermitFrame) {
	switch b := f.GetBody().(type) {
	case *pb.PermitFrame_Ask:
		ask := o.ask(name, b.Ask)
		if b.Ask.GetAnnounce() {
			if !o.coord.slots.Announce(b.Ask.GetService(), ask, convert.FromMicros(b.Ask.GetReadyUs())) {
				o.deliver(b.Ask.GetService(), scheduler.Action{Task: ask.ID, Holder: name, Reason: scheduler.NoReplica})
			}
			return
		}
		known, answered := o.coord.slots.Submit(b.Ask.GetService(), ask)
		switch {
		case !known:
			o.deliver(b.Ask.GetService(), scheduler.Action{Task: ask.ID, Holder: name, Reason: scheduler.NoReplica})
		case !answered:
			h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Queued{Queued: &pb.Queued{Id: ask.ID}}})
		}
	case *pb.PermitFrame_Done:
		d := b.Done
		o.coord.slots.Release(d.GetService(), d.GetPermit(), convert.FromMicros(d.GetTookUs()), d.GetFailed())
	case *pb.PermitFrame_Cancel:
		o.coord.slots.Cancel(b.Cancel.GetService(), b.Cancel.GetId(), name)
	}
}

func (o *owner) ask(name string, a *pb.Ask) scheduler.Task {
	return scheduler.Task{
		ID: a.GetId(), Holder: name, Customer: a.GetCustomer(), Weight: int(a.GetWeight()),
		Class:     fleet.Class(a.GetClass()),
		Deadline:  o.coord.slots.Now() + convert.FromMicros(a.GetLeftUs()),
		Remaining: convert.FromMicros(a.GetRestUs()),
		Expected:  convert.FromMicros(a.GetExpectUs()),
		Avoid:     a.GetAvoid(),
	}
}

// deliver sends a grant or refusal to its holder.
func (o *owner) deliver(service string, a scheduler.Action) {
	h, ok := o.holders.Get(a.Holder)
	if !ok {
		return
	}
	if a.Admitted {
		h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Admit{Admit: &pb.Admit{Id: a.Task}}})
		return
	}
	if a.Granted() {
		o.coord.count.grants.Inc(1)
		h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Grant{
			Grant: &pb.Grant{Id: a.Task, Permit: a.Permit, Replica: a.Replica},
		}})
		return
	}
	o.coord.count.refusals.Inc(1)
	h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Refuse{
		Refuse: &pb.Refuse{Id: a.Task, Reason: string(a.Reason), RetryAfterUs: convert.Micros(a.RetryAfter)},
	}})
}

const sendTimeout = 500 * time.Millisecond

// send writes a frame; a holder that can't take it is closed, which ends its permits.
func (h *holder) send(f *pb.PermitFrame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.s.SetWriteDeadline(time.Now().Add(sendTimeout))
	if frame.Write(h.s, frame.Permits, f) != nil {
		_ = h.s.Close()
	}
}
