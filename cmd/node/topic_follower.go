package node

import (
	"context"
	"errors"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/history"
	"quinceroad/coordination/readers"
	"quinceroad/platform"
	"quinceroad/protocol/event"
)

const (
	// Pause after a change of the replicas, so that changes that follow shortly are applied
	// together.
	replicaChangeDelay = 250 * time.Millisecond
	// Number of changes in one answer from which more are expected to follow at once, and the
	// longest time for which they are collected.
	manyReplicaChanges    = 200
	maxReplicaChangeDelay = 1 * time.Second
	minStoreRetryDelay    = 100 * time.Millisecond // pause after a failed call; doubles with each failure
	// Upper bound of that pause, so that the end of an outage is detected within the 2 s in
	// which a configuration must be in force.
	maxStoreRetryDelay  = 1 * time.Second
	unwrittenTopicDelay = 250 * time.Millisecond // pause before a topic that was never written is read again
	readerCheckInterval = 100 * time.Millisecond // interval between checks whether this instance is a reader
	// Interval between reads of a topic that is not loaded yet: 75 times the usual answer
	// time.
	firstReadInterval = 300 * time.Millisecond
	maxFirstReads     = 5 // concurrent reads of one topic; by then the first one has timed out
)

// Bounds of the duration of a watch, and the time that is reserved for the changes after
// its end.
const (
	minWatchTime = 300 * time.Millisecond // limits a reader to about three calls a second for a topic
	maxWatchTime = 8 * time.Second        // upper bound, whatever the settings allow
	// Covers the next call, the pause before it and the propagation to peers: 0.6 s in
	// simulations.
	changePropagationTime = 1 * time.Second
)

// watchTimeFor returns the time within which some reader's watch must end. A connection may hang for
// good while the store answers on others, which can't be distinguished from a topic without
// changes. So one ends early enough for the changes that all missed to be in force within the
// deployment's time limits: that after a disturbance and that after a change run from the same
// moment if the change is made then.
func watchTimeFor(s *platform.Settings) time.Duration {
	allowed := max(s.RecoveryTime, min(s.ConfigApplyTime, s.DrainTime, s.HallDrainTime))
	return min(max(allowed-platform.WatchGrace-changePropagationTime, minWatchTime), maxWatchTime)
}

// noOutage is the start of an outage when there is none.
const noOutage = time.Duration(-1)

// errCallAbandoned reports that a call was abandoned because the store became
// unresponsive after the call began, and will not answer it.
var errCallAbandoned = errors.New("the store was unresponsive and will not answer the call")

// topicFollower follows a topic of the store: it reads the whole topic once, and then
// watches for changes while this instance is a reader.
type topicFollower struct {
	node          *Node
	storeRecovery func() <-chan struct{} // closed when the store answers again after it was unresponsive
	name          string
	// isLoaded reports whether the topic was read or received from a peer.
	isLoaded func() bool
	// knownAt returns the point in the store's history up to which the topic is known.
	knownAt func() history.Point
	// A topic received from a peer is watched without a full read first.
	watchesAfterPeerUpdate bool
	// read reads the whole topic; apply applies the result.
	read func() (apply func(), err error)
	// watch returns changes, and waits up to the given time for the first one.
	watch func(wait time.Duration) (apply func(), err error)

	lastChange time.Duration // time at which a watch last returned changes; 0: none has
}

func (f *topicFollower) run(ctx context.Context) {
	n := f.node
	retryDelay := minStoreRetryDelay
	outageStart := noOutage
	needsFullRead := !f.watchesAfterPeerUpdate // the next call must read the whole topic
	answered := false                          // the last call of this reader was answered
	rereads := 0                               // full reads since the last watch that was answered
	for ctx.Err() == nil {
		switch {
		case f.isLoaded() && !n.isReader.Load():
			answered = false
			process.Sleep(ctx, readerCheckInterval)
			continue
		case !f.isLoaded() && n.defersFirstRead():
			process.Sleep(ctx, startupViewInterval)
			continue
		}
		startedAt := n.now()
		if f.isLoaded() && n.store.Era() > f.knownAt().Era {
			needsFullRead = true
		}
		err := f.nextCall(needsFullRead, answered)
		n.observeEra()
		waited := n.now() - startedAt
		answered = err == nil
		switch {
		case err == nil:
			if needsFullRead {
				rereads++
			} else {
				rereads = 0
			}
			needsFullRead = false
			retryDelay = minStoreRetryDelay
			if outageStart != noOutage {
				event.NodeStoreReachable.Log(n.log, "topic", f.name, "after", n.now()-outageStart)
				outageStart = noOutage
				n.setStoreReachable(true)
			}
			continue
		case errors.Is(err, errCallAbandoned):
			n.counters.cancelledStoreCalls.Inc(1)
			event.NodeStoreCallAbandoned.Log(n.log, "topic", f.name, "waited", waited)
			continue
		case errors.Is(err, platform.ErrCompacted):
			needsFullRead = true
			if rereads > 0 { // the store's history does not contain what it has just answered
				process.Sleep(ctx, min(time.Duration(rereads)*minStoreRetryDelay, maxStoreRetryDelay))
			}
			continue
		case errors.Is(err, platform.ErrNoKey): // the topic was never written
			process.Sleep(ctx, unwrittenTopicDelay)
			continue
		}
		if outageStart == noOutage {
			outageStart = n.now()
			event.NodeStoreUnreachable.Log(n.log, "topic", f.name, "waited", waited, "error", err)
			n.storeFailed.Store(true)
			n.setStoreReachable(false)
		}
		process.Sleep(ctx, retryDelay)
		retryDelay = min(2*retryDelay, maxStoreRetryDelay)
	}
}

// nextCall makes the next call for the topic. It waits for changes only if the store has
// answered the previous call: an unresponsive store never answers the calls that it
// missed, and an instance that has just become a reader has not observed its state.
func (f *topicFollower) nextCall(needsFullRead, answered bool) error {
	switch {
	case !f.isLoaded():
		return f.firstRead()
	case needsFullRead:
		return f.applyCall(f.read)
	case answered:
		return f.watchInTurn()
	}
	return f.applyCall(func() (func(), error) { return f.watch(0) })
}

// watchInTurn watches the topic for as long as this reader's turn among the others allows.
func (f *topicFollower) watchInTurn() error {
	n := f.node
	turn := readers.TurnOf(n.settings.Name, n.liveInstances())
	startedAt := n.now()
	wait := turn.WatchTime(startedAt, f.lastChange, watchTimeFor(n.settings), maxWatchTime)
	err := f.applyCall(func() (func(), error) { return f.watch(wait) })
	if now := n.now(); err == nil && now-startedAt < wait {
		f.lastChange = now
	}
	return err
}

// storeResult is the result of a call to the store; apply applies the data.
type storeResult struct {
	apply func()
	err   error
}

func deliverResult(call func() (func(), error), results chan<- storeResult) {
	apply, err := call()
	results <- storeResult{apply, err}
}

// applyCall makes a call and applies its result. It abandons the call if the store was
// unresponsive meanwhile and answers again, because the store does not answer calls that
// it missed.
func (f *topicFollower) applyCall(call func() (func(), error)) error {
	recovered := f.storeRecovery()
	results := make(chan storeResult, 1)
	go deliverResult(call, results)
	select {
	case r := <-results:
		if r.err == nil {
			r.apply()
		}
		return r.err
	case <-recovered:
		return errCallAbandoned
	}
}

// firstRead reads a topic that is not loaded yet. It repeats the read while earlier
// calls are pending: a store that was unavailable never answers the calls that it
// missed, and nothing can be served until the topic is loaded.
func (f *topicFollower) firstRead() error {
	results := make(chan storeResult, maxFirstReads)
	ticker := time.NewTicker(firstReadInterval)
	defer ticker.Stop()
	started, finished := 1, 0
	go deliverResult(f.read, results)
	for {
		select {
		case r := <-results:
			finished++
			if r.err == nil {
				r.apply() // only the first one; later ones may be older
				return nil
			}
			if finished == started {
				return r.err
			}
		case <-ticker.C:
			if f.isLoaded() { // received from a peer meanwhile
				return nil
			}
			if started < maxFirstReads {
				started++
				go deliverResult(f.read, results)
			}
		}
	}
}

// setStoreReachable records whether the store is reachable. Instances that can't reach
// it are the last to become readers.
func (n *Node) setStoreReachable(reachable bool) {
	n.gossipMu.Lock()
	n.members.SetStoreUnreachable(!reachable)
	n.gossipMu.Unlock()
}

// storeUnreachable reports whether this instance failed to reach the store at its last
// attempt.
func (n *Node) storeUnreachable() bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	return n.members.Self().StoreUnreachable
}

// defersFirstRead reports whether this instance, which has just started and has no data,
// waits for updates from the readers instead of reading the store.
func (n *Node) defersFirstRead() bool {
	n.updateReaderRole(n.live())
	startup := readers.Startup{Age: n.now(), KnowsPeers: n.hasDiscoveredPeers(), IsReader: n.isReader.Load(), Jitter: n.jitter}
	return !startup.ShouldRead()
}

// hasDiscoveredPeers reports whether this instance has probably discovered its peers: no new one
// has appeared for a moment, or none at all for a while.
func (n *Node) hasDiscoveredPeers() bool {
	n.gossipMu.Lock()
	defer n.gossipMu.Unlock()
	now := n.now()
	return now >= startupViewTimeout || n.members.Settled(now) || now >= discoveryTimeout && n.members.AliveCount(now) == 1
}

// updateReaderRole decides whether this instance is a reader of the store, once it has
// discovered its peers.
func (n *Node) updateReaderRole(live *gossip.Live) {
	if !n.hasDiscoveredPeers() {
		return
	}
	isReader := live.Derive(readerKey{}, func() any { return readers.IsReader(n.settings.Name, live.Instances) }).(bool)
	if n.isReader.Swap(isReader) == isReader {
		return
	}
	n.gossipMu.Lock()
	n.members.SetReader(isReader)
	n.gossipMu.Unlock()
	event.NodeReaderChanged.Log(n.log, "reads", isReader)
}

// readerKey is the key of what live instances determine about this instance's role as a
// reader.
type readerKey struct{}
