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
	leastFar = 64                     // shared tokens that no engine of the region keeps, from which others are asked: about where the question costs as much as reading them
	farFor   = 150 * time.Millisecond // of a question to an owner in another region: twice the way there and back between cities of one country
)

// askFar asks the owners in other regions which engine keeps most of the
// request's prompt, when none here keeps its shared parts: to move them is a
// tenth of the price of reading them, also from there. Each part is so read once
// in a fleet and moved once to each region. The stages run meanwhile.
func (r *ownedRequest) askFar() {
	n := r.cell.owner.node
	parts := r.request.Parts
	if len(parts) < 2 || !n.places.HasRegions() {
		return
	}
	shared := parts[:len(parts)-1]
	total := 0
	for _, p := range shared {
		total += p.Tokens
	}
	r.cell.mu.Lock()
	here := r.cell.engines.LongestCachedPrefix(n.now(), r.request.Service, shared)
	r.cell.mu.Unlock()
	home, _ := n.places.RegionOfCell(r.cell.number)
	if total-here.Tokens < leastFar || !r.inTime() {
		return
	}
	allowed := regions.Intersect(r.ask.Regions)
	var others []string
	for _, region := range n.places.Names() {
		if region != home && region != "" && allowed.Allows(region) && !n.silentRegion(region) {
			others = append(others, region)
		}
	}
	if len(others) > 0 {
		r.far = n.mostKept(others, r.request.Service, shared)
	}
}

// mostKept asks some regions at once, and tells which engine keeps most.
func (n *Node) mostKept(others []string, service string, shared []catalog.PromptPart) <-chan placement.CachedPrefix {
	answers := make(chan placement.CachedPrefix, len(others))
	for _, region := range others {
		go func() { answers <- n.keptIn(region, service, shared) }()
	}
	most := make(chan placement.CachedPrefix, 1)
	go func() {
		var best placement.CachedPrefix
		for range others {
			if k := <-answers; k.Tokens > best.Tokens {
				best = k
			}
		}
		most <- best
	}()
	return most
}

// heardFar returns what the others said, once they have or their time is over.
func (r *ownedRequest) heardFar() placement.CachedPrefix {
	if r.far == nil {
		return placement.CachedPrefix{}
	}
	wait := time.NewTimer(farFor - (r.cell.owner.node.now() - r.began))
	defer wait.Stop()
	select {
	case k := <-r.far:
		return k
	default:
	}
	select {
	case k := <-r.far:
		return k
	case <-wait.C:
		return placement.CachedPrefix{}
	}
}

// inTime reports whether the request can wait for others' answers: its stages
// take longer, or its objective is far.
func (r *ownedRequest) inTime() bool {
	return len(jobOf(r.ask).Stages) > 0 || r.request.Slack > 2*farFor
}

// keptIn asks the owner of a region's cell what engines there keep of a prompt.
func (n *Node) keptIn(region, service string, shared []catalog.PromptPart) placement.CachedPrefix {
	w := n.world.Load()
	cell := w.places.CellNumber(region, int(platform.Hash(shared[len(shared)-1].ID)%uint64(w.cells(region))))
	owners := ownership.Rank(n.alive(), cell, region)
	if len(owners) == 0 || owners[0].Region != region { // nobody is there to know
		return placement.CachedPrefix{}
	}
	ask := &pb.KeptAsk{Cell: uint32(cell), Engine: service}
	for _, p := range shared {
		ask.Parts = append(ask.Parts, &pb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	n.counters.remoteCacheLookups.Inc(1)
	n.counters.remoteBytes.cacheLookups.Inc(int64(proto.Size(ask)))
	reply := &pb.KeptReply{}
	err := n.links.Call(owners[0].PeerAddress, frame.Kept, ask, reply, farFor)
	n.noteHeard(region, err == nil)
	if err != nil {
		n.logAside("kept prompts of "+region, owners[0].Name, err)
		return placement.CachedPrefix{}
	}
	if reply.Tokens > 0 {
		n.counters.remoteCacheHits.Inc(1)
	}
	return placement.CachedPrefix{Address: reply.Address, Tokens: int(reply.Tokens)}
}

func (n *Node) silentRegion(region string) bool {
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	return n.spillover.short.IsUnresponsive(n.now(), region)
}

// noteHeard takes in whether a region answered.
func (n *Node) noteHeard(region string, heard bool) {
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	if heard {
		n.spillover.short.RecordAnswer(region)
		return
	}
	n.spillover.short.RecordNoAnswer(n.now(), region)
}

// answerKept tells another region's owner what engines of a cell keep.
func (n *Node) answerKept(first []byte) proto.Message {
	ask := &pb.KeptAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageBroken.Log(n.log, "what", "question for kept prompts", "from", "", "error", err)
		return &pb.KeptReply{}
	}
	c := n.owner.owned(int(ask.Cell))
	if c == nil {
		return &pb.KeptReply{}
	}
	var parts []catalog.PromptPart
	for _, p := range ask.Parts {
		parts = append(parts, catalog.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	most := c.engines.LongestCachedPrefix(n.now(), ask.Engine, parts)
	return &pb.KeptReply{Address: most.Address, Tokens: uint32(most.Tokens)}
}
