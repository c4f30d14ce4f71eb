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

// slotOwner schedules the slots of the services that this coord owns and keeps the
// streams of the entries that request them. It is soft state: while two coords both
// act as owner, the only effect is that the replicas get a little more load.
type slotOwner struct {
	coord       *Coord
	holders     *table.Table[string, *holder]
	streamCount atomic.Int64 // number of streams served, which distinguishes two streams of one address
}

// holder is the stream of one entry, which holds permits.
type holder struct {
	mu     sync.Mutex // held for the write of one frame
	stream net.Conn
}

func newSlotOwner(c *Coord) *slotOwner {
	o := &slotOwner{coord: c, holders: table.New[string, *holder](table.RankSessions)}
	exact := func(f *fleet.Fleet) scheduler.Policy { return scheduler.Exact }
	c.slots = slots.New(exact, o.deliver)
	return o
}

// configure passes the configuration in force and the replicas to the schedulers.
func (o *slotOwner) configure() {
	if _, f := o.coord.config(); f != nil {
		o.coord.slots.Configure(f, o.coord.allReplicas(), 1)
	}
}

// serve handles one entry's stream until it ends, and then releases its permits.
func (o *slotOwner) serve(s net.Conn) {
	h := &holder{stream: s}
	name := fmt.Sprintf("%s/%d", s.RemoteAddr(), o.streamCount.Add(1))
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
		o.handleFrame(name, h, &f)
	}
}

func (o *slotOwner) handleFrame(name string, h *holder, f *pb.PermitFrame) {
	switch b := f.GetBody().(type) {
	case *pb.PermitFrame_Ask:
		task := o.newTask(name, b.Ask)
		if b.Ask.GetAnnounce() {
			if !o.coord.slots.Announce(b.Ask.GetService(), task, convert.FromMicros(b.Ask.GetReadyUs())) {
				o.deliver(b.Ask.GetService(), scheduler.Action{Task: task.ID, Holder: name, Reason: scheduler.NoReplica})
			}
			return
		}
		known, answered := o.coord.slots.Submit(b.Ask.GetService(), task)
		switch {
		case !known:
			o.deliver(b.Ask.GetService(), scheduler.Action{Task: task.ID, Holder: name, Reason: scheduler.NoReplica})
		case !answered:
			h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Queued{Queued: &pb.Queued{Id: task.ID}}})
		}
	case *pb.PermitFrame_Done:
		d := b.Done
		o.coord.slots.Release(d.GetService(), d.GetPermit(), convert.FromMicros(d.GetTookUs()), d.GetFailed())
	case *pb.PermitFrame_Cancel:
		o.coord.slots.Cancel(b.Cancel.GetService(), b.Cancel.GetId(), name)
	}
}

func (o *slotOwner) newTask(name string, a *pb.Ask) scheduler.Task {
	return scheduler.Task{
		ID: a.GetId(), Holder: name, Customer: a.GetCustomer(), Weight: int(a.GetWeight()),
		Class:     fleet.Class(a.GetClass()),
		Deadline:  o.coord.slots.Now() + convert.FromMicros(a.GetLeftUs()),
		Remaining: convert.FromMicros(a.GetRestUs()),
		Expected:  convert.FromMicros(a.GetExpectUs()),
		Avoid:     a.GetAvoid(),
	}
}

// deliver sends a grant, refusal or admission to its holder.
func (o *slotOwner) deliver(service string, a scheduler.Action) {
	h, ok := o.holders.Get(a.Holder)
	if !ok {
		return
	}
	if a.Admitted {
		h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Admit{Admit: &pb.Admit{Id: a.Task}}})
		return
	}
	if a.Granted() {
		o.coord.counters.slotGrants.Inc(1)
		h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Grant{
			Grant: &pb.Grant{Id: a.Task, Permit: a.Permit, Replica: a.Replica},
		}})
		return
	}
	o.coord.counters.slotRefusals.Inc(1)
	h.send(&pb.PermitFrame{Body: &pb.PermitFrame_Refuse{
		Refuse: &pb.Refuse{Id: a.Task, Reason: string(a.Reason), RetryAfterUs: convert.Micros(a.RetryAfter)},
	}})
}

const sendTimeout = 500 * time.Millisecond

// send writes a frame. If the write fails, the stream is closed, which releases the holder's permits.
func (h *holder) send(f *pb.PermitFrame) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.stream.SetWriteDeadline(time.Now().Add(sendTimeout))
	if frame.Write(h.stream, frame.Permits, f) != nil {
		_ = h.stream.Close()
	}
}
