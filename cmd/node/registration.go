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
	// Lifetime of an instance's entry without renewal. It exceeds the store's outages, so
	// that the entry still exists afterwards.
	registrationTTL           = 5 * time.Minute
	registrationRenewInterval = time.Minute
	// Interval between checks whether the store has lost the registration.
	registrationCheckInterval = 200 * time.Millisecond
	// Time over which the instances write their registrations again then.
	registrationSpread = 500 * time.Millisecond
	// Time after the start until an instance that has discovered no peer relies on the
	// store.
	discoveryTimeout = 250 * time.Millisecond
	// Interval between messages to the seeds until then. The seeds may start some ms later.
	discoveryInterval = 30 * time.Millisecond
	// Delay after discovery. By then heartbeats have announced the other instances.
	registrationDelay = 750 * time.Millisecond
)

// keepRegistered keeps a reader's entry in the store, so that instances that start later
// can discover it. It reads the other instances' entries when it registers.
func (n *Node) keepRegistered(ctx context.Context) {
	var lease uint64 // the store's lease ID; 0 if none is held
	var era uint64   // of the store's history, in which the lease was granted
	n.discoverPeers(ctx)
	if n.liveInstanceCount() == 1 {
		n.logSideCallFailure("instances", "store", n.mergeRegistered()) // the seeds may be gone; earlier readers may be back
	}
	process.Sleep(ctx, registrationDelay)
	for ctx.Err() == nil {
		if current := n.store.Era(); current != era { // the store has lost the lease, with the entry
			lease, era = 0, current
		}
		if lease == 0 && !n.isReader.Load() {
			process.Sleep(ctx, readerCheckInterval)
			continue
		}
		err := n.renewRegistration(&lease)
		if err == nil {
			if era == 0 {
				era = n.store.Era() // the first one that the store states
			}
			n.awaitRenewal(ctx, era)
			continue
		}
		if errors.Is(err, platform.ErrNoLease) {
			lease = 0
		}
		if !process.Sleep(ctx, maxStoreRetryDelay) {
			return
		}
	}
}

// awaitRenewal waits until the registration has to be renewed, or to be written again as the
// store has come back from a copy without it.
func (n *Node) awaitRenewal(ctx context.Context, era uint64) {
	until := n.now() + registrationRenewInterval
	for n.now() < until && n.store.Era() == era && process.Sleep(ctx, registrationCheckInterval) {
	}
	if n.store.Era() != era { // not all readers at the same moment
		process.Sleep(ctx, time.Duration(n.jitter*float64(registrationSpread)))
	}
}

// discoverPeers announces this instance to the seeds and to the instances registered in
// the store until a peer is discovered or discoveryTimeout has passed. When all
// instances start together, they can't serve before they have discovered each other, and
// the seeds may be the last to start. An entry in the store may stem from an earlier
// incarnation, so it does not prove that its instance is alive.
func (n *Node) discoverPeers(ctx context.Context) {
	addresses := make(chan []string, 1)
	go func() { addresses <- n.registeredAddresses() }()
	var known []string
	for n.now() < discoveryTimeout && n.liveInstanceCount() == 1 {
		select {
		case known = <-addresses:
		default:
		}
		n.announceToSeeds()
		n.announceSelf(known)
		if !process.Sleep(ctx, discoveryInterval) {
			return
		}
	}
}

func (n *Node) renewRegistration(lease *uint64) error {
	if *lease != 0 {
		return n.store.RenewLease(*lease)
	}
	granted, err := n.store.GrantLease(registrationTTL)
	if err != nil {
		return err
	}
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	entry, err := proto.Marshal(encodeInstance(self))
	if err != nil {
		return err
	}
	if err := n.store.Register(self.Name, entry, granted); err != nil {
		return err
	}
	*lease = granted
	return n.mergeRegistered()
}

// mergeRegistered adds the instances registered in the store to the view.
func (n *Node) mergeRegistered() error {
	entries, err := n.registeredInstances()
	if err != nil {
		return err
	}
	defer n.sendHeartbeats()
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	for _, i := range entries {
		i.HeartbeatCount = 0
		n.members.Merge(n.now(), i)
	}
	return nil
}

// registeredInstances reads the instances' entries in the store.
func (n *Node) registeredInstances() ([]gossip.Instance, error) {
	items, err := n.store.Instances()
	if err != nil {
		return nil, err
	}
	out := make([]gossip.Instance, 0, len(items))
	for name, data := range items {
		entry := &pb.InstanceNews{}
		if proto.Unmarshal(data, entry) != nil || !strings.EqualFold(entry.Name, name) {
			event.NodeStoreEntryInvalid.Log(n.log, "name", name)
			continue
		}
		out = append(out, decodeInstance(entry))
	}
	return out, nil
}

// registeredAddresses returns the heartbeat addresses of the other instances that are
// registered in the store.
func (n *Node) registeredAddresses() []string {
	entries, err := n.registeredInstances()
	n.logSideCallFailure("instances", "store", err)
	var out []string
	for _, i := range entries {
		if i.Name != n.settings.Name {
			out = append(out, i.HeartbeatAddress)
		}
	}
	return out
}
