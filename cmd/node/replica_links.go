package node

import (
	"errors"
	"net"
	"sync"
	"time"

	"quinceroad/coordination/reachability"
	"quinceroad/protocol/event"
)

const (
	minCutLogInterval = 10 * time.Second // interval between two log lines that a service is cut off
	maxConcurrentAsks = 64               // connections that peers are asked for at the same time
)

// replicaLinks tracks which replicas this instance reaches over its own link.
type replicaLinks struct {
	mu        sync.Mutex
	tracker   *reachability.Tracker
	cutLogs   map[string]*cutLog       // by service
	checkedAt map[string]time.Duration // by service: the last check of the link for a late answer
	asks      chan struct{}            // one for each connection that peers are being asked for
	served    chan struct{}            // one for each connection that is relayed for peers
}

// cutLog is what has been logged of the cuts of a service.
type cutLog struct {
	since    time.Duration // beginning of the latest cut
	loggedAt time.Duration
	unlogged int // cuts since loggedAt without a line
}

func newReplicaLinks(memoryMB float64) *replicaLinks {
	return &replicaLinks{
		tracker:   reachability.New(reachability.DefaultOptions()),
		cutLogs:   make(map[string]*cutLog),
		checkedAt: make(map[string]time.Duration),
		asks:      make(chan struct{}, maxConcurrentAsks),
		served:    make(chan struct{}, max(minRelayed, int(memoryMB*relayMemoryShare/maxRelayedMB))),
	}
}

// isCut reports whether a replica is known to be cut off from this instance.
func (l *replicaLinks) isCut(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.IsCut(id)
}

func (l *replicaLinks) headStart(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.HeadStart(service)
}

func (l *replicaLinks) recordPeerFailure(now time.Duration, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.RecordPeerFailure(now, peer)
}

// cutOff returns how many replicas are cut off, by service.
func (l *replicaLinks) cutOff() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.CutCounts()
}

// isSilentlyCut reports whether a replica is known to be cut off so that open connections to
// it hang.
func (l *replicaLinks) isSilentlyCut(id string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.IsSilentlyCut(id)
}

func (l *replicaLinks) recordPeer(service, peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.RecordPeer(service, peer)
}

// mayCheck reports whether the link to a service's replicas may be checked now, and counts
// the check if so.
func (l *replicaLinks) mayCheck(now time.Duration, service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	last, ok := l.checkedAt[service]
	if ok && now-last < minLinkCheckInterval {
		return false
	}
	l.checkedAt[service] = now
	return true
}

func (l *replicaLinks) lastPeer(service string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.LastPeer(service)
}

// order returns the peers to ask for a connection to a replica of a service.
func (l *replicaLinks) order(now time.Duration, service string, near, far []string, most int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.Order(now, service, near, far, most)
}

// recordCut records that a peer connected to a replica that this instance's own link does not
// reach, and why. What this instance concluded from that link is dropped.
func (n *Node) recordCut(t replicaTarget, peer string, err error) {
	l := n.replicaLinks
	now := n.now()
	l.mu.Lock()
	isNew := l.tracker.RecordCut(now, reachability.Replica{ID: t.id, Service: t.service}, peer, isSilence(err))
	hasLostOpen, isSuspected := l.tracker.HasLostOpen(t.id), l.tracker.IsSuspected(t.service)
	isFirst := isNew && l.tracker.CutCount(t.service) == 1
	isLogged, unlogged := false, 0
	if isFirst {
		isLogged, unlogged = l.beginCut(now, t.service)
	}
	l.mu.Unlock()
	if !isNew {
		return
	}
	n.detectorMu.Lock()
	n.detector.Reinstate(t.id)
	n.detectorMu.Unlock()
	switch {
	case hasLostOpen && isSuspected:
		n.closeIdleDirect(t.service)
	case hasLostOpen:
		n.replicaClient.CloseIdleDirect(t.address)
	}
	if isLogged {
		event.NodeServiceCut.Log(n.log, "service", t.service, "replica", t.id, "through", peer, "silent", isSilence(err), "unlogged", unlogged)
	}
	if isFirst {
		go n.checkOtherServices(t.service)
	}
}

// closeIdleDirect closes the idle connections to all replicas of a service that no peer
// relays.
func (n *Node) closeIdleDirect(service string) {
	for _, r := range n.snapshot.Load().eligible(service) {
		n.replicaClient.CloseIdleDirect(r.Address)
	}
}

// recordLostOpen records that an open connection to a replica that is cut off broke. Others
// over the cut link would break with the next request.
func (n *Node) recordLostOpen(id string) {
	l := n.replicaLinks
	l.mu.Lock()
	services := l.tracker.RecordLostOpen(id)
	l.mu.Unlock()
	for _, service := range services {
		n.closeIdleDirect(service)
	}
}

// isSilence reports whether a failed try to connect got no answer, rather than a refusal.
func isSilence(err error) bool {
	var timeout net.Error
	return errors.Is(err, errOwnLinkSilent) || errors.As(err, &timeout) && timeout.Timeout()
}

// beginCut notes the beginning of a service's cut and reports whether to log it. The caller
// holds mu.
func (l *replicaLinks) beginCut(now time.Duration, service string) (isLogged bool, unlogged int) {
	c := l.cutLogs[service]
	if c == nil {
		c = &cutLog{loggedAt: now - minCutLogInterval}
		l.cutLogs[service] = c
	}
	c.since = now
	if now-c.loggedAt < minCutLogInterval {
		c.unlogged++
		return false, 0
	}
	unlogged = c.unlogged
	c.loggedAt, c.unlogged = now, 0
	return true, unlogged
}

// recordReached records a connection to a replica over this instance's own link.
func (n *Node) recordReached(t replicaTarget) {
	l := n.replicaLinks
	now := n.now()
	l.mu.Lock()
	wasCut := l.tracker.RecordReached(now, reachability.Replica{ID: t.id, Service: t.service})
	hasHealed, since, isLogged := false, time.Duration(0), false
	if wasCut && l.tracker.CutCount(t.service) == 0 {
		hasHealed = true
		if c := l.cutLogs[t.service]; c != nil {
			since, isLogged = c.since, c.unlogged == 0
		}
	}
	l.mu.Unlock()
	if wasCut {
		n.replicaClient.CloseIdleRelayed(t.address)
	}
	if hasHealed && isLogged {
		event.NodeServiceReached.Log(n.log, "service", t.service, "after", now-since)
	}
}

// isOverCutLink reports whether the attempt was sent over a link that is known to be cut, so
// that its end is no evidence about the replica.
func (a *attempt) isOverCutLink() bool {
	return !a.conn.IsRelayed() && a.node.replicaLinks.isCut(a.replica.ID)
}

// pruneLinks forgets replicas that are not listed and peers that are not alive any more.
func (n *Node) pruneLinks() {
	list := n.snapshot.Load().list
	alive := make(map[string]bool)
	for _, i := range n.liveInstances() {
		alive[i.Name] = true
	}
	l := n.replicaLinks
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tracker.Keep(list.Has)
	l.tracker.KeepPeers(func(name string) bool { return alive[name] })
	for service, c := range l.cutLogs {
		if l.tracker.CutCount(service) == 0 && n.now()-c.loggedAt > minCutLogInterval {
			delete(l.cutLogs, service)
		}
	}
}
