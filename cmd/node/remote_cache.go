package node

import (
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/ownership"
	"quinceroad/coordination/placement"
	"quinceroad/coordination/regions"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	// Minimum number of shared tokens not cached in this region for which other regions are
	// queried. A query costs about as much as computing this many tokens.
	minRemotePrefixTokens = 64
	// Timeout of a query to an owner in another region: two round trips between cities of
	// one country.
	remoteCacheTimeout = 150 * time.Millisecond
)

// queryRemoteCaches asks the owners in other regions which engine has cached the
// longest prefix of the request's prompt, if the shared parts are not cached here.
// Fetching them costs a tenth of computing them, also from another region. Each part
// is thus computed once in the fleet and fetched once by each region. The queries run
// concurrently with the stages.
func (r *ownedRequest) queryRemoteCaches() {
	n := r.cell.owner.node
	parts := r.request.Parts
	if len(parts) < 2 || !n.regionMap.HasRegions() {
		return
	}
	shared := parts[:len(parts)-1]
	total := 0
	for _, p := range shared {
		total += p.Tokens
	}
	r.cell.mu.Lock()
	local := r.cell.engines.LongestCachedPrefix(n.now(), r.request.Service, shared)
	r.cell.mu.Unlock()
	home, _ := n.regionMap.RegionOfCell(r.cell.number)
	if total-local.Tokens < minRemotePrefixTokens || !r.canAwaitRemotePrefix() {
		return
	}
	allowed := regions.Intersect(r.ask.Regions)
	var others []string
	for _, region := range n.regionMap.Names() {
		if region != home && region != "" && allowed.Allows(region) && !n.isRegionUnresponsive(region) {
			others = append(others, region)
		}
	}
	if len(others) > 0 {
		r.remoteCache = n.longestRemotePrefix(others, r.request.Service, shared)
	}
}

// longestRemotePrefix queries regions concurrently. The returned channel receives the
// longest cached prefix once all have answered.
func (n *Node) longestRemotePrefix(others []string, service string, shared []catalog.PromptPart) <-chan placement.CachedPrefix {
	answers := make(chan placement.CachedPrefix, len(others))
	for _, region := range others {
		go func() { answers <- n.cachedPrefixIn(region, service, shared) }()
	}
	longest := make(chan placement.CachedPrefix, 1)
	go func() {
		var best placement.CachedPrefix
		for range others {
			if prefix := <-answers; prefix.Tokens > best.Tokens {
				best = prefix
			}
		}
		longest <- best
	}()
	return longest
}

// awaitRemotePrefix returns the longest cached prefix in other regions, or none if
// they have not answered in time.
func (r *ownedRequest) awaitRemotePrefix() placement.CachedPrefix {
	if r.remoteCache == nil {
		return placement.CachedPrefix{}
	}
	wait := time.NewTimer(remoteCacheTimeout - (r.cell.owner.node.now() - r.startedAt))
	defer wait.Stop()
	select {
	case prefix := <-r.remoteCache:
		return prefix
	default:
	}
	select {
	case prefix := <-r.remoteCache:
		return prefix
	case <-wait.C:
		return placement.CachedPrefix{}
	}
}

// canAwaitRemotePrefix reports whether the request can wait for other regions: it
// has stages, which take longer, or enough slack.
func (r *ownedRequest) canAwaitRemotePrefix() bool {
	return len(decodeJob(r.ask).Stages) > 0 || r.request.Slack > 2*remoteCacheTimeout
}

// cachedPrefixIn asks the owner of a region's cell for the longest prefix of a
// prompt that an engine there has cached.
func (n *Node) cachedPrefixIn(region, service string, shared []catalog.PromptPart) placement.CachedPrefix {
	snap := n.snapshot.Load()
	cell := snap.regionMap.CellNumber(region, int(platform.HashString(shared[len(shared)-1].ID)%uint64(snap.cellCount(region))))
	owner, ok := ownership.Owner(n.live(), cell, region)
	if !ok || owner.Region != region { // no instance of that region owns the cell
		return placement.CachedPrefix{}
	}
	ask := &pb.KeptAsk{Cell: uint32(cell), Engine: service}
	for _, p := range shared {
		ask.Parts = append(ask.Parts, &pb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	n.counters.remoteCacheLookups.Inc(1)
	n.counters.remoteBytes.cacheLookups.Inc(int64(proto.Size(ask)))
	reply := &pb.KeptReply{}
	err := n.links.Call(owner.PeerAddress, frame.CachedPrefix, ask, reply, remoteCacheTimeout)
	n.recordRegionResponse(region, err == nil)
	if err != nil {
		n.logSideCallFailure("cached prefix in "+region, owner.Name, err)
		return placement.CachedPrefix{}
	}
	if reply.Tokens > 0 {
		n.counters.remoteCacheHits.Inc(1)
	}
	return placement.CachedPrefix{Address: reply.Address, Tokens: int(reply.Tokens)}
}

func (n *Node) isRegionUnresponsive(region string) bool {
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	return n.regionTrackers.availability.IsUnresponsive(n.now(), region)
}

// recordRegionResponse records whether a region answered.
func (n *Node) recordRegionResponse(region string, answered bool) {
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	if answered {
		n.regionTrackers.availability.RecordAnswer(region)
		return
	}
	n.regionTrackers.availability.RecordNoAnswer(n.now(), region)
}

// answerCacheQuery returns the longest prefix of a prompt that an engine of a cell
// has cached, to an owner in another region.
func (n *Node) answerCacheQuery(first []byte) proto.Message {
	ask := &pb.KeptAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(n.log, "what", "query for cached prompts", "from", "", "error", err)
		return &pb.KeptReply{}
	}
	c := n.owner.ownedCell(int(ask.Cell))
	if c == nil {
		return &pb.KeptReply{}
	}
	var parts []catalog.PromptPart
	for _, p := range ask.Parts {
		parts = append(parts, catalog.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.engines.LongestCachedPrefix(n.now(), ask.Engine, parts)
	return &pb.KeptReply{Address: longest.Address, Tokens: uint32(longest.Tokens)}
}
