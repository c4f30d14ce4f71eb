package node

import (
	"context"
	"errors"
	"time"

	"quinceroad/cmd/node/liveness"
	"quinceroad/cmd/process"
	"quinceroad/coordination/reachability"
)

const (
	linkCheckInterval    = 100 * time.Millisecond // interval between checks whether a cut link is to be tried
	minLinkCheckInterval = 500 * time.Millisecond // between two checks of the link to a service for late answers
	// Time without an answer to a call after which the link to its replica is checked.
	lateCallTime     = 600 * time.Millisecond
	linkProbeTimeout = replicaConnectTimeout
)

// errLinkLost ends a wait for an answer over a link that turned out to be cut.
var errLinkLost = errors.New("the link to the replica is cut")

// checkLink finds out whether the own link to a replica is cut, as an answer is late. It
// reports whether connections that are open over it hang.
func (n *Node) checkLink(t replicaTarget) bool {
	l := n.replicaLinks
	if !l.isCut(t.id) && l.mayCheck(n.now(), t.service) {
		cn, err := n.dialReplica(context.Background(), t, replicaConnectTimeout)
		if err == nil {
			cn.KeepIdle(defaultReplicaConnIdle)
		}
	}
	return l.isSilentlyCut(t.id)
}

// watchLink checks the link to a replica repeatedly once an answer is late, and calls onCut
// if it is cut silently. The caller must call stop when the answer has arrived.
func (n *Node) watchLink(t replicaTarget, late time.Duration, onCut func()) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	timer := time.AfterFunc(late, func() {
		for ctx.Err() == nil {
			if n.checkLink(t) {
				onCut()
				return
			}
			process.Sleep(ctx, linkCheckInterval)
		}
	})
	return func() {
		timer.Stop()
		cancel()
	}
}

// probeLinks tries the own link to replicas that are cut off, so that a healed one is used
// again.
func (n *Node) probeLinks(ctx context.Context) {
	hadCuts := false
	process.Every(ctx, linkCheckInterval, func() {
		l := n.replicaLinks
		l.mu.Lock()
		due := l.tracker.Probes(n.now())
		cuts := l.tracker.CutCounts()
		l.mu.Unlock()
		if hadCuts || len(cuts) > 0 {
			n.setCutGauges(cuts)
		}
		hadCuts = len(cuts) > 0
		for _, r := range due {
			go n.probeLink(r)
		}
	})
}

func (n *Node) setCutGauges(cuts map[string]int) {
	byService := make(map[string]int64, len(cuts))
	for service, count := range cuts {
		byService[service] = int64(count)
	}
	n.counters.setReplicaGauges("cut_off", byService)
}

// probeLink tries the own link to a replica and, as long as it reaches one, to the next of its
// service.
func (n *Node) probeLink(r reachability.Replica) {
	l := n.replicaLinks
	for {
		listed, ok := n.snapshot.Load().list.Replica(r.ID)
		hasReached := ok && n.tryOwnLink(targetOf(&listed))
		l.mu.Lock()
		if !ok {
			l.tracker.Forget(r.ID)
		}
		l.tracker.EndProbe(n.now(), r.Service, hasReached)
		next, isDue := l.tracker.NextProbe(n.now(), r.Service)
		l.mu.Unlock()
		if !isDue {
			return
		}
		r = next
	}
}

// tryOwnLink connects to a replica over this instance's own link and keeps the connection.
func (n *Node) tryOwnLink(t replicaTarget) bool { return n.tryOwnLinkWithin(t, linkProbeTimeout) }

func (n *Node) tryOwnLinkWithin(t replicaTarget, within time.Duration) bool {
	n.counters.linkProbes.Inc(1)
	cn, err := n.dialOwnLink(t, within)
	if err != nil {
		return false
	}
	if !cn.StaysOpen(liveness.MinConnectionTime) {
		cn.Close()
		return false
	}
	n.recordReached(t)
	cn.KeepIdle(defaultReplicaConnIdle)
	return true
}

// checkOtherServices checks the link to one replica of each other service, as the cut of one
// service's link may be that of all, which would otherwise be found by requests.
func (n *Node) checkOtherServices(found string) {
	snap := n.snapshot.Load()
	if snap.config == nil {
		return
	}
	for name := range snap.config.Services {
		replicas := snap.eligible(name)
		if name == found || len(replicas) == 0 {
			continue
		}
		r := replicas[newRandom().IntN(len(replicas))]
		go n.checkLink(targetOf(&r))
	}
}

// checkLinkLater checks the link over which an answer did not arrive in time, without
// delaying the client.
func (a *attempt) checkLinkLater() {
	if !a.conn.IsRelayed() {
		go a.node.checkLink(targetOf(&a.replica))
	}
}
