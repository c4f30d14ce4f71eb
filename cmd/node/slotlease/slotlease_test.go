package slotlease

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// fleet is a set of services that open streams to each other. The first instance is the
// grantor of all replicas, the second one its deputy.
type fleet struct {
	mu        sync.Mutex
	streams   int
	services  []*Service
	instances []gossip.Instance
	cut       map[[2]string]bool // pairs of instances of which the first doesn't reach the second
	now       time.Duration
	late      time.Duration // until a request reaches the instance that is asked
}

var errCut = errors.New("no answer")

// from is the fleet as one of its instances reaches it.
type from struct {
	*fleet
	name string
}

func newFleet(count int) *fleet {
	f := &fleet{cut: make(map[[2]string]bool)}
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		f.instances = append(f.instances, gossip.Instance{Name: name, PeerAddress: name})
	}
	for _, x := range f.instances {
		f.services = append(f.services, New(Options{
			Name: x.Name, Now: f.clock, Peers: from{f, x.Name}, Log: hclog.NewNullLogger(), Registry: metrics.NewRegistry(),
			Grantors: func(incarnation string) []gossip.Instance {
				if incarnation != "r" { // the only one that is listed
					return nil
				}
				return f.instances[:min(count, advisory.Grantors)]
			},
			LiveCount: func() int { return count },
		}))
	}
	f.acquire(0, 0) // the grantor begins
	f.pass(2 * time.Second)
	return f
}

func (f *fleet) clock() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *fleet) pass(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
}

// Open implements Peers.
func (f from) Open(address string, _ frame.Kind, first proto.Message) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.streams++
	if f.cut[[2]string{f.name, address}] {
		return nil, errCut
	}
	message, err := proto.Marshal(first)
	if err != nil {
		return nil, err
	}
	client, server := net.Pipe()
	for i, x := range f.instances {
		if x.PeerAddress == address {
			go func(late time.Duration) {
				defer server.Close()
				time.Sleep(late)
				f.services[i].Serve(message, server)
			}(f.late)
		}
	}
	return client, nil
}

func (f *fleet) ask(maxWait time.Duration) advisory.SlotAsk {
	return advisory.SlotAsk{Incarnation: "r", Tolerated: 1, Slots: 2, Hold: 10 * time.Second, MaxWait: maxWait}
}

func (f *fleet) acquire(sender, rank int) (*Lease, error) {
	lease, _, err := f.services[sender].Acquire(context.Background(), f.ask(0), rank)
	return lease, err
}

// waitHeld waits until the grantor has issued as many leases.
func (f *fleet) waitHeld(t *testing.T, count int) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); f.services[0].Held()["r"] != count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d leases are held, not %d", f.services[0].Held()["r"], count)
		}
	}
}

// However many instances there are, they share the slots, and a lease costs one stream.
func TestAllInstancesShareTheSlots(t *testing.T) {
	for _, count := range []int{3, 300} {
		is := is.New(t)
		f := newFleet(count)
		var leases []*Lease
		for sender := range min(count, 50) {
			lease, err := f.acquire(sender, 0)
			is.NoErr(err)
			if lease != nil {
				leases = append(leases, lease)
			}
		}
		is.Equal(len(leases), 2)
		is.Equal(f.streams, min(count, 50)-1)
		leases[1].End(advisory.LeaseCompleted)
		leases[1].End(advisory.LeaseCompleted)
		f.waitHeld(t, 1)
		lease, err := f.acquire(2, 0)
		is.NoErr(err)
		is.True(lease != nil)
	}
}

// A sender that waits for a slot gets the one that becomes free, and one that has gone is
// passed over.
func TestSenderWaitsForASlot(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	first, _ := f.acquire(1, 0)
	_, _ = f.acquire(2, 0)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error)
	go func() {
		_, _, err := f.services[2].Acquire(ctx, f.ask(time.Minute), 0)
		gone <- err
	}()
	f.waitQueued(t, 1)
	cancel()
	is.True(<-gone != nil)
	f.waitQueued(t, 0)
	granted := make(chan *Lease)
	go func() {
		lease, _, _ := f.services[3].Acquire(context.Background(), f.ask(time.Minute), 0)
		granted <- lease
	}()
	f.waitQueued(t, 1)
	first.End(advisory.LeaseCompleted)
	is.True(<-granted != nil)
	is.Equal(f.services[0].Held()["r"], 2)
}

func (f *fleet) waitQueued(t *testing.T, count int) {
	t.Helper()
	queued := func() int {
		s := f.services[0]
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.waiting)
	}
	for end := time.Now().Add(5 * time.Second); queued() != count; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d wait for slots, not %d", queued(), count)
		}
	}
}

// A wait is bounded by what the sender allows.
func TestWaitForASlotEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	_, _ = f.acquire(0, 0)
	_, _ = f.acquire(1, 0)
	lease, _, err := f.services[1].Acquire(context.Background(), f.ask(100*time.Millisecond), 0)
	is.NoErr(err)
	is.True(lease == nil)
	f.waitQueued(t, 0)
}

// Guards against a second grantor beside the first one: the deputy forwards what can't reach
// the grantor, and issues no lease itself.
func TestDeputyForwards(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	f.cut[[2]string{"n3", "n0"}] = true
	_, err := f.acquire(3, 0)
	is.True(errors.Is(err, errCut))
	lease, err := f.acquire(3, 1)
	is.NoErr(err)
	is.True(lease != nil)
	is.Equal(f.services[0].Held()["r"], 1)
	is.Equal(len(f.services[1].Held()), 0)
	lease.End(advisory.LeaseCompleted)
	f.waitHeld(t, 0)
	f.cut[[2]string{"n1", "n0"}] = true
	_, err = f.acquire(3, 1)
	is.True(errors.Is(err, ErrElsewhere))
	_, err = f.acquire(1, 1) // the deputy itself
	is.True(errors.Is(err, ErrElsewhere))
	_, err = f.acquire(3, 2)
	is.True(errors.Is(err, ErrNoGrantor))
	_, err = f.acquire(2, 0)
	is.NoErr(err)
}

// Guards against a busy grantor that is taken for lost, so that nobody asks it: one that has
// answered lately is only slow.
func TestSlowGrantorIsNotLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(3)
	lease, err := f.acquire(2, 0)
	is.NoErr(err)
	lease.End(advisory.LeaseCompleted)
	f.late = 3 * askTimeout
	_, err = f.acquire(2, 0)
	is.True(errors.Is(err, ErrSlow))
	f.services[2].Sweep()
	_, err = f.acquire(2, 0)
	is.True(errors.Is(err, ErrSlow))
	f.pass(slowGrace)
	f.services[2].Sweep()
	is.Equal(len(f.services[2].answeredAt), 0)
	_, err = f.acquire(2, 0)
	is.True(err != nil && !errors.Is(err, ErrSlow))
	f.cut[[2]string{"n2", "n0"}] = true // not slow, whenever it answered
	f.late = 0
	_, err = f.acquire(2, 0)
	is.True(errors.Is(err, errCut))
}

// An instance that is neither grantor nor deputy issues no leases, and no message is forwarded
// twice.
func TestOthersIssueNoLeases(t *testing.T) {
	is := is.New(t)
	f := newFleet(4)
	for at, forwarded := range map[int]bool{2: false, 3: true, 1: true} {
		_, reply := f.services[at].answer(context.Background(), f.ask(0), forwarded, func() {})
		is.True(reply.Elsewhere && !reply.Granted)
	}
}

// A sender that ends without a word keeps its slot for a while, as the replica may still work
// on its request.
func TestLeaseOfALostSenderIsAbandoned(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	message, err := proto.Marshal(encodeAsk(f.ask(0), false))
	is.NoErr(err)
	client, server := net.Pipe()
	served := make(chan struct{})
	go func() {
		f.services[0].Serve(message, server)
		close(served)
	}()
	reply := &pb.SlotReply{}
	is.NoErr(frame.Read(client, reply))
	is.True(reply.Granted)
	is.NoErr(client.Close())
	<-served
	is.Equal(f.services[0].Held()["r"], 1)
	f.pass(time.Second)
	for range 2 {
		lease, err := f.acquire(1, 0)
		is.NoErr(err)
		is.True(lease != nil)
	}
}

// Bad messages of peers get an answer and no lease.
func TestInvalidAsksGetNoLease(t *testing.T) {
	for what, m := range map[string]proto.Message{
		"no replica":      &pb.SlotAsk{Slots: 2},
		"long name":       &pb.SlotAsk{Replica: string(make([]byte, 300))},
		"negative refuse": &pb.SlotAsk{Replica: "r", Tolerated: -1},
		"another message": &pb.PaceAsk{Limit: &pb.ReplicaLimit{Id: "r", PerSecond: 3}},
	} {
		t.Run(what, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(2)
			message, err := proto.Marshal(m)
			is.NoErr(err)
			client, server := net.Pipe()
			go f.services[0].Serve(message, server)
			reply := &pb.SlotReply{}
			is.NoErr(frame.Read(client, reply))
			is.True(reply.Elsewhere && !reply.Granted)
			is.Equal(f.services[0].Held()["r"], 0)
		})
	}
}

// The instances that an instance sees after a partition are a part of those that it saw.
func TestLivePeak(t *testing.T) {
	is := is.New(t)
	var p livePeak
	is.Equal(p.observe(0, 60), 1.0)
	is.Equal(p.observe(time.Second, 20), 1.0/3)
	is.Equal(p.observe(peakPeriod, 30), 0.5)
	is.Equal(p.observe(2*peakPeriod, 30), 1.0)
	is.Equal(p.observe(3*peakPeriod, 0), 0.0)
}

// Replicas whose grantor is another instance now are forgotten.
func TestSweepForgetsReplicasOfOtherGrantors(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	_, _ = f.acquire(1, 0)
	f.services[0].Sweep()
	is.Equal(len(f.services[0].Held()), 1)
	f.instances[0], f.instances[1] = f.instances[1], f.instances[0]
	f.services[0].Sweep()
	is.Equal(len(f.services[0].Held()), 0)
}
