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
	o.lose()
}

func (o *ownerStream) take(f *pb.PermitFrame) {
	switch b := f.GetBody().(type) {
	case *pb.PermitFrame_Queued:
		if ch, ok := o.waiting.Get(b.Queued.GetId()); ok {
			ch <- slotAnswer{queued: true}
		}
	case *pb.PermitFrame_Admit:
		if ch, ok := o.waiting.GetAndDelete(b.Admit.GetId()); ok {
			ch <- slotAnswer{from: o, Action: scheduler.Action{Task: b.Admit.GetId(), Admitted: true}}
		}
	case *pb.PermitFrame_Grant:
		ch, ok := o.waiting.GetAndDelete(b.Grant.GetId())
		if !ok { // given up meanwhile: the owner hears so from the cancel
			return
		}
		ch <- slotAnswer{from: o, Action: scheduler.Action{Task: b.Grant.GetId(), Permit: b.Grant.GetPermit(), Replica: b.Grant.GetReplica()}}
	case *pb.PermitFrame_Refuse:
		if ch, ok := o.waiting.GetAndDelete(b.Refuse.GetId()); ok {
			ch <- slotAnswer{from: o, Action: scheduler.Action{
				Reason: scheduler.Reason(b.Refuse.GetReason()), RetryAfter: convert.FromMicros(b.Refuse.GetRetryAfterUs()),
			}}
		}
	}
}

// ask sends an ask or announcement; its answers come on the channel.
func (o *ownerStream) ask(a *pb.Ask, id uint64) chan slotAnswer {
	ch := make(chan slotAnswer, 2) // a sign of arrival and the answer
	o.waiting.Put(id, ch)
	o.send(&pb.PermitFrame{Body: &pb.PermitFrame_Ask{Ask: a}})
	if o.gone.Load() { // it may have ended before the ask was noted
		o.lose()
	}
	return ch
}

// lose tells all that wait that the owner is gone.
func (o *ownerStream) lose() {
	for id, ch := range o.waiting.Rows() {
		o.waiting.Delete(id)
		select {
		case ch <- slotAnswer{lost: true}:
		default:
		}
	}
}

// giveUp takes an ask back; if it was granted meanwhile the owner frees the slot.
func (o *ownerStream) giveUp(service string, id uint64) {
	o.waiting.Delete(id)
	o.send(&pb.PermitFrame{Body: &pb.PermitFrame_Cancel{Cancel: &pb.Cancel{Id: id, Service: service}}})
}

func (o *ownerStream) silent(service string) {
	until := int64(o.client.entry.now() + ownerRest)
	if o.resting.Swap(until) < int64(o.client.entry.now()) {
		event.SlotOwnerUnreachable.Log(o.client.entry.log, "service", service, "owner", o.addr)
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
