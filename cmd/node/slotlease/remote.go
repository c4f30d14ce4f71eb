package slotlease

import (
	"context"
	"net"
	"time"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	// askTimeout is the timeout for a grantor to answer. It does so at once, but its machine may
	// be busy.
	askTimeout = 300 * time.Millisecond
	// deputyTimeout is askTimeout for a deputy, which may have to wait for the grantor.
	deputyTimeout = 2 * askTimeout
	// slowGrace is the time after an answer in which an instance that doesn't answer counts as
	// slow rather than lost. It is well below the time in which a loss becomes known.
	slowGrace = time.Second
)

// answer is the last reply to a request for a lease, and its stream.
type answer struct {
	stream net.Conn
	reply  *pb.SlotReply
	err    error
}

// acquireRemote asks another instance for a lease. It calls queued when that instance has no
// slot yet. A lease that arrives too late is lost to all until the grantor takes it for
// abandoned.
func (s *Service) acquireRemote(ctx context.Context, grantor *gossip.Instance, ask *pb.SlotAsk, timeout time.Duration, queued func()) (lease *Lease, wait time.Duration, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(timeout, cancel)
	defer timer.Stop()
	answers := make(chan answer, 1)
	go func() { // opening a link takes longer than the timeout where the peer is gone
		answers <- s.request(ctx, grantor.PeerAddress, ask, func() {
			s.recordAnswer(grantor.Name)
			timer.Reset(timeout + time.Duration(ask.MaxWaitUs)*time.Microsecond)
			queued()
		})
	}()
	select {
	case a := <-answers:
		if a.err == nil {
			s.recordAnswer(grantor.Name)
		}
		return a.lease()
	case <-ctx.Done():
		go s.closeLate(grantor.Name, answers)
		if s.hasAnsweredLately(grantor.Name) {
			return nil, 0, ErrSlow
		}
		return nil, 0, context.DeadlineExceeded
	}
}

func (s *Service) recordAnswer(grantor string) {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answeredAt[grantor] = now
}

func (s *Service) hasAnsweredLately(grantor string) bool {
	now := s.opts.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.answeredAt[grantor]
	return ok && now-at < slowGrace
}

// lease returns the lease that was granted, or the time after which to ask again.
func (a answer) lease() (lease *Lease, wait time.Duration, err error) {
	switch {
	case a.err != nil:
		return nil, 0, a.err
	case a.reply.Granted:
		return remoteLease(a.stream), 0, nil
	}
	_ = a.stream.Close()
	if a.reply.Elsewhere {
		return nil, 0, ErrElsewhere
	}
	return nil, max(time.Duration(a.reply.WaitUs)*time.Microsecond, 0), nil
}

// closeLate closes the stream of an answer that nobody waits for any more.
func (s *Service) closeLate(grantor string, answers <-chan answer) {
	if a := <-answers; a.err == nil {
		s.recordAnswer(grantor)
		_ = a.stream.Close()
	}
}

// request opens the stream of a lease and reads the replies until the last one.
func (s *Service) request(ctx context.Context, address string, ask *pb.SlotAsk, queued func()) answer {
	stream, err := s.opts.Peers.Open(address, frame.SlotLease, ask)
	if err != nil {
		return answer{err: err}
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reply := &pb.SlotReply{}
	err = frame.Read(stream, reply)
	if err == nil && reply.Queued {
		queued()
		reply = &pb.SlotReply{}
		err = frame.Read(stream, reply)
	}
	if !stop() && err == nil {
		err = ctx.Err()
	}
	if err != nil {
		_ = stream.Close()
		return answer{err: err}
	}
	return answer{stream: stream, reply: reply}
}

// remoteLease returns the lease whose stream the grantor keeps open.
func remoteLease(stream net.Conn) *Lease {
	return newLease(func(how advisory.LeaseEnd) {
		// If the message is lost, the grantor takes the request for abandoned.
		_ = frame.Write(stream, frame.SlotLease, encodeEnd(how))
		_ = stream.Close()
	})
}
