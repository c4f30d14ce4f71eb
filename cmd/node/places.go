package node

import (
	"context"
	"errors"
	"net"
	"time"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/regions"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// The errors of requests that some regions may not serve.
var (
	errNoRegion = errors.New("no region that may serve the request can")
	errNarrowed = errors.New("the region that served the request no longer may")
)

// lending is what an instance knows of other regions.
type lending struct {
	short *regions.Availability
	trips *regions.RoundTrips
}

func newLending() lending {
	return lending{short: regions.NewAvailability(), trips: regions.NewRoundTrips()}
}

// homes returns the regions that may serve the request, by the configuration in
// force: it may have changed since the request came.
func (s *serving) homes() regions.Allowed {
	if config := s.node.world.Load().config; config != s.boundBy {
		s.boundBy, s.bound = config, s.boundTo(config)
	}
	return s.bound
}

// boundTo returns the regions that may serve the request by a configuration; a
// route or customer that it no longer has binds as it did.
func (s *serving) boundTo(config *catalog.Configuration) regions.Allowed {
	route := config.Match(s.req.Host, s.req.Path)
	if route == nil {
		route = s.route
	}
	customer := config.Customers[s.req.Key]
	if customer == nil {
		customer = s.world.config.Customers[s.req.Key]
	}
	if route.Anonymous || customer == nil {
		return regions.Intersect(route.AllowedRegions)
	}
	return regions.Intersect(route.AllowedRegions, customer.AllowedRegions)
}

// permitted returns the replicas in regions that may serve the request.
func permitted(homes regions.Allowed, all []catalog.Replica) []catalog.Replica {
	if !homes.IsRestricted() {
		return all
	}
	var out []catalog.Replica
	for _, r := range all {
		if homes.Allows(r.Region) {
			out = append(out, r)
		}
	}
	return out
}

// nearest returns the replicas of the region that has run the request's stages,
// or of the own one; all where it has none.
func (s *serving) nearest(all []catalog.Replica) []catalog.Replica {
	region := s.node.home
	if s.job != nil {
		region = s.job.region
	}
	var near []catalog.Replica
	for _, r := range all {
		if r.Region == region {
			near = append(near, r)
		}
	}
	if len(near) == 0 {
		return all
	}
	return near
}

// inTurn returns the regions whose owners may be asked for the request's
// stages, the first one first.
func (s *serving) inTurn() []string {
	n, w, homes := s.node, s.node.world.Load(), s.homes()
	manned := make(map[string]bool)
	for _, i := range n.alive() {
		manned[i.Region] = true
	}
	var all []regions.Candidate
	for _, region := range w.places.Names() {
		if homes.Allows(region) && (region != "" || n.home == "" || w.holds("")) {
			all = append(all, regions.Candidate{Region: region, HasReplicas: w.serves(region, s.route, s.service.Name), HasInstances: manned[region]})
		}
	}
	return regions.OrderCandidates(n.home, all, s.req.ID)
}

// stages has the request's stages run in the own region or, where that refuses,
// in another one that has the time to.
func (s *serving) stages(ctx context.Context, ask *pb.StagesAsk) (job *stageJob, err error) {
	turn := s.inTurn()
	if len(turn) == 0 {
		return nil, errNoRegion
	}
	mayBeLate := s.node.settings.LateCounts()
	ask.LateToo = mayBeLate && len(turn) == 1
	for i, region := range turn {
		if i > 0 && !s.worthAsking(region) {
			continue
		}
		asked := s.node.now()
		var failure error
		job, failure = s.stagesIn(ctx, ask, region)
		s.noteLending(region, failure, s.node.now()-asked)
		if failure == nil {
			return job, nil
		}
		var refused *refusedError
		if err == nil || errors.Is(err, errOwnerLost) && errors.As(failure, &refused) {
			err = failure // the client is told what the nearest one says that answers
		}
		if errors.As(failure, &refused) {
			s.expects = refused.expects
		}
		if ctx.Err() != nil || !errors.As(failure, &refused) && !errors.Is(failure, errOwnerLost) && !errors.Is(failure, errNarrowed) {
			return nil, failure
		}
	}
	var refused *refusedError
	if !mayBeLate || ask.LateToo || !errors.As(err, &refused) {
		return nil, err
	}
	ask.LateToo = true // nobody has it in time: the nearest one may have it late
	return s.stagesIn(ctx, ask, turn[0])
}

// stagesIn has the request's stages run in one region.
func (s *serving) stagesIn(ctx context.Context, ask *pb.StagesAsk, region string) (*stageJob, error) {
	n := s.node
	ask.Cell = uint32(n.world.Load().cellOf(s.req, region))
	trip := n.trip(region)
	j := &stageWork{
		ask: ask, region: region, began: s.req.Arrived, homes: s.homes,
		objective: s.route.Objective - trip,
		deadline:  s.allowed() - trip,
		asked:     func(owner string) { s.owner = owner },
	}
	return n.runStages(ctx, j)
}

// worthAsking reports whether another region may be asked: it did not refuse
// lately, and there is time for the way there and back, twice: for the question,
// and for the request itself.
func (s *serving) worthAsking(region string) bool {
	n := s.node
	n.detectorMu.Lock()
	short := n.spillover.short.LikelyRefuses(n.now(), region, s.rank)
	n.detectorMu.Unlock()
	left := s.route.Objective - s.expects.engine - s.since()
	return !short && left > 2*n.trip(region)
}

// distance returns how far a hall is from this instance.
func (n *Node) distance(hall string) regions.Distance {
	return n.places.Distance(n.settings.Hall, hall)
}

// trip is the time to a region and back.
func (n *Node) trip(region string) time.Duration {
	if region == n.home {
		return 0
	}
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	return n.spillover.trips.Estimate(region)
}

// noteLending takes in what a region said to a request's stages.
func (s *serving) noteLending(region string, failure error, took time.Duration) {
	n := s.node
	var refused *refusedError
	isRefused := errors.As(failure, &refused)
	n.detectorMu.Lock()
	switch {
	case isRefused:
		n.spillover.short.RecordRefusal(n.now(), region, s.rank)
		n.spillover.trips.Observe(region, took)
	case errors.Is(failure, errOwnerLost):
		n.spillover.short.RecordNoAnswer(n.now(), region)
	case failure == nil:
		n.spillover.short.RecordAnswer(region)
	}
	n.detectorMu.Unlock()
	if region == n.home {
		return
	}
	n.counters.spilloverAsks.Inc(1)
	if isRefused {
		n.counters.spilloverRefusals.Inc(1)
	}
	event.NodeRegionAsked.Log(n.log, "request", s.req.ID, "region", region, "refused", isRefused, "error", failure, "took", took)
}

// logUnplaced says once of each hall that nobody can place it.
func (n *Node) logUnplaced(all []catalog.Replica) {
	if !n.places.HasRegions() {
		return
	}
	replicas := make(map[string]int)
	for _, r := range all {
		if r.Region == "" {
			replicas[r.Hall]++
		}
	}
	for hall, count := range replicas {
		if _, said := n.regionlessHalls.LoadOrStore(hall, true); !said {
			event.NodeHallUnplaced.Log(n.log, "hall", hall, "replicas", count)
		}
	}
}

// noteFar keeps which hosts are in other regions, as far as is known.
func (n *Node) noteFar(alive []gossip.Instance) {
	far := make(map[string]bool)
	for _, i := range alive {
		if host, _, err := net.SplitHostPort(i.HeartbeatAddress); err == nil && i.Region != n.home {
			far[host] = true
		}
	}
	n.remoteHosts.Store(&far)
}

// isFarAddress reports whether an instance's address is in another region.
func (n *Node) isFarAddress(addr string) bool {
	far := n.remoteHosts.Load()
	if far == nil || len(*far) == 0 {
		return false
	}
	host, _, err := net.SplitHostPort(addr)
	return err == nil && (*far)[host]
}
