// Package triallease lets one instance at a time try a suspect feature of requests, that is, a
// request or a part that requests share under which replicas have crashed. The arbiter of its
// fingerprint, by rendezvous hashing over the live instances, grants the trial lease. If
// instances briefly disagree on the arbiter, one more replica may crash, but no guarantee is
// broken.
package triallease

import (
	"context"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/quarantine"
	"quinceroad/coordination/rendezvous"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	timeout          = time.Second // maximum wait for a trial lease: the usual duration of an answer; callers wait longer
	maxArbitersTried = 2           // per trial lease
)

// ErrNoTrial is returned for a request that another instance tries.
var ErrNoTrial = errors.New("the request is being tried elsewhere, as replicas have ended under it")

// Peers opens streams to other instances.
type Peers interface {
	Open(address string, k frame.Kind, first proto.Message) (net.Conn, error)
}

// Options are what a Service uses of its instance.
type Options struct {
	Name  string // of this instance
	Peers Peers
	Live  func() []gossip.Instance
	Log   hclog.Logger
	// Case returns the message with this instance's record of a request, which has only the
	// fingerprint if there is no record.
	Case func(quarantine.Fingerprint) *pb.QuarantineCase
	// Merge merges the record of a request that a peer sent.
	Merge func(*pb.QuarantineCase)
}

// Service obtains trial leases for this instance, and grants those of which it is the arbiter.
type Service struct {
	opts Options

	mu       sync.Mutex                               // guards the fields below; no other lock is acquired under it
	running  map[quarantine.Fingerprint]chan struct{} // closed at the trial's end
	noLeases map[string]uint64                        // by instance name: the incarnation that closed the stream of a request for a lease
}

// New returns a service without trials.
func New(o Options) *Service {
	return &Service{opts: o, running: make(map[quarantine.Fingerprint]chan struct{}), noLeases: make(map[string]uint64)}
}

// Lease is the right to run a suspect request.
type Lease struct{ release func() }

// Release gives the lease back and reports the result to the arbiter.
func (l *Lease) Release() { l.release() }

// Acquire waits for the trial lease of a suspect request.
func (s *Service) Acquire(ctx context.Context, f quarantine.Fingerprint) (*Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := ErrNoTrial
	asked := 0
	for _, arbiter := range s.arbiters(f) {
		if asked == maxArbitersTried || ctx.Err() != nil {
			break
		}
		if s.lacksLeases(arbiter) {
			continue
		}
		var lease *Lease
		if lease, err = s.request(ctx, arbiter, f); err == nil {
			return lease, nil
		}
		if statesNoLeases(arbiter, err) {
			s.recordNoLeases(arbiter)
			continue
		}
		asked++
		if errors.Is(err, ErrNoTrial) {
			return nil, err
		}
		event.NodeSideCallFailed.Log(s.opts.Log, "what", "trial lease", "to", arbiter.Name, "error", err)
	}
	return nil, errors.Join(ErrNoTrial, err)
}

// statesNoLeases reports whether an error says that an instance's build does not support trial
// leases. The oldest builds close streams of unknown kinds; with others, the end of a stream only
// tells of a connection that broke.
func statesNoLeases(i gossip.Instance, err error) bool {
	isOldest := i.Level == featurelevel.Unannounced
	return errors.Is(err, frame.ErrUnknownKind) || isOldest && errors.Is(err, io.EOF)
}

// lacksLeases reports whether an instance's build is known not to support trial leases. Such
// an instance is asked once per incarnation.
func (s *Service) lacksLeases(i gossip.Instance) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	incarnation, ok := s.noLeases[i.Name]
	return ok && incarnation == i.Incarnation
}

func (s *Service) recordNoLeases(i gossip.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noLeases[i.Name] = i.Incarnation
}

// arbiters returns the live instances in the order in which they are arbiters of a
// fingerprint.
func (s *Service) arbiters(f quarantine.Fingerprint) []gossip.Instance {
	key := strconv.FormatUint(uint64(f), 16)
	all := slices.Clone(s.opts.Live())
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

// request asks an arbiter for a trial lease and waits until it is granted.
func (s *Service) request(ctx context.Context, arbiter gossip.Instance, f quarantine.Fingerprint) (*Lease, error) {
	ask := &pb.TrialAsk{Known: s.opts.Case(f)}
	stream, err := s.open(arbiter, ask)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.Close() })
	reply := &pb.TrialReply{}
	err = frame.Read(stream, reply)
	if !stop() || err != nil {
		_ = stream.Close()
		if ctx.Err() != nil {
			return nil, ErrNoTrial
		}
		return nil, err
	}
	s.opts.Merge(reply.Known)
	return &Lease{release: sync.OnceFunc(func() {
		_ = frame.Write(stream, frame.TrialLease, s.opts.Case(f)) // if the message is lost, heartbeats carry the same result
		_ = stream.Close()
	})}, nil
}

// open opens a stream to an arbiter, which may be this instance.
func (s *Service) open(arbiter gossip.Instance, ask *pb.TrialAsk) (net.Conn, error) {
	if arbiter.Name != s.opts.Name {
		return s.opts.Peers.Open(arbiter.PeerAddress, frame.TrialLease, ask)
	}
	clientEnd, serverEnd := net.Pipe()
	first, err := proto.Marshal(ask)
	if err != nil {
		return nil, err
	}
	go func() {
		defer serverEnd.Close()
		s.Serve(first, serverEnd)
	}()
	return clientEnd, nil
}

// Serve grants the trial lease of a suspect request to a peer once no other peer
// holds it. The lease lasts until the peer's stream ends.
func (s *Service) Serve(first []byte, stream net.Conn) {
	ask := &pb.TrialAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(s.opts.Log, "what", "trial request", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	f := quarantine.Fingerprint(ask.GetKnown().GetFingerprint())
	s.opts.Merge(ask.Known)
	result := make(chan *pb.QuarantineCase, 1)
	go func() { // also ends when the peer disconnects
		defer close(result)
		c := &pb.QuarantineCase{}
		if frame.Read(stream, c) == nil {
			result <- c
		}
	}()
	if !s.start(f, result) {
		return
	}
	defer s.end(f)
	if frame.Write(stream, frame.Reply, &pb.TrialReply{Known: s.opts.Case(f)}) != nil {
		return
	}
	if c, ok := <-result; ok {
		s.opts.Merge(c)
	}
}

// start waits until no other trial of a fingerprint runs. It returns false if the peer
// disconnects first.
func (s *Service) start(f quarantine.Fingerprint, cancelled <-chan *pb.QuarantineCase) bool {
	for {
		s.mu.Lock()
		running := s.running[f]
		if running == nil {
			s.running[f] = make(chan struct{})
			s.mu.Unlock()
			return true
		}
		s.mu.Unlock()
		select {
		case <-running:
		case <-cancelled:
			return false
		}
	}
}

func (s *Service) end(f quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.running[f])
	delete(s.running, f)
}
