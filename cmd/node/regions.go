package node

import (
	"context"
	"errors"
	"time"

	"quinceroad/coordination/listing"
	"quinceroad/coordination/regions"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// Errors of requests that are restricted to some regions.
var (
	errNoAllowedRegion  = errors.New("no region that may serve the request can")
	errRegionDisallowed = errors.New("the region that served the request no longer may")
)

// regionTrackers holds what this instance has observed of other regions: whether
// they accept requests, and the round-trip times to them.
type regionTrackers struct {
	availability *regions.Availability
	roundTrips   *regions.RoundTrips
}

func newRegionTrackers() regionTrackers {
	return regionTrackers{availability: regions.NewAvailability(), roundTrips: regions.NewRoundTrips()}
}

// allowedRegions returns the regions that may serve the request according to the
// configuration in force, which may have changed since the request arrived.
func (s *requestHandler) allowedRegions() regions.Allowed {
	if config := s.node.snapshot.Load().config; config != s.cachedRegionsConfig {
		s.cachedRegionsConfig, s.cachedRegions = config, s.allowedRegionsIn(config)
	}
	return s.cachedRegions
}

// allowedRegionsIn returns the regions that may serve the request according to a
// configuration. If the configuration no longer has the request's route or customer,
// their previous restrictions apply.
func (s *requestHandler) allowedRegionsIn(config *catalog.Configuration) regions.Allowed {
	route := config.Match(s.req.Host, s.req.Path)
	if route == nil {
		route = s.route
	}
	customer := config.Customers[s.req.Key]
	if customer == nil {
		customer = s.snapshot.config.Customers[s.req.Key]
	}
	if route.Anonymous || customer == nil {
		return regions.Intersect(route.AllowedRegions)
	}
	return regions.Intersect(route.AllowedRegions, customer.AllowedRegions)
}

// replicasInRegions returns the replicas in allowed regions.
func replicasInRegions(allowed regions.Allowed, all []catalog.Replica) []catalog.Replica {
	if !allowed.IsRestricted() {
		return all
	}
	var out []catalog.Replica
	for _, r := range all {
		if allowed.Allows(r.Region) {
			out = append(out, r)
		}
	}
	return out
}

// preferStageRegion returns the replicas in the region where the request's stages ran,
// or in this instance's region if it has no job. If there are none, it returns all.
func (s *requestHandler) preferStageRegion(all []catalog.Replica) []catalog.Replica {
	region := s.node.home
	if s.job != nil {
		region = s.job.region
	}
	var local []catalog.Replica
	for _, r := range all {
		if r.Region == region {
			local = append(local, r)
		}
	}
	if len(local) == 0 {
		return all
	}
	return local
}

// regionOrder returns the regions whose owners may be asked to run the request's
// stages, in the order in which they are asked.
func (s *requestHandler) regionOrder() []string {
	n, snap, allowed := s.node, s.node.snapshot.Load(), s.allowedRegions()
	hasInstances := make(map[string]bool)
	for _, i := range n.liveInstances() {
		hasInstances[i.Region] = true
	}
	var all []regions.Candidate
	for _, region := range snap.regionMap.Names() {
		if allowed.Allows(region) && (region != "" || n.home == "" || snap.list.HasPooled("")) {
			all = append(all, regions.Candidate{Region: region, HasReplicas: snap.hasReplicasFor(region, s.route, s.service.Name), HasInstances: hasInstances[region]})
		}
	}
	return regions.OrderCandidates(n.home, all, s.req.ID)
}

// runStages requests the stages from the owner in the local region or, if that refuses or
// is lost, from one in another region that can run them in time.
func (s *requestHandler) runStages(ctx context.Context, ask *pb.StagesAsk) (job *stageJob, err error) {
	order := s.regionOrder()
	if len(order) == 0 {
		return nil, errNoAllowedRegion
	}
	allowsLate := s.node.settings.AllowsLate()
	ask.LateToo = allowsLate && len(order) == 1
	for i, region := range order {
		if i > 0 && !s.canSpillOverTo(region) {
			continue
		}
		askedAt := s.node.now()
		var failure error
		job, failure = s.runStagesIn(ctx, ask, region)
		s.recordRegionResult(region, failure, s.node.now()-askedAt)
		if failure == nil {
			return job, nil
		}
		var refused *refusedError
		if err == nil || errors.Is(err, errOwnerLost) && errors.As(failure, &refused) {
			err = failure // the client gets the error of the first region that answers
		}
		if errors.As(failure, &refused) {
			s.forecast = refused.forecast
		}
		if ctx.Err() != nil || !errors.As(failure, &refused) && !errors.Is(failure, errOwnerLost) && !errors.Is(failure, errRegionDisallowed) {
			return nil, failure
		}
	}
	var refused *refusedError
	if !allowsLate || ask.LateToo || !errors.As(err, &refused) {
		return nil, err
	}
	ask.LateToo = true // no region can meet the objective: the first one may be late
	return s.runStagesIn(ctx, ask, order[0])
}

// runStagesIn requests the stages from the cell's owner in one region.
func (s *requestHandler) runStagesIn(ctx context.Context, ask *pb.StagesAsk, region string) (*stageJob, error) {
	n := s.node
	ask.Cell = uint32(n.snapshot.Load().cellOfRequest(s.req, region))
	roundTrip := n.roundTripTo(region)
	req := &stagesRequest{
		ask: ask, region: region, arrivedAt: s.req.ArrivedAt, allowedRegions: s.allowedRegions,
		objective: s.route.Objective - roundTrip,
		deadline:  s.timeLimit() - roundTrip,
		onSubmit:  func(owner string) { s.lastOwner = owner },
	}
	return n.runStages(ctx, req)
}

// canSpillOverTo reports whether to request the stages from another region: it has not
// refused recently, and there is time for two round trips, one for the stages and one
// for the request itself.
func (s *requestHandler) canSpillOverTo(region string) bool {
	n := s.node
	n.detectorMu.Lock()
	likelyRefuses := n.regionTrackers.availability.LikelyRefuses(n.now(), region, s.rank)
	n.detectorMu.Unlock()
	left := s.route.Objective - s.forecast.engine - s.elapsed()
	return !likelyRefuses && left > 2*n.roundTripTo(region)
}

// distanceTo returns the distance from this instance to a hall.
func (n *Node) distanceTo(hall string) regions.Distance {
	return n.regionMap.Distance(n.settings.Hall, hall)
}

// roundTripTo returns the estimated round-trip time to a region.
func (n *Node) roundTripTo(region string) time.Duration {
	if region == n.home {
		return 0
	}
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	return n.regionTrackers.roundTrips.Estimate(region)
}

// recordRegionResult records how a region answered a request's stages.
func (s *requestHandler) recordRegionResult(region string, failure error, took time.Duration) {
	n := s.node
	var refused *refusedError
	isRefused := errors.As(failure, &refused)
	n.detectorMu.Lock()
	switch {
	case isRefused:
		n.regionTrackers.availability.RecordRefusal(n.now(), region, s.rank)
		n.regionTrackers.roundTrips.Observe(region, took)
	case errors.Is(failure, errOwnerLost):
		n.regionTrackers.availability.RecordNoAnswer(n.now(), region)
	case failure == nil:
		n.regionTrackers.availability.RecordAnswer(region)
	}
	n.detectorMu.Unlock()
	if region == n.home {
		return
	}
	n.counters.spilloverRequests.Inc(1)
	if isRefused {
		n.counters.spilloverRefusals.Inc(1)
	}
	event.NodeRegionAsked.Log(n.log, "request", s.req.ID, "region", region, "refused", isRefused, "error", failure, "took", took)
}

// logHallsWithoutRegion logs each hall of the updated replicas that belongs to no region,
// once.
func (n *Node) logHallsWithoutRegion(list *listing.List, updated []catalog.Replica) {
	if !n.regionMap.HasRegions() {
		return
	}
	for i := range updated {
		hall := updated[i].Hall
		if updated[i].Region != "" {
			continue
		}
		if _, logged := n.regionlessHalls.LoadOrStore(hall, true); !logged {
			event.NodeHallWithoutRegion.Log(n.log, "hall", hall, "replicas", replicasInHall(list, hall))
		}
	}
}

func replicasInHall(list *listing.List, hall string) int {
	count := 0
	for e := range list.All() {
		if e.Hall == hall {
			count++
		}
	}
	return count
}
