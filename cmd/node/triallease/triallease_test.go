package triallease

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// fleet is a set of services that open streams to each other.
type fleet struct {
	breaks    atomic.Bool         // connections break before they carry an answer
	services  map[string]*Service // by peer address
	instances []gossip.Instance
	merged    atomic.Int64 // records that were sent
}

func newFleet(count int) *fleet {
	f := &fleet{services: make(map[string]*Service)}
	for i := range count {
		name := fmt.Sprint("n", i)
		f.instances = append(f.instances, gossip.Instance{Name: name, PeerAddress: name})
		f.services[name] = New(Options{
			Name: name, Peers: f, Live: func() []gossip.Instance { return f.instances }, Log: hclog.NewNullLogger(),
			Case:  func(f quarantine.Fingerprint) *pb.QuarantineCase { return &pb.QuarantineCase{Fingerprint: uint64(f)} },
			Merge: func(*pb.QuarantineCase) { f.merged.Add(1) },
		})
	}
	return f
}

// Open implements Peers.
func (f *fleet) Open(address string, _ frame.Kind, first proto.Message) (net.Conn, error) {
	message, err := proto.Marshal(first)
	if err != nil {
		return nil, err
	}
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		if f.breaks.Load() {
			return
		}
		f.services[address].Serve(message, server)
	}()
	return client, nil
}

// A suspect request is tried by one instance at a time, whichever instances ask.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	f := newFleet(5)
	var running, most atomic.Int64
	done := make(chan error)
	for _, s := range f.services {
		go func() {
			lease, err := s.Acquire(context.Background(), 7)
			if err == nil {
				if now := running.Add(1); now > most.Load() {
					most.Store(now)
				}
				time.Sleep(10 * time.Millisecond)
				running.Add(-1)
				lease.Release()
			}
			done <- err
		}()
	}
	for range f.services {
		is.NoErr(<-done)
	}
	is.Equal(most.Load(), int64(1))
	is.True(f.merged.Load() > 0)
}

// Who doesn't get the lease in time is told that the request is being tried elsewhere.
func TestWaitForATrialEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(2)
	lease, err := f.services["n0"].Acquire(context.Background(), 7)
	is.NoErr(err)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = f.services["n1"].Acquire(ctx, 7)
	is.True(err != nil)
	other, err := f.services["n1"].Acquire(context.Background(), 8)
	is.NoErr(err)
	other.Release()
	lease.Release()
	again, err := f.services["n1"].Acquire(context.Background(), 7)
	is.NoErr(err)
	again.Release()
}

// Guards against two trials of a suspect at a time: a connection to its arbiter that broke was
// taken for the word of a build without trial leases, and the next one was asked for as long as
// the arbiter ran.
func TestBrokenConnectionIsNoWordOfAnOlderBuild(t *testing.T) {
	for _, level := range []uint32{featurelevel.Unannounced, featurelevel.ReplicaIncarnations} {
		is := is.New(t)
		f := newFleet(3)
		for i := range f.instances {
			f.instances[i].Level = level
		}
		asker := f.services["n0"]
		feature := quarantine.Fingerprint(0)
		for asker.arbiters(feature)[0].Name == "n0" {
			feature++
		}
		arbiter := asker.arbiters(feature)[0]
		f.breaks.Store(true)
		if lease, err := asker.Acquire(context.Background(), feature); err == nil {
			lease.Release()
		}
		is.Equal(asker.lacksLeases(arbiter), level == featurelevel.Unannounced)
	}
}
