package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"quinceroad/coordination/scheduler"
	"quinceroad/protocol/convert"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/table"
)

// ownerStream is the permit stream to one owner of slots. Requests are multiplexed on it
// by task ID.
type ownerStream struct {
	client       *slotClient
	addr         string
	mu           sync.Mutex // serializes writes of frames
	conn         net.Conn
	pending      *table.Table[uint64, chan slotAnswer]
	backoffUntil atomic.Int64 // nanoseconds on the entry's clock
	closed       atomic.Bool
}

// ownerAt returns the stream to the owner at addr, or nil while the owner is in backoff
// or its stream has failed.
func (c *slotClient) ownerAt(addr string) *ownerStream {
	if addr == "" {
		return nil
	}
	o := c.owners.GetOrPut(addr, func() *ownerStream { return c.dial(addr) })
	if o.backoffUntil.Load() > int64(c.entry.now()) {
		return nil
	}
	if o.closed.Load() {
		c.owners.Delete(addr)
		return nil
	}
	return o
}

// dial opens a stream. If that fails, the owner is put into backoff, so that not every
// request dials again.
func (c *slotClient) dial(addr string) *ownerStream {
	o := &ownerStream{client: c, addr: addr, pending: table.New[uint64, chan slotAnswer](table.RankSessions)}
	s, err := c.entry.links.Open(addr, frame.Permits, &pb.PermitFrame{})
	if err != nil {
		o.closed.Store(true)
		o.backoffUntil.Store(int64(c.entry.now() + ownerBackoff))
		return o
	}
	o.conn = s
	go o.readLoop()
	return o
}

func (o *ownerStream) readLoop() {
	for {
		var f pb.PermitFrame
		if frame.Read(o.conn, &f) != nil {
			break
		}
		o.handle(&f)
	}
	o.closed.Store(true)
	_ = o.conn.Close()
	o.failPending()
}

func (o *ownerStream) handle(f *pb.PermitFrame) {
	switch b := f.GetBody().(type) {
	case *pb.PermitFrame_Queued:
		if ch, ok := o.pending.Get(b.Queued.GetId()); ok {
			ch <- slotAnswer{queued: true}
		}
	case *pb.PermitFrame_Admit:
		if ch, ok := o.pending.GetAndDelete(b.Admit.GetId()); ok {
			ch <- slotAnswer{owner: o, Action: scheduler.Action{Task: b.Admit.GetId(), Admitted: true}}
		}
	case *pb.PermitFrame_Grant:
		ch, ok := o.pending.GetAndDelete(b.Grant.GetId())
		if !ok { // cancelled meanwhile: the cancel message makes the owner free the slot
			return
		}
		ch <- slotAnswer{owner: o, Action: scheduler.Action{Task: b.Grant.GetId(), Permit: b.Grant.GetPermit(), Replica: b.Grant.GetReplica()}}
	case *pb.PermitFrame_Refuse:
		if ch, ok := o.pending.GetAndDelete(b.Refuse.GetId()); ok {
			ch <- slotAnswer{owner: o, Action: scheduler.Action{
				Reason: scheduler.Reason(b.Refuse.GetReason()), RetryAfter: convert.FromMicros(b.Refuse.GetRetryAfterUs()),
			}}
		}
	}
}

// submit sends a task or its announcement to the owner. Responses are delivered on the
// returned channel.
func (o *ownerStream) submit(a *pb.Ask, id uint64) chan slotAnswer {
	ch := make(chan slotAnswer, 2) // the acknowledgement and the decision
	o.pending.Put(id, ch)
	o.send(&pb.PermitFrame{Body: &pb.PermitFrame_Ask{Ask: a}})
	if o.closed.Load() { // the stream may have failed before the task was in pending
		o.failPending()
	}
	return ch
}

// failPending notifies all pending tasks that the stream has failed.
func (o *ownerStream) failPending() {
	for id, ch := range o.pending.Rows() {
		o.pending.Delete(id)
		select {
		case ch <- slotAnswer{disconnected: true}:
		default:
		}
	}
}

// cancel withdraws a task. If it was granted meanwhile, the owner frees the slot.
func (o *ownerStream) cancel(service string, id uint64) {
	o.pending.Delete(id)
	o.send(&pb.PermitFrame{Body: &pb.PermitFrame_Cancel{Cancel: &pb.Cancel{Id: id, Service: service}}})
}

// markUnresponsive puts the owner into backoff. It logs only the first of consecutive
// timeouts.
func (o *ownerStream) markUnresponsive(service string) {
	until := int64(o.client.entry.now() + ownerBackoff)
	if o.backoffUntil.Swap(until) < int64(o.client.entry.now()) {
		event.SlotOwnerUnreachable.Log(o.client.entry.log, "service", service, "owner", o.addr)
	}
}

func (o *ownerStream) send(f *pb.PermitFrame) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed.Load() {
		return
	}
	_ = o.conn.SetWriteDeadline(time.Now().Add(ownerTimeout))
	if frame.Write(o.conn, frame.Permits, f) != nil {
		_ = o.conn.Close()
	}
}
