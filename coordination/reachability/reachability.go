// Package reachability keeps which replicas an instance reaches over its own link, and which
// only through a peer.
//
// A failed connection alone does not tell a replica that is down from a link that is cut.
// The comparison with a peer does: where the peer connects and this instance does not, the
// link between them is cut. Such a replica is connected through peers until a connection
// over the own link succeeds again, which is tried at an interval.
//
// What a cut instance concludes from its own link is no evidence about replicas, see
// Tracker.IsCut.
//
// The package does no I/O and reads no clock.
package reachability

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Options are the settings of a Tracker.
type Options struct {
	// HeadStart is how long a connection over the own link may take before a peer is asked
	// as well.
	HeadStart time.Duration
	// ProbeInterval is the time between two tries of the own link to the replicas of a
	// service that are cut off.
	ProbeInterval time.Duration
	// SuspectAfter is how many replicas of a service must turn out to be cut off in a row
	// before its others are suspected.
	SuspectAfter int
	// SuspectAllAfter is how many replicas of all services must turn out to be cut off in a
	// row before all others are suspected.
	SuspectAllAfter int
	// PeerPenalty is how long a peer that did not connect is asked after the others.
	PeerPenalty time.Duration
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		HeadStart:       50 * time.Millisecond,
		ProbeInterval:   500 * time.Millisecond,
		SuspectAfter:    2,
		SuspectAllAfter: 4,
		PeerPenalty:     time.Second,
	}
}

// Replica identifies a replica and the service that it belongs to.
type Replica struct{ ID, Service string }

// Tracker tracks the links from one instance to replicas. It is not safe for concurrent use.
type Tracker struct {
	opts           Options
	cut            map[string]*cutReplica   // by replica ID
	services       map[string]*service      // those with replicas that are cut off
	penalizedUntil map[string]time.Duration // by peer
	inARow         int                      // replicas found cut off since the own link to any last succeeded
	hasLostOpen    bool                     // open connections over a cut link have broken
}

type cutReplica struct {
	service  string
	isSilent bool // the own link got no answer
}

type service struct {
	cut       int // replicas that are cut off
	inARow    int // replicas found cut off since the own link to one last succeeded
	nextProbe time.Duration
	isProbed  bool            // a probe is under way
	toProbe   []string        // replicas, the one that was not tried for longest first; some may be reached again
	queued    map[string]bool // those in toProbe
	peer      string          // that connected to one of its replicas last
}

// New returns a tracker that knows of no cut.
func New(o Options) *Tracker {
	return &Tracker{opts: o, cut: make(map[string]*cutReplica), services: make(map[string]*service), penalizedUntil: make(map[string]time.Duration)}
}

// IsCut reports whether a replica is known to be cut off from this instance while a peer
// reaches it. Failures on the own link to such a replica are no evidence about it.
func (t *Tracker) IsCut(id string) bool { return t.cut[id] != nil }

// IsSilentlyCut reports whether a replica is known to be cut off in such a way that nothing
// arrives: open connections over the own link hang.
func (t *Tracker) IsSilentlyCut(id string) bool {
	c := t.cut[id]
	return c != nil && c.isSilent
}

// IsSuspected reports whether the own link to all replicas of a service is suspected, as
// several turned out to be cut off in a row.
func (t *Tracker) IsSuspected(serviceName string) bool {
	s := t.services[serviceName]
	return t.inARow >= t.opts.SuspectAllAfter || s != nil && s.inARow >= t.opts.SuspectAfter
}

// HasLostOpen reports whether connections to a replica that were opened before it was cut
// off are lost, too. Over a link that only refuses new connections they live on.
func (t *Tracker) HasLostOpen(id string) bool {
	c := t.cut[id]
	return c != nil && (c.isSilent || t.hasLostOpen)
}

// RecordLostOpen records that a connection broke that had been opened to a replica before it
// was cut off. It returns the services with replicas that are cut off.
func (t *Tracker) RecordLostOpen(id string) []string {
	if t.cut[id] == nil {
		return nil
	}
	t.hasLostOpen = true
	return slices.Sorted(maps.Keys(t.services))
}

// HeadStart returns how long the own link to a replica that is not known to be cut off is
// tried before a peer is asked as well.
func (t *Tracker) HeadStart(serviceName string) time.Duration {
	if t.IsSuspected(serviceName) {
		return 0
	}
	return t.opts.HeadStart
}

// RecordCut records that a peer connected to a replica that the own link does not reach;
// isSilent: the own link got no answer rather than a refusal. It reports whether the replica
// was not known to be cut off.
func (t *Tracker) RecordCut(now time.Duration, r Replica, peer string, isSilent bool) bool {
	delete(t.penalizedUntil, peer)
	s := t.services[r.Service]
	if s == nil {
		s = &service{nextProbe: now + t.opts.ProbeInterval, queued: make(map[string]bool)}
		t.services[r.Service] = s
	}
	s.peer = peer
	if c := t.cut[r.ID]; c != nil {
		c.isSilent = isSilent
		return false
	}
	t.cut[r.ID] = &cutReplica{service: r.Service, isSilent: isSilent}
	if !s.queued[r.ID] {
		s.queued[r.ID] = true
		s.toProbe = append(s.toProbe, r.ID)
	}
	s.cut++
	s.inARow++
	t.inARow++
	return true
}

// RecordReached records a connection over the own link to a replica. It reports whether the
// replica was known to be cut off until now. The others of its service are probed at once,
// as the same link may have healed.
func (t *Tracker) RecordReached(now time.Duration, r Replica) bool {
	t.inARow = 0
	s := t.services[r.Service]
	if s == nil {
		return false
	}
	s.inARow = 0
	if t.cut[r.ID] == nil {
		return false
	}
	s.nextProbe = now
	t.forget(r.ID)
	return true
}

func (t *Tracker) forget(id string) {
	c := t.cut[id]
	delete(t.cut, id)
	s := t.services[c.service]
	s.cut--
	if s.cut == 0 {
		delete(t.services, c.service)
	}
	if len(t.cut) == 0 {
		t.hasLostOpen = false
	}
}

// Probes returns a replica of each service whose own link should be tried now: the one that
// was not tried for longest. EndProbe must be called for each.
func (t *Tracker) Probes(now time.Duration) []Replica {
	var out []Replica
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		if r, isDue := t.NextProbe(now, name); isDue {
			out = append(out, r)
		}
	}
	return out
}

// NextProbe returns the replica of a service whose own link should be tried now, if one is
// due. EndProbe must be called for it.
func (t *Tracker) NextProbe(now time.Duration, serviceName string) (Replica, bool) {
	s := t.services[serviceName]
	if s == nil || s.isProbed || now < s.nextProbe {
		return Replica{}, false
	}
	for len(s.toProbe) > 0 {
		id := s.toProbe[0]
		s.toProbe = s.toProbe[1:]
		if t.cut[id] == nil {
			delete(s.queued, id)
			continue
		}
		s.toProbe = append(s.toProbe, id)
		s.isProbed = true
		return Replica{ID: id, Service: serviceName}, true
	}
	return Replica{}, false
}

// EndProbe ends a probe of a service. The next one is due after ProbeInterval, or at once if
// this one reached its replica.
func (t *Tracker) EndProbe(now time.Duration, serviceName string, hasReached bool) {
	s := t.services[serviceName]
	if s == nil {
		return
	}
	s.isProbed = false
	s.nextProbe = now + t.opts.ProbeInterval
	if hasReached {
		s.nextProbe = now
	}
}

// CutCount returns how many replicas of a service are cut off.
func (t *Tracker) CutCount(serviceName string) int {
	if s := t.services[serviceName]; s != nil {
		return s.cut
	}
	return 0
}

// CutCounts returns how many replicas are cut off, by service; nil if none is.
func (t *Tracker) CutCounts() map[string]int {
	if len(t.services) == 0 {
		return nil
	}
	out := make(map[string]int, len(t.services))
	for name, s := range t.services {
		out[name] = s.cut
	}
	return out
}

// Forget forgets a replica that is not listed any more.
func (t *Tracker) Forget(id string) {
	if t.cut[id] != nil {
		t.forget(id)
	}
}

// RecordPeer records that a peer connected to a replica that is known to be cut off.
func (t *Tracker) RecordPeer(serviceName, peer string) {
	if s := t.services[serviceName]; s != nil {
		s.peer = peer
		delete(t.penalizedUntil, peer)
	}
}

// Keep forgets all replicas that are not listed any more.
func (t *Tracker) Keep(isListed func(id string) bool) {
	for id := range t.cut {
		if !isListed(id) {
			t.forget(id)
		}
	}
}

// RecordPeerFailure records that a peer did not connect to a replica.
func (t *Tracker) RecordPeerFailure(now time.Duration, name string) {
	t.penalizedUntil[name] = now + t.opts.PeerPenalty
}

// KeepPeers forgets all peers that are not alive any more.
func (t *Tracker) KeepPeers(isAlive func(name string) bool) {
	for name := range t.penalizedUntil {
		if !isAlive(name) {
			delete(t.penalizedUntil, name)
		}
	}
}

// LastPeer returns the peer that connected to a replica of a service last, "" if none is
// known.
func (t *Tracker) LastPeer(serviceName string) string {
	if s := t.services[serviceName]; s != nil {
		return s.peer
	}
	return ""
}

// Order returns at most n peers in the order in which they are asked for a service: the one
// that connected last, the others, then those that failed lately. Peers of the own hall,
// near, and far ones take turns, as a whole hall may be cut off. The last peer must be
// among them to be asked.
func (t *Tracker) Order(now time.Duration, serviceName string, near, far []string, n int) []string {
	out := make([]string, 0, len(near)+len(far))
	for i := range max(len(near), len(far)) {
		out = append(out, near[min(i, len(near)):min(i+1, len(near))]...)
		out = append(out, far[min(i, len(far)):min(i+1, len(far))]...)
	}
	last := t.LastPeer(serviceName)
	rank := func(name string) int {
		switch {
		case now < t.penalizedUntil[name]:
			return 2
		case name == last:
			return 0
		}
		return 1
	}
	slices.SortStableFunc(out, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return out[:min(n, len(out))]
}
