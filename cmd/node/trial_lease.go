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

// A suspect request is tried by one instance at a time. The arbiter of its
// fingerprint, chosen by rendezvous hashing over the live instances, grants the trial
// lease. If instances briefly disagree on the arbiter, one more replica may crash, but
// no guarantee is broken.

const (
	trialTimeout     = time.Second // maximum wait for a trial lease: the usual duration of an answer; callers wait longer
	maxArbitersTried = 2           // per trial lease
)

var errNoTrial = errors.New("the request is being tried elsewhere, as replicas have ended under it")

// trialLease is the right to run a suspect request. release gives it back and reports
// the result to the arbiter.
type trialLease struct{ release func() }

// acquireTrial waits for the trial lease of a suspect request.
func (n *Node) acquireTrial(ctx context.Context, f quarantine.Fingerprint) (*trialLease, error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	err := errNoTrial
	asked := 0
	for _, arbiter := range n.arbiters(f) {
		if asked == maxArbitersTried || ctx.Err() != nil {
			break
		}
		if n.level.lacksTrialLeases(arbiter) {
			continue
		}
		var t *trialLease
		if t, err = n.requestTrial(ctx, arbiter, f); err == nil {
			return t, nil
		}
		if errors.Is(err, io.EOF) || errors.Is(err, frame.ErrUnknownKind) { // builds without trial leases close unknown streams
			n.level.recordNoTrialLeases(arbiter)
			continue
		}
		asked++
		if errors.Is(err, errNoTrial) {
			return nil, err
		}
		event.NodeSideCallFailed.Log(n.log, "what", "trial lease", "to", arbiter.Name, "error", err)
	}
	return nil, errors.Join(errNoTrial, err)
}

// arbiters returns the live instances in the order in which they are arbiters of a
// fingerprint.
func (n *Node) arbiters(f quarantine.Fingerprint) []gossip.Instance {
	key := strconv.FormatUint(uint64(f), 16)
	all := slices.Clone(n.liveInstances())
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

// requestTrial asks an arbiter for a trial lease and waits until it is granted.
func (n *Node) requestTrial(ctx context.Context, arbiter gossip.Instance, f quarantine.Fingerprint) (*trialLease, error) {
	ask := &pb.TrialAsk{Known: n.quarantineCase(f)}
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
			return nil, errNoTrial
		}
		return nil, err
	}
	n.mergeQuarantine([]*pb.QuarantineCase{reply.Known})
	return &trialLease{release: sync.OnceFunc(func() {
		_ = frame.Write(stream, frame.TrialLease, n.quarantineCase(f)) // if the message is lost, heartbeats carry the same result
		_ = stream.Close()
	})}, nil
}

// openTrial opens a stream to an arbiter, which may be this instance.
func (n *Node) openTrial(arbiter gossip.Instance, ask *pb.TrialAsk) (net.Conn, error) {
	if arbiter.Name != n.settings.Name {
		return n.links.Open(arbiter.PeerAddress, frame.TrialLease, ask)
	}
	clientEnd, serverEnd := net.Pipe()
	first, err := proto.Marshal(ask)
	if err != nil {
		return nil, err
	}
	go func() {
		defer serverEnd.Close()
		n.serveTrial(first, serverEnd)
	}()
	return clientEnd, nil
}

// quarantineCase returns the message with this instance's record of a request, which has
// only the fingerprint if there is no record.
func (n *Node) quarantineCase(f quarantine.Fingerprint) *pb.QuarantineCase {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.tracker.Lookup(n.now(), f)
	if !ok {
		e.Fingerprint = f
	}
	return encodeCase(e)
}

// serveTrial grants the trial lease of a suspect request to a peer once no other peer
// holds it. The lease lasts until the peer's stream ends.
func (n *Node) serveTrial(first []byte, stream net.Conn) {
	ask := &pb.TrialAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "trial request", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	f := quarantine.Fingerprint(ask.GetKnown().GetFingerprint())
	n.mergeQuarantine([]*pb.QuarantineCase{ask.Known})
	result := make(chan *pb.QuarantineCase, 1)
	go func() { // also ends when the peer disconnects
		defer close(result)
		c := &pb.QuarantineCase{}
		if frame.Read(stream, c) == nil {
			result <- c
		}
	}()
	if !n.startTrial(f, result) {
		return
	}
	defer n.endTrial(f)
	if frame.Write(stream, frame.Reply, &pb.TrialReply{Known: n.quarantineCase(f)}) != nil {
		return
	}
	if c, ok := <-result; ok {
		n.mergeQuarantine([]*pb.QuarantineCase{c})
	}
}

// startTrial waits until no other trial of a fingerprint runs. It returns false if the
// peer disconnects first.
func (n *Node) startTrial(f quarantine.Fingerprint, cancelled <-chan *pb.QuarantineCase) bool {
	q := n.quarantine
	for {
		q.mu.Lock()
		running := q.trials[f]
		if running == nil {
			q.trials[f] = make(chan struct{})
			q.mu.Unlock()
			return true
		}
		q.mu.Unlock()
		select {
		case <-running:
		case <-cancelled:
			return false
		}
	}
}

func (n *Node) endTrial(f quarantine.Fingerprint) {
	q := n.quarantine
	q.mu.Lock()
	defer q.mu.Unlock()
	close(q.trials[f])
	delete(q.trials, f)
}
