package slotlease

import (
	"context"
	"net"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/pace"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	// maxHold bounds the times that a peer may ask for.
	maxHold = 10 * time.Minute
	// endMargin is the time beyond a lease in which its sender may still tell how the request
	// has ended.
	endMargin = time.Second
	// maxIncarnationLength bounds an incarnation's ID in a peer's message, in bytes.
	maxIncarnationLength = 256
)

// Serve answers a peer's request for a lease, and waits for the end of one that is granted.
func (s *Service) Serve(first []byte, stream net.Conn) {
	send := func(reply *pb.SlotReply) error { return frame.Write(stream, frame.Reply, reply) }
	ask, isForwarded, ok := s.decodeAsk(first, stream)
	if !ok {
		_ = send(&pb.SlotReply{Elsewhere: true}) // if sending fails, the peer sees the stream end
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan advisory.LeaseEnd, 1)
	go func() { // also ends when the peer gives the request up
		ended <- awaitEnd(stream, ask.MaxWait+ask.Hold)
		cancel()
	}()
	lease, reply := s.answer(ctx, ask, isForwarded, func() { _ = send(&pb.SlotReply{Queued: true}) })
	if err := send(reply); err != nil {
		lease.End(advisory.LeaseAbandoned)
		return
	}
	if reply.Granted {
		lease.End(<-ended)
	}
}

// answer issues a lease if this instance is the replica's grantor. Its deputy asks the grantor
// in place of a peer that doesn't reach it.
func (s *Service) answer(ctx context.Context, ask advisory.SlotAsk, isForwarded bool, queued func()) (*Lease, *pb.SlotReply) {
	grantors := s.opts.Grantors(ask.Incarnation)
	rank := slices.IndexFunc(grantors, func(i gossip.Instance) bool { return i.Name == s.opts.Name })
	if rank < 0 || rank > 0 && isForwarded {
		return nil, &pb.SlotReply{Elsewhere: true}
	}
	if rank == 0 {
		lease, wait := s.issue(ctx, ask, queued)
		return lease, &pb.SlotReply{Granted: lease != nil, WaitUs: wait.Microseconds()}
	}
	s.forwarded.Inc(1)
	lease, wait, err := s.acquireRemote(ctx, &grantors[0], encodeAsk(ask, true), askTimeout, queued)
	if err != nil {
		event.NodeSideCallFailed.Log(s.opts.Log, "what", "slot lease for a peer", "to", grantors[0].Name, "error", err)
		return nil, &pb.SlotReply{Elsewhere: true}
	}
	return lease, &pb.SlotReply{Granted: lease != nil, WaitUs: wait.Microseconds()}
}

// awaitEnd waits until the sender tells how its request has ended. If the stream ends before,
// the replica may still work on the request.
func awaitEnd(stream net.Conn, within time.Duration) advisory.LeaseEnd {
	if stream.SetReadDeadline(time.Now().Add(within+endMargin)) != nil {
		return advisory.LeaseAbandoned
	}
	end := &pb.SlotEnd{}
	switch err := frame.Read(stream, end); {
	case err != nil || end.Abandoned:
		return advisory.LeaseAbandoned
	case end.Refused:
		return advisory.LeaseRefused
	case end.Unused:
		return advisory.LeaseUnused
	}
	return advisory.LeaseCompleted
}

// decodeAsk returns a peer's request for a lease, or false if it is invalid.
func (s *Service) decodeAsk(first []byte, stream net.Conn) (ask advisory.SlotAsk, isForwarded, ok bool) {
	m := &pb.SlotAsk{}
	if err := proto.Unmarshal(first, m); err != nil {
		event.NodeMessageInvalid.Log(s.opts.Log, "what", "request for a slot lease", "from", stream.RemoteAddr().String(), "error", err)
		return advisory.SlotAsk{}, false, false
	}
	if m.Replica == "" || len(m.Replica) > maxIncarnationLength || !pace.IsValidRate(m.Tolerated) {
		event.NodeMessageInvalid.Log(s.opts.Log, "what", "request for a slot lease", "from", stream.RemoteAddr().String(), "error", "a field is out of range")
		return advisory.SlotAsk{}, false, false
	}
	ask = advisory.SlotAsk{Incarnation: m.Replica, Tolerated: m.Tolerated, Slots: int(m.Slots), Hold: decodeTime(m.HoldUs), MaxWait: decodeTime(m.MaxWaitUs)}
	return ask, m.Forwarded, true
}

// decodeTime returns a time that a peer states in microseconds, within bounds.
func decodeTime(micros int64) time.Duration {
	return time.Duration(min(max(micros, 0), maxHold.Microseconds())) * time.Microsecond
}

func encodeAsk(ask advisory.SlotAsk, isForwarded bool) *pb.SlotAsk {
	return &pb.SlotAsk{Replica: ask.Incarnation, Tolerated: ask.Tolerated, Slots: uint32(ask.Slots), HoldUs: ask.Hold.Microseconds(), MaxWaitUs: ask.MaxWait.Microseconds(), Forwarded: isForwarded}
}

func encodeEnd(how advisory.LeaseEnd) *pb.SlotEnd {
	return &pb.SlotEnd{Refused: how == advisory.LeaseRefused, Abandoned: how == advisory.LeaseAbandoned, Unused: how == advisory.LeaseUnused}
}
