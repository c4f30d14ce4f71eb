package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/health"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// prepareStages asks the cell's owner to run the request's stages and to choose its engine,
// unless the request has a job already.
func (s *requestHandler) prepareStages(ctx context.Context) error {
	if s.job != nil && !s.allowedRegions().Allows(s.job.region) {
		s.endJob()
	}
	if s.job != nil || (s.service.Engine == nil && len(s.route.Stages) == 0) {
		return nil
	}
	if err := s.checkServable(); err != nil {
		return err
	}
	ask, items := s.buildStagesAsk()
	job, err := s.runStages(ctx, ask)
	if errors.Is(err, errOwnerLost) && items == 0 && !isDone(ctx) {
		return nil // without stages to run, this instance chooses the replica itself
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		s.forecast = refused.forecast
	}
	if err != nil {
		return err
	}
	job.crashes = int(ask.Ended)
	s.job = job
	s.stagesDuration, s.forecast = s.elapsed(), job.forecast
	return nil
}

// buildStagesAsk returns the message to the owner, and the number of items in it.
func (s *requestHandler) buildStagesAsk() (*pb.StagesAsk, int) {
	ask := &pb.StagesAsk{
		RequestId: s.req.ID,
		Key:       s.req.ItemKey,
		Rank:      uint32(s.rank),
		Engine:    s.service.Name,
		Regions:   s.allowedRegions().Names(),
		TokensOut: uint32(s.req.MaxOutputTokens),
		SlackUs:   (s.route.Objective - s.elapsed()).Microseconds(),
		Again:     s.isClientRetry() || s.stageReruns > 0 || len(s.tried) > 0,
		Newer:     s.allowsTarget(s.node.snapshot.Load()),
		Ended:     uint32(s.node.judge(s.features()).Ends),

		Fingerprint: uint64(s.fingerprint),
		Customer:    boundedCustomerName(s.customer),
	}
	ask.Build, ask.Bound = s.binding.Build()
	ask.CustomerPart, ask.CustomerOf = s.node.customers.RecentShare(s.node.now(), ask.Customer)
	for _, p := range s.req.Prompt {
		ask.Parts = append(ask.Parts, &pb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	for id := range s.tried {
		ask.Avoid = append(ask.Avoid, id)
	}
	for id := range s.avoid {
		ask.Avoid = append(ask.Avoid, id)
	}
	ask.Avoid = append(ask.Avoid, s.node.replicasInBackoff(s.service.Name)...)
	ask.Avoid = s.node.announcedReplicaIDs(ask.Avoid)
	total := 0
	for i, st := range s.route.Stages {
		work := &pb.StageWork{Service: st.Service, Pieces: uint32(s.req.ItemCounts[i]), Bytes: st.ResultBytes}
		for _, a := range st.DependsOn {
			work.After = append(work.After, uint32(a))
		}
		ask.Stages = append(ask.Stages, work)
		total += s.req.ItemCounts[i]
	}
	return ask, total
}

func (s *requestHandler) endJob() {
	if s.job != nil {
		s.job.end()
		s.job = nil
	}
}

// pickReplica chooses the replica for the next attempt, and where an engine should
// fetch cached prompt parts from: the owner's choice, or this instance's own if
// there is none or it was tried.
func (s *requestHandler) pickReplica() (catalog.Replica, string, error) {
	s.chosenBy = chosenByInstance
	if r, ok := s.ownerChoice(); ok {
		s.chosenBy = chosenByOwner
		return r, s.job.fetchFrom, nil
	}
	n := s.node
	snap := n.snapshot.Load() // replicas may have drained since the request arrived
	now := n.now()
	listed := s.candidates(snap)
	if len(listed) == 0 && s.binding.IsBound() {
		return catalog.Replica{}, "", errNoReplicaOfBuild
	}
	if _, _, eligible := snap.list.Count(s.service.Name); len(listed) == 0 && eligible > 0 {
		return catalog.Replica{}, "", errNoAllowedRegion
	}
	targets, others := s.splitByTarget(snap, listed)
	sendableTargets, targetsBackoff := s.sendableReplicas(now, s.withinWarmUpQuota(now, targets))
	sendableOthers, othersBackoff := s.sendableReplicas(now, s.withinWarmUpQuota(now, others))
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	candidates := s.healthyCandidates(now, sendableTargets, len(targets))
	if len(candidates) == 0 {
		candidates = s.healthyCandidates(now, sendableOthers, len(others))
	}
	if len(candidates) == 0 {
		return catalog.Replica{}, "", s.noReplicaError(snap, append(sendableTargets, sendableOthers...), earlierBackoff(targetsBackoff, othersBackoff))
	}
	candidates = n.withoutSuspects(candidates)
	if s.service.Engine == nil {
		return n.loads.PickReplica(now, n.distanceTo, candidates, newRandom()), "", nil
	}
	if len(s.trials) > 0 { // at random: a choice by cached prefix would put the same requests together at one engine again
		r := candidates[newRandom().IntN(len(candidates))]
		return r, "", nil
	}
	e := n.loads.PickEngine(now, s.req.SharedPrefix(), s.req.ID, s.preferStageRegion(candidates))
	return e.Replica, e.FetchFrom, nil
}

// candidates returns the replicas among which this instance chooses. Of many engines these
// are some, so that the choice does not cost more in a larger fleet: the same ones for all
// requests that share a prompt. When the request has tried some of them, it may go to all.
func (s *requestHandler) candidates(snap *snapshot) []catalog.Replica {
	all := s.eligibleReplicas(snap)
	if s.service.Engine == nil || len(all) <= maxComparedEngines || len(s.tried)+len(s.avoid) > 1 {
		return all
	}
	key := s.req.ID
	if shared := s.req.SharedPrefix(); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	start := int(platform.HashString(key) % uint64(len(all)-comparedEngines))
	return all[start : start+comparedEngines]
}

// eligibleReplicas returns the replicas that accept work and at which the request may run.
func (s *requestHandler) eligibleReplicas(snap *snapshot) []catalog.Replica {
	all := snap.eligible(s.service.Name)
	if build, bound := s.binding.Build(); bound {
		all = snap.list.EligibleOfBuild(s.service.Name, build)
	}
	return replicasInRegions(s.allowedRegions(), s.loggedReplicas(snap, all))
}

const (
	maxComparedEngines = 400 // engines of which all are compared for a request
	comparedEngines    = 100 // of more, this many
)

// healthyCandidates returns the candidates that are untried and not ejected, and
// the ejected ones too if they are the majority; listed is the number of all
// replicas. The caller holds detectorMu.
func (s *requestHandler) healthyCandidates(now time.Duration, candidates []catalog.Replica, listed int) []catalog.Replica {
	var healthy, ejected []catalog.Replica
	for _, r := range candidates {
		switch {
		case s.avoid[r.ID] || s.tried[r.ID]:
		case s.node.detector.IsEjected(now, r.ID):
			ejected = append(ejected, r)
		default:
			healthy = append(healthy, r)
		}
	}
	if len(healthy) < len(ejected) && len(healthy) < listed/2 {
		healthy = append(healthy, ejected...) // when most are ejected, the cause is elsewhere
	}
	return healthy
}

// noReplicaError returns why there is no replica for the request; backoff is the
// advisory error, if any, of the candidates that would otherwise be eligible.
func (s *requestHandler) noReplicaError(snap *snapshot, candidates []catalog.Replica, backoff error) error {
	switch _, present, listed := snap.list.Count(s.service.Name); {
	case backoff != nil:
		return backoff
	case listed == 0 && s.checkAllDraining(snap) != nil:
		return errAllDraining
	case listed > 0 && len(candidates) == 0:
		return errReplicasWarming
	case listed == 0 && present > 0:
		return errHallsDrained
	}
	return errNoReplicaReached
}

// withinWarmUpQuota returns the replicas that this instance may choose itself:
// warming ones only within its quota, which is zero for engines.
func (s *requestHandler) withinWarmUpQuota(now time.Duration, all []catalog.Replica) []catalog.Replica {
	if s.service.WarmUp == nil || !slices.ContainsFunc(all, func(r catalog.Replica) bool { return r.WarmingUntil > now }) {
		return all
	}
	instances := s.node.acceptingInstances()
	var out []catalog.Replica
	for _, r := range all {
		if r.WarmingUntil <= now || s.service.Engine == nil && s.node.allowsWarmingReplica(now, s.service, r.ID, instances, false) {
			out = append(out, r)
		}
	}
	return out
}

// ownerChoice returns the engine that the owner chose, and whether the request may be sent
// to it now. An engine that was tried or refused the request may not be used.
func (s *requestHandler) ownerChoice() (catalog.Replica, bool) {
	if s.job == nil || s.job.engine == "" || s.tried[s.job.engine] || s.avoid[s.job.engine] {
		return catalog.Replica{}, false
	}
	snap := s.node.snapshot.Load()
	r, listed := snap.list.Replica(s.job.engine)
	if !listed || r.Service != s.service.Name || !r.AcceptsWork() || !s.binding.Allows(r.Version) || !s.mayBeginAt(snap, &r) {
		return catalog.Replica{}, false
	}
	return r, s.canSendToOwnerChoice()
}

// canSendToOwnerChoice reports whether the advisories of the engine that the owner chose
// allow a send. A send grant that the owner has consumed belongs to the request.
func (s *requestHandler) canSendToOwnerChoice() bool {
	n := s.node
	ok := false
	n.advisories.withTracker(func(t *advisory.Tracker) {
		if ok, _ = t.CanSend(n.now(), s.job.engine); ok && !s.job.hasSendGrant {
			ok = n.advisories.rateLimits.NextGrant(n.now(), s.job.engine) <= n.now()
		}
	})
	return ok
}

// recordHealth records an attempt's signal in the service's failure rate and in the
// health detector.
func (s *requestHandler) recordHealth(id string, signal health.Signal) {
	serviceRate := 0.0
	s.withServiceRates(func(r *serviceRates) {
		failed := 0.0
		if signal == health.Failure || signal == health.Broken {
			failed = 1
		}
		r.failureRate += failureRateWeight * (failed - r.failureRate)
		serviceRate = r.failureRate
	})
	n := s.node
	now := n.now()
	n.detectorMu.Lock()
	wasEjected := n.detector.IsEjected(now, id)
	n.detector.Record(now, id, signal, serviceRate)
	isEjected := n.detector.IsEjected(now, id)
	n.detectorMu.Unlock()
	switch {
	case signal == health.Full: // not logged, as a full replica signals it for each request
	case isEjected && !wasEjected:
		event.NodeReplicaEjected.Log(n.log, "replica", id, "why", signal, "usual", serviceRate, "by", n.settings.Name)
	case wasEjected && !isEjected:
		event.NodeReplicaReinstated.Log(n.log, "replica", id)
	}
}
