package node

import (
	"context"
	"errors"
	"slices"

	"quinceroad/cmd/node/origins"
	"quinceroad/coordination/origin"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
)

// Errors of streams that a client takes up again.
var (
	errOriginUnknown = errors.New("it is not known which build began the stream")
	errOriginMoved   = errors.New("the service that began the stream no longer serves the route")
)

// bindResumedStream binds a stream that its client takes up again to the service and the
// build that began it. If these are not known, or the client does not name the request that
// brought the first event, the stream goes on only if there was but one build.
func (s *requestHandler) bindResumedStream(ctx context.Context) error {
	if s.route.Kind != catalog.Stream || s.req.LastEventID == "" {
		return nil
	}
	var found origins.Finding
	if s.req.ResumedID != "" {
		found = s.node.origins.Find(ctx, s.originKey(), s.service.Name)
		if found.Known {
			s.logTakenUp("record", found.Record.Build, &found)
			return s.bindTo(found.Record)
		}
	}
	build, sole := s.node.soleBuild(s.service.Name)
	if found.Several || !sole || len(s.route.Targets) > 1 {
		event.NodeOriginUnknown.Log(s.node.log, "request", s.req.ID, "resumes", s.req.ResumedID, "last_event", s.req.LastEventID, "service", s.service.Name,
			"asked", found.Asked, "answered", found.Answered, "watched", s.node.now())
		return errOriginUnknown
	}
	s.logTakenUp("only build", build, &found)
	s.binding = origin.To(build)
	return nil
}

// logTakenUp logs on what grounds a stream that its client takes up again is bound to a
// build.
func (s *requestHandler) logTakenUp(by, build string, found *origins.Finding) {
	event.NodeStreamTakenUp.Log(s.node.log, "request", s.req.ID, "resumes", s.req.ResumedID, "last_event", s.req.LastEventID, "service", s.service.Name, "build", build,
		"by", by, "asked", found.Asked, "answered", found.Answered, "watched", s.node.now())
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

// recordOrigin binds the stream to the build of the replica whose event has arrived, and
// records the build for the case that the client takes the stream up again.
func (a *attempt) recordOrigin() {
	a.binding = origin.To(a.replica.Version)
	if a.route.Resumable {
		a.node.origins.Record(origin.Record{Key: a.originKey(), Service: a.service.Name, Build: a.replica.Version})
	}
}

// soleBuild returns the build of a service's replicas, or false if they have had several
// lately.
func (n *Node) soleBuild(service string) (string, bool) {
	builds := n.snapshot.Load().list.Builds(service)
	n.watchedMu.Lock()
	defer n.watchedMu.Unlock()
	return n.replicas.goneBuilds.Sole(n.now(), service, builds)
}

// hasSeveralBuilds reports whether a service's replicas have had several builds lately.
func (n *Node) hasSeveralBuilds(service string) bool {
	_, sole := n.soleBuild(service)
	return !sole && len(n.snapshot.Load().list.Builds(service)) > 0
}
