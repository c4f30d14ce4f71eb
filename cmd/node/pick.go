package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/health"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// prepare has the request's stages run and its engine chosen by their owner,
// unless that has been done.
func (s *serving) prepare(ctx context.Context) error {
	if s.job != nil && !s.homes().Allows(s.job.region) {
		s.endJob()
	}
	if s.job != nil || (s.service.Engine == nil && len(s.route.Stages) == 0) {
		return nil
	}
	if err := s.servable(); err != nil {
		return err
	}
	ask, pieces := s.ask()
	job, err := s.stages(ctx, ask)
	if errors.Is(err, errOwnerLost) && pieces == 0 && !done(ctx) {
		return nil // this instance chooses by itself
	}
	var refused *refusedError
	if errors.As(err, &refused) {
		s.expects = refused.expects
	}
	if err != nil {
		return err
	}
	job.ended = int(ask.Ended)
	s.job = job
	s.staged, s.expects = s.since(), job.expects
	return nil
}

// ask returns what the owner is asked, and how many pieces that is.
func (s *serving) ask() (*pb.StagesAsk, int) {
	ask := &pb.StagesAsk{
		RequestId: s.req.ID,
		Key:       s.req.PieceKey,
		Rank:      uint32(s.rank),
		Engine:    s.service.Name,
		Regions:   s.homes().Names(),
		TokensOut: uint32(s.req.TokensOut),
		SlackUs:   (s.route.Objective - s.since()).Microseconds(),
		Again:     s.came() || s.redone > 0 || len(s.tried) > 0,
		Newer:     s.allowsTarget(s.node.world.Load()),
		Ended:     uint32(s.node.crashesUnder(s.fingerprint)),

		Fingerprint: uint64(s.fingerprint),
		Customer:    nameOf(s.customer),
	}
	ask.CustomerPart, ask.CustomerOf = s.node.customers.usual(s.node.now(), ask.Customer)
	for _, p := range s.req.Prompt {
		ask.Parts = append(ask.Parts, &pb.PromptPart{Id: p.ID, Tokens: uint32(p.Tokens)})
	}
	for id := range s.tried {
		ask.Avoid = append(ask.Avoid, id)
	}
	for id := range s.avoid {
		ask.Avoid = append(ask.Avoid, id)
	}
	ask.Avoid = append(ask.Avoid, s.node.restingReplicas(s.service.Name)...)
	ask.Avoid = s.node.spokenAll(ask.Avoid)
	total := 0
	for i, st := range s.route.Stages {
		work := &pb.StageWork{Service: st.Service, Pieces: uint32(s.req.Pieces[i]), Bytes: st.ResultBytes}
		for _, a := range st.DependsOn {
			work.After = append(work.After, uint32(a))
		}
		ask.Stages = append(ask.Stages, work)
		total += s.req.Pieces[i]
	}
	return ask, total
}

func (s *serving) endJob() {
	if s.job != nil {
		s.job.end()
		s.job = nil
	}
}

// pick chooses the replica for the next attempt: the owner's choice, or this
// instance's own where there is none or it was tried.
func (s *serving) pick() (catalog.Replica, string, error) {
	s.chosen = byInstance
	if r, ok := s.ownersChoice(); ok {
		s.chosen = byOwner
		return r, s.job.fetch, nil
	}
	n := s.node
	world := n.world.Load() // replicas may have left since the request came
	now := n.now()
	listed := permitted(s.homes(), world.services[s.service.Name])
	if len(listed) == 0 && len(world.services[s.service.Name]) > 0 {
		return catalog.Replica{}, "", errNoRegion
	}
	newer, older := s.splitByTarget(world, listed)
	ableNew, restNew := s.mayAll(now, s.able(now, newer))
	ableOld, restOld := s.mayAll(now, s.able(now, older))
	n.detectorMu.Lock()
	defer n.detectorMu.Unlock()
	fit := s.fit(now, ableNew, len(newer))
	if len(fit) == 0 {
		fit = s.fit(now, ableOld, len(older))
	}
	if len(fit) == 0 {
		return catalog.Replica{}, "", s.none(world, append(ableNew, ableOld...), sooner(restNew, restOld))
	}
	fit = n.withoutSuspects(fit)
	if s.service.Engine == nil {
		return n.loads.PickReplica(now, n.distance, fit, newRandom()), "", nil
	}
	if s.trial != nil { // not where its prompt is kept: all that were beside it would follow it there
		r := fit[newRandom().IntN(len(fit))]
		return r, "", nil
	}
	e := n.loads.PickEngine(now, s.req.Shared(), s.req.ID, s.nearest(fit))
	return e.Replica, e.FetchFrom, nil
}

// fit returns those of the replicas that the request may go to which are well,
// of so many that there are. It needs judgeMu.
func (s *serving) fit(now time.Duration, able []catalog.Replica, listed int) []catalog.Replica {
	var fit, sick []catalog.Replica
	for _, r := range able {
		switch {
		case s.avoid[r.ID] || s.tried[r.ID]:
		case s.node.detector.IsEjected(now, r.ID):
			sick = append(sick, r)
		default:
			fit = append(fit, r)
		}
	}
	if len(fit) < len(sick) && len(fit) < listed/2 {
		fit = append(fit, sick...) // when most seem sick, the cause is elsewhere
	}
	return fit
}

// none says why there is no replica for the request; rest is why those that might
// take it don't.
func (s *serving) none(w *world, able []catalog.Replica, rest error) error {
	switch listed := len(w.services[s.service.Name]); {
	case rest != nil:
		return rest
	case listed == 0 && s.allLeave(w) != nil:
		return errLeaving
	case listed > 0 && len(able) == 0:
		return errCold
	case listed == 0 && w.sizes[s.service.Name] > 0:
		return errEmptied
	}
	return errUnreached
}

// able returns the replicas that this instance may choose by itself: not the
// cold ones beyond its part of what they carry, which for engines is none.
func (s *serving) able(now time.Duration, all []catalog.Replica) []catalog.Replica {
	if s.service.WarmUp == nil || !slices.ContainsFunc(all, func(r catalog.Replica) bool { return r.WarmingUntil > now }) {
		return all
	}
	instances := s.node.taking()
	var out []catalog.Replica
	for _, r := range all {
		if r.WarmingUntil <= now || s.service.Engine == nil && s.node.allowsCold(now, s.service, r.ID, instances, false) {
			out = append(out, r)
		}
	}
	return out
}

func (s *serving) ownersChoice() (catalog.Replica, bool) {
	if s.job == nil || s.job.engine == "" || s.tried[s.job.engine] || s.avoid[s.job.engine] {
		return catalog.Replica{}, false
	}
	for _, r := range s.node.world.Load().services[s.service.Name] {
		if r.ID == s.job.engine {
			return r, s.mayUseChoice()
		}
	}
	return catalog.Replica{}, false
}

// mayUseChoice reports whether what the owner's choice states allows it: a turn
// that the owner has counted is the request's.
func (s *serving) mayUseChoice() bool {
	n := s.node
	ok := false
	n.advisories.with(func(b *advisory.Tracker) {
		if ok, _ = b.CanSend(n.now(), s.job.engine); ok && !s.job.paced {
			ok = n.advisories.paces.NextGrant(n.now(), s.job.engine) <= n.now()
		}
	})
	return ok
}

// note tells the judge and the load table how an attempt went.
func (s *serving) note(id string, sign health.Signal) {
	usual := 0.0
	s.rates(func(r *serviceRates) {
		failed := 0.0
		if sign == health.Failure || sign == health.Broken {
			failed = 1
		}
		r.fails += failureWeight * (failed - r.fails)
		usual = r.fails
	})
	n := s.node
	now := n.now()
	n.detectorMu.Lock()
	before := n.detector.IsEjected(now, id)
	n.detector.Record(now, id, sign, usual)
	after := n.detector.IsEjected(now, id)
	n.detectorMu.Unlock()
	switch {
	case sign == health.Full: // said by the replica with each request
	case after && !before:
		event.NodeLeavesAlone.Log(n.log, "replica", id, "why", sign, "usual", usual, "by", n.settings.Name)
	case before && !after:
		event.NodeTakesBack.Log(n.log, "replica", id)
	}
}
