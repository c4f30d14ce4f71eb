package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
)

const (
	leaseFor      = 5 * time.Minute // of an instance's entry: longer than outages of the store, after which it is still to be found
	renewEach     = time.Minute
	aloneFor      = 250 * time.Millisecond // from the start, until an instance that hears of nobody asks the store
	greetEach     = 30 * time.Millisecond  // until then, between messages to the seeds, which may start some ms later
	registerAfter = 750 * time.Millisecond // from then on: heartbeats tell who else there is
)

// register keeps the entry of an instance that reads in the store, from which
// those that start later learn of it, and reads the others' once.
func (n *Node) register(ctx context.Context) {
	var lease uint64 // the store's number of it; 0: none is held
	n.greet(ctx)
	if n.size() == 1 {
		n.logAside("instances", "store", n.meet()) // the seeds may be gone; those that read before may be back
	}
	process.Pause(ctx, registerAfter)
	for ctx.Err() == nil {
		if lease == 0 && !n.isReader.Load() {
			process.Pause(ctx, roleLook)
			continue
		}
		err := n.renew(&lease)
		if err == nil {
			if !process.Pause(ctx, renewEach) {
				return
			}
			continue
		}
		if errors.Is(err, platform.ErrNoLease) {
			lease = 0
		}
		if !process.Pause(ctx, retryMost) {
			return
		}
	}
}

// greet tells the seeds, and those whom the store names, of this instance until
// somebody is heard of or aloneFor is over: where all start at once, what they
// can serve waits for their meeting, and the seeds may be the last to start.
// The store's entries are of earlier lives; they are no sign that one lives.
func (n *Node) greet(ctx context.Context) {
	registered := make(chan []string, 1)
	go func() { registered <- n.registered() }()
	var others []string
	for n.now() < aloneFor && n.size() == 1 {
		select {
		case others = <-registered:
		default:
		}
		n.tellSeeds()
		n.introduce(others)
		if !process.Pause(ctx, greetEach) {
			return
		}
	}
}

func (n *Node) renew(lease *uint64) error {
	if *lease != 0 {
		return n.store.Keep(*lease)
	}
	got, err := n.store.Lease(leaseFor)
	if err != nil {
		return err
	}
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	entry, err := proto.Marshal(newsOf(self))
	if err != nil {
		return err
	}
	if err := n.store.Register(self.Name, entry, got); err != nil {
		return err
	}
	*lease = got
	return n.meet()
}

// meet learns of the instances that the store names.
func (n *Node) meet() error {
	entries, err := n.entries()
	if err != nil {
		return err
	}
	defer n.tell()
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	for _, i := range entries {
		i.HeartbeatCount = 0
		n.members.Merge(n.now(), i)
	}
	return nil
}

// entries reads the instances' entries in the store.
func (n *Node) entries() ([]gossip.Instance, error) {
	items, err := n.store.Instances()
	if err != nil {
		return nil, err
	}
	out := make([]gossip.Instance, 0, len(items))
	for name, data := range items {
		news := &pb.InstanceNews{}
		if proto.Unmarshal(data, news) != nil || !strings.EqualFold(news.Name, name) {
			event.NodeEntryBroken.Log(n.log, "name", name)
			continue
		}
		out = append(out, instanceOf(news))
	}
	return out, nil
}

// registered returns where the others that the store names take heartbeats.
func (n *Node) registered() []string {
	entries, err := n.entries()
	n.logAside("instances", "store", err)
	var out []string
	for _, i := range entries {
		if i.Name != n.settings.Name {
			out = append(out, i.HeartbeatAddress)
		}
	}
	return out
}
