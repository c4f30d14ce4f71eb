package node

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/quarantine"
	"quinceroad/coordination/rendezvous"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// A suspect is tried at one place at a time over all instances: one of them,
// by rendezvous over those heard of, is the arbiter of a fingerprint and gives
// the turns. Two arbiters for a moment cost one more replica, no promise.

const (
	trialWait    = time.Second // that a request waits for its turn: an answer's usual time, and callers wait longer
	mostArbiters = 2           // asked for one turn
)

var errNoTurn = errors.New("the request is being tried elsewhere, as replicas have ended under it")

// trial is a suspect's turn; end gives it back and tells what it has shown.
type trial struct{ end func() }

// turn waits for the turn of a suspect.
func (n *Node) turn(ctx context.Context, f quarantine.Fingerprint) (*trial, error) {
	ctx, cancel := context.WithTimeout(ctx, trialWait)
	defer cancel()
	err := errNoTurn
	asked := 0
	for _, arbiter := range n.arbiters(f) {
		if asked == mostArbiters || ctx.Err() != nil {
			break
		}
		if n.level.lacksTrialLeases(arbiter) {
			continue
		}
		var t *trial
		if t, err = n.askTurn(ctx, arbiter, f); err == nil {
			return t, nil
		}
		if errors.Is(err, io.EOF) || errors.Is(err, frame.ErrUnknownKind) { // its build ends what it does not know
			n.level.recordNoTrialLeases(arbiter)
			continue
		}
		asked++
		if errors.Is(err, errNoTurn) {
			return nil, err
		}
		event.NodeSideCallFailed.Log(n.log, "what", "turn of a suspect", "to", arbiter.Name, "error", err)
	}
	return nil, errors.Join(errNoTurn, err)
}

// arbiters returns the instances that are heard of, the arbiter of a
// fingerprint first and then who follows it.
func (n *Node) arbiters(f quarantine.Fingerprint) []gossip.Instance {
	key := strconv.FormatUint(uint64(f), 16)
	all := n.liveInstances()
	weights := make(map[string]uint64, len(all))
	for _, i := range all {
		weights[i.Name] = rendezvous.Weight(key, i.Name)
	}
	slices.SortFunc(all, func(a, b gossip.Instance) int {
		if weights[a.Name] > weights[b.Name] {
			return -1
		}
		return 1
	})
	return all
}

// askTurn asks an arbiter and waits until it gives the turn.
func (n *Node) askTurn(ctx context.Context, arbiter gossip.Instance, f quarantine.Fingerprint) (*trial, error) {
	ask := &pb.TrialAsk{Known: n.knownOf(f)}
	stream, err := n.openTrial(arbiter, ask)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reply := &pb.TrialReply{}
	err = frame.Read(stream, reply)
	if !stop() || err != nil {
		_ = stream.Close()
		if ctx.Err() != nil {
			return nil, errNoTurn
		}
		return nil, err
	}
	n.takeQuarantine([]*pb.QuarantineCase{reply.Known})
	return &trial{end: sync.OnceFunc(func() {
		_ = frame.Write(stream, frame.TrialLease, n.knownOf(f)) // a loss is made up for by heartbeats
		_ = stream.Close()
	})}, nil
}

// openTrial opens a stream to an arbiter, which may be this instance.
func (n *Node) openTrial(arbiter gossip.Instance, ask *pb.TrialAsk) (net.Conn, error) {
	if arbiter.Name != n.settings.Name {
		return n.links.Open(arbiter.PeerAddress, frame.TrialLease, ask)
	}
	near, far := net.Pipe()
	first, err := proto.Marshal(ask)
	if err != nil {
		return nil, err
	}
	go func() {
		defer far.Close()
		n.arbitrate(first, far)
	}()
	return near, nil
}

func (n *Node) knownOf(f quarantine.Fingerprint) *pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.book.Lookup(n.now(), f)
	if !ok {
		e.Fingerprint = f
	}
	return caseOf(e)
}

// arbitrate gives a suspect's turn to an instance that asks, once nobody else
// has it, and holds it until that one's stream ends.
func (n *Node) arbitrate(first []byte, stream net.Conn) {
	ask := &pb.TrialAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "ask for a turn", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	f := quarantine.Fingerprint(ask.GetKnown().GetFingerprint())
	n.takeQuarantine([]*pb.QuarantineCase{ask.Known})
	shown := make(chan *pb.QuarantineCase, 1)
	go func() { // also sees that the asker has gone
		defer close(shown)
		c := &pb.QuarantineCase{}
		if frame.Read(stream, c) == nil {
			shown <- c
		}
	}()
	if !n.takeTurn(f, shown) {
		return
	}
	defer n.giveTurn(f)
	if frame.Write(stream, frame.Reply, &pb.TrialReply{Known: n.knownOf(f)}) != nil {
		return
	}
	if c, ok := <-shown; ok {
		n.takeQuarantine([]*pb.QuarantineCase{c})
	}
}

// takeTurn waits for a fingerprint's turn, unless the asker goes.
func (n *Node) takeTurn(f quarantine.Fingerprint, gone <-chan *pb.QuarantineCase) bool {
	q := n.quarantine
	for {
		q.mu.Lock()
		held := q.trials[f]
		if held == nil {
			q.trials[f] = make(chan struct{})
			q.mu.Unlock()
			return true
		}
		q.mu.Unlock()
		select {
		case <-held:
		case <-gone:
			return false
		}
	}
}

func (n *Node) giveTurn(f quarantine.Fingerprint) {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.trials[f])
	delete(q.trials, f)
}
