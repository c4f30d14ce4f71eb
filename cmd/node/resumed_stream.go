package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"quinceroad/cmd/node/origins"
	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/origin"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// Errors of streams that a client takes up again.
var (
	errOriginUnknown = errors.New("it is not known which build began the stream")
	errOriginMoved   = errors.New("the service that began the stream no longer serves the route")
	// errBuildNotLogged reports that a stream can't begin: after the loss of all instances
	// nobody would know its build.
	errBuildNotLogged = errors.New("the store has not acknowledged that the build may begin streams")
)

// bindResumedStream binds a stream that its client takes up again to the service and the
// build that began it. If these are not known, the stream does not go on.
func (s *requestHandler) bindResumedStream(ctx context.Context) error {
	if s.route.Kind != catalog.Stream || s.req.LastEventID == "" {
		return nil
	}
	verdict := s.node.origins.Find(ctx, origins.TakeUp{
		Key: s.originKey(), IsNamed: s.req.ResumedID != "", Service: s.service.Name, Route: s.buildlogRoute(),
	})
	record, known := verdict.Record()
	asked, answered := verdict.Peers()
	if !known {
		event.NodeOriginUnknown.Log(s.node.log, "request", s.req.ID, "resumes", s.req.ResumedID, "last_event", s.req.LastEventID, "service", s.service.Name,
			"why", verdict.Grounds(), "asked", asked, "answered", answered, "watched", s.node.now())
		return errOriginUnknown
	}
	event.NodeStreamTakenUp.Log(s.node.log, "request", s.req.ID, "resumes", s.req.ResumedID, "last_event", s.req.LastEventID, "service", record.Service, "build", record.Build,
		"by", verdict.Grounds(), "asked", asked, "answered", answered, "watched", s.node.now())
	return s.bindTo(record)
}

// bindTo binds the request to the service and build of a record, if the route still goes to
// that service.
func (s *requestHandler) bindTo(r origin.Record) error {
	isTarget := slices.ContainsFunc(s.route.Targets, func(t catalog.Target) bool { return t.Service == r.Service })
	service := s.snapshot.config.Services[r.Service]
	if !isTarget || service == nil {
		return errOriginMoved
	}
	s.service = service
	s.binding = origin.To(r.Build)
	return nil
}

// originKey returns the key of the record of the request's stream: that of the request that
// brought the first event.
func (s *requestHandler) originKey() origin.Key {
	if s.req.ResumedID != "" {
		return origin.KeyOf(s.customer, s.req.ResumedID)
	}
	return origin.KeyOf(s.customer, s.req.ID)
}

// beginStream binds the stream to the build of the replica whose event has arrived, and
// records the build for the case that the client takes the stream up again. It returns an
// error if the stream must not begin, as what is known of builds does not cover this one.
func (a *attempt) beginStream() error {
	if !a.awaitLogged(context.Background(), &a.replica) {
		return errBuildNotLogged
	}
	a.binding = origin.To(a.replica.Version)
	if a.route.Resumable {
		a.node.origins.Record(origin.Record{Key: a.originKey(), Service: a.service.Name, Build: a.replica.Version})
	}
	return nil
}

// maxLogWait bounds the time for which a stream waits until the build of its replica is
// logged: a fraction of the time after which clients leave a stream without events.
const maxLogWait = time.Second

// awaitLogged waits until a stream of the request may begin at a replica.
func (s *requestHandler) awaitLogged(ctx context.Context, r *catalog.Replica) bool {
	if !s.needsLoggedBuild() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, min(maxLogWait, s.deadline-s.node.now()))
	defer cancel()
	return s.node.origins.AwaitLogged(ctx, s.service.Name, r.Version, s.buildlogRoute())
}

// needsLoggedBuild reports whether the request brings a stream that its client may take up
// again.
func (s *requestHandler) needsLoggedBuild() bool {
	return s.route.Kind == catalog.Stream && s.route.Resumable
}

// loggedBuilds returns the builds of the request's service at which a stream of the request
// may begin at once. It returns false if that does not restrict the choice: the request
// brings no such stream, it is bound to a build, or there is no logged one to prefer.
func (s *requestHandler) loggedBuilds(snap *snapshot) (builds []string, restricts bool) {
	if !s.needsLoggedBuild() || s.binding.IsBound() {
		return nil, false
	}
	listed := snap.list.Builds(s.service.Name)
	for _, build := range listed {
		if s.node.origins.IsLogged(s.service.Name, build, s.buildlogRoute()) {
			builds = append(builds, build)
		}
	}
	return builds, len(builds) > 0 && len(builds) < len(listed)
}

// loggedReplicas returns those of the replicas that accept work at which a stream of the
// request may begin at once, or all if none of them is.
func (s *requestHandler) loggedReplicas(snap *snapshot, all []catalog.Replica) []catalog.Replica {
	builds, restricts := s.loggedBuilds(snap)
	if !restricts {
		return all
	}
	var out []catalog.Replica
	for _, build := range builds {
		replicas := snap.list.EligibleOfBuild(s.service.Name, build)
		if len(builds) == 1 {
			out = replicas // shared, as all of them may be
			break
		}
		out = append(out, replicas...)
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// mayBeginAt reports whether a stream of the request may begin at a replica at once, or has no
// better choice.
func (s *requestHandler) mayBeginAt(snap *snapshot, r *catalog.Replica) bool {
	builds, restricts := s.loggedBuilds(snap)
	return !restricts || slices.Contains(builds, r.Version)
}

// buildlogRoute returns the identity of the request's route in the logs of builds.
func (s *requestHandler) buildlogRoute() buildlog.Route {
	return buildlog.RouteOf(s.route.Host, s.route.Prefix)
}

// newOrigins returns the keeper of this instance's records of streams.
func (n *Node) newOrigins() *origins.Keeper {
	self := n.members.Self()
	return origins.New(origins.Options{
		Name: self.Name, Incarnation: self.Incarnation, Region: n.home, Now: n.now, Live: n.live, Peers: n.links, Store: n.store, Log: n.log, Registry: n.registry,
		Wanted:       func() map[string]buildlog.Wanted { return n.snapshot.Load().wantedLogs() },
		IsInTouch:    func() bool { return n.isReader.Load() && !n.storeUnreachable() && n.replicasLoaded() },
		IsReader:     n.isReader.Load,
		StoreRates:   origins.StoreRates{Writes: n.settings.StoreWriteRate, Reads: n.settings.StoreReadRate},
		IsFirstStart: n.settings.IsFirstStart,
		Jitter:       n.jitter,
	})
}

// wantedLogs returns, for each service to which a resumable route goes, which builds its
// listed replicas have and which such routes go to it.
func (s *snapshot) wantedLogs() map[string]buildlog.Wanted {
	out := make(map[string]buildlog.Wanted)
	if s.config == nil || !s.replicasLoaded {
		return out
	}
	for _, r := range s.config.Routes {
		if r.Kind != catalog.Stream || !r.Resumable {
			continue
		}
		for _, t := range r.Targets {
			w := out[t.Service]
			w.Routes = append(w.Routes, buildlog.RouteOf(r.Host, r.Prefix))
			out[t.Service] = w
		}
	}
	for service, w := range out {
		out[service] = w.And(buildlog.Wanted{Builds: s.list.Builds(service)})
	}
	return out
}
