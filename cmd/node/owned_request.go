package node

import (
	"maps"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/origin"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/placement"
	"quinceroad/coordination/shares"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// serveStagesStream serves one request of a peer to a cell's owner. The peer closes the
// stream to end the request.
func (o *owner) serveStagesStream(first []byte, stream net.Conn) {
	ask := &pb.StagesAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageInvalid.Log(o.node.log, "what", "stages request", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	if err := validateStagesAsk(ask); err != nil {
		event.NodeMessageInvalid.Log(o.node.log, "what", "stages request", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	updates := make(chan *pb.StagesNews)
	done := make(chan struct{})
	defer close(done)
	go func() {
		defer close(updates)
		for {
			m := &pb.StagesNews{}
			if frame.Read(stream, m) != nil { // also when the peer closes the stream
				return
			}
			select {
			case updates <- m:
			case <-done:
				return
			}
		}
	}()
	o.cell(int(ask.Cell)).serveRequest(ask, updates, func(r *pb.StagesReply) error { return frame.Write(stream, frame.Reply, r) })
}

// serveRequest processes one request: it admits or refuses its stages, sends the
// results and the chosen engine, and then handles updates until the channel is closed.
func (c *cell) serveRequest(ask *pb.StagesAsk, updates <-chan *pb.StagesNews, send func(*pb.StagesReply) error) {
	c.prepare()
	r := &ownedRequest{cell: c, ask: ask, startedAt: c.owner.node.now(), request: decodePlacementRequest(ask, c.owner.node.incarnationOf)}
	defer r.end()
	results, ok := r.runStages(updates, send)
	if !ok || !r.awaitGrant(updates, send) {
		return
	}
	if send(r.placeOnEngine(results)) != nil {
		return
	}
	for m := range updates {
		if m.First {
			r.recordFirstEvent()
		}
	}
}

// ownedRequest is the state of one request at the owner of its cell.
type ownedRequest struct {
	cell        *cell
	ask         *pb.StagesAsk
	request     *placement.Request
	startedAt   time.Duration
	job         uint64                        // ID in the scheduler; 0: none
	remoteCache <-chan placement.CachedPrefix // cached prefix in other regions; nil: not requested
	queueID     uint64                        // ID in the grant queue; 0: not queued
}

// runStages runs the request's stages, if it has any, and returns their results.
func (r *ownedRequest) runStages(updates <-chan *pb.StagesNews, send func(*pb.StagesReply) error) (pipeline.Deliver, bool) {
	c, n := r.cell, r.cell.owner.node
	job := decodeJob(r.ask)
	if !r.queueForGrant(send) {
		return pipeline.Deliver{}, false
	}
	if len(job.Stages) == 0 {
		r.queryRemoteCaches()
		return pipeline.Deliver{}, send(&pb.StagesReply{Admitted: true}) == nil
	}
	outcome := make(chan pipeline.Action, 1)
	c.mu.Lock()
	c.features[job.RequestID] = featuresOf(r.ask)
	reply := r.reserveEngineTime(&job)
	verdict, actions := c.scheduler.Submit(n.now(), job)
	if verdict.Admitted {
		r.job = verdict.ID
		c.jobOutcomes[verdict.ID] = outcome
	}
	c.mu.Unlock()
	c.executeActions(actions)
	if !verdict.Admitted {
		c.removeFeatures(job.RequestID)
		n.counters.jobsRefused.Inc(1)
		event.NodeJobRefused.Log(n.log, "request", job.RequestID, "customer", job.Customer, "rank", job.Rank, "again", job.Retry,
			"short", verdict.Standing.Resource, "asked", verdict.Standing.Demand, "share", verdict.Standing.Share,
			"expected", verdict.Expected, "wait", verdict.Expected-verdict.Uncontended, "own", verdict.Uncontended, "bound", verdict.Bottleneck, "limit", verdict.Limit,
			"engine_expected", time.Duration(reply.EngineUs)*time.Microsecond, "reads", reply.Reads, "moves", reply.Moves,
			"objective", job.Objective, "deadline", job.Deadline, "stages", verdict.Explain(), "pools", c.describePools(job))
		reply.Standing = encodeStanding(verdict.Standing)
		reply.Refused, reply.RetryAfterUs, reply.ExpectedUs = true, verdict.RetryAfter.Microseconds(), verdict.Expected.Microseconds()
		_ = send(reply)
		return pipeline.Deliver{}, false
	}
	n.counters.jobs.Inc(1)
	r.queryRemoteCaches()
	reply.Standing = encodeStanding(verdict.Standing)
	reply.Admitted, reply.ExpectedUs = true, verdict.Expected.Microseconds()
	if send(reply) != nil {
		return pipeline.Deliver{}, false
	}
	for {
		select {
		case _, open := <-updates:
			if !open {
				return pipeline.Deliver{}, false
			}
		case a := <-outcome:
			if f, failed := a.(pipeline.Fail); failed {
				event.NodeJobFailed.Log(n.log, "request", job.RequestID, "customer", job.Customer, "why", f.Reason, "after", n.now()-r.startedAt,
					"expected", verdict.Expected, "rank", job.Rank, "again", job.Retry,
					"short", verdict.Standing.Resource, "stages", verdict.Explain())
				_ = send(&pb.StagesReply{Failed: f.Reason, RetryAfterUs: f.RetryAfter.Microseconds()})
				return pipeline.Deliver{}, false
			}
			r.recordStagesDuration(verdict)
			return a.(pipeline.Deliver), true
		}
	}
}

// reserveEngineTime subtracts the expected time to the engine's first event from the
// job's objective and deadline, taking the cached part of the prompt into account. It
// also sets the hall of the expected engine, so that the stages run close to it. The
// caller must hold the cell's lock.
func (r *ownedRequest) reserveEngineTime(job *pipeline.Job) *pb.StagesReply {
	c := r.cell
	choice, ok := c.engines.Place(c.owner.node.now(), r.request)
	if ok {
		job.Hall = choice.Replica.Hall
	}
	engineTime := c.engines.TimeToFirstEvent(r.request, choice)
	job.Objective -= engineTime
	job.Deadline -= engineTime
	return &pb.StagesReply{EngineUs: engineTime.Microseconds(), Reads: uint32(choice.PrefillTokens), Moves: uint32(choice.TransferTokens)}
}

// recordStagesDuration compares the duration of the stages with the expected one.
func (r *ownedRequest) recordStagesDuration(v pipeline.Decision) {
	n := r.cell.owner.node
	duration := n.now() - r.startedAt
	n.counters.stageMillis.Inc(duration.Milliseconds())
	n.counters.expectedStageMillis.Inc(v.Expected.Milliseconds())
	if duration > v.Expected {
		n.counters.overrunJobs.Inc(1)
	}
	if n.log.IsDebug() {
		event.NodeStagesDone.Log(n.log, "request", r.ask.RequestId, "took", duration, "expected", v.Expected, "stages", v.Explain())
	}
}

// placeOnEngine chooses an engine once the results of the stages are available.
func (r *ownedRequest) placeOnEngine(results pipeline.Deliver) *pb.StagesReply {
	c, n := r.cell, r.cell.owner.node
	reply := &pb.StagesReply{Handles: results.Handles}
	r.request.RemoteCache = r.awaitRemotePrefix()
	ejected := n.ejectedReplicas()
	snap := n.snapshot.Load()
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer r.leaveGrantQueue()
	c.lastRequestID++
	r.request.ID = c.lastRequestID
	r.request.ResultBytes = results.BytesByHall
	r.request.Slack -= now - r.startedAt
	choice, ok := r.chooseEngine(now, ejected, snap.excludedByRollout(r.request.Service, r.ask.Newer))
	if !ok && r.ask.Newer {
		choice, ok = r.chooseEngine(now, ejected, snap.excludedByRollout(r.request.Service, false))
	}
	if !ok {
		return reply
	}
	c.engines.Begin(now, r.request, choice)
	reply.Paced = n.advisories.isLimited(choice.Replica.ID)
	if choice.FetchFrom != "" && choice.FetchFrom == r.request.RemoteCache.Address {
		n.counters.remoteTransfers.Inc(1)
	}
	reply.Engine, reply.Fetch, reply.Beside = n.replicaIDFor(choice.Replica.ID, r.ask), choice.FetchFrom, uint32(choice.ConcurrentSuspects)
	return reply
}

// chooseEngine chooses an engine, leaving out those that a rollout excludes for the
// request. The caller must hold the cell's lock.
func (r *ownedRequest) chooseEngine(now time.Duration, ejected map[string]bool, excludedByRollout []string) (placement.Choice, bool) {
	engines := r.cell.engines
	avoid := r.request.Avoid
	defer func() { r.request.Avoid = avoid }()
	excluded := maps.Clone(avoid)
	for _, id := range excludedByRollout {
		excluded[id] = true
	}
	r.request.Avoid = maps.Clone(excluded)
	maps.Copy(r.request.Avoid, ejected)
	if choice, ok := engines.Place(now, r.request); ok {
		return choice, true
	}
	r.request.Avoid = excluded // an ejected replica is better than none
	return engines.Place(now, r.request)
}

// recordFirstEvent handles the engine's first event: the engine has read the results of
// the stages, which can be freed.
func (r *ownedRequest) recordFirstEvent() {
	c := r.cell
	c.mu.Lock()
	c.engines.FirstEvent(c.owner.node.now(), r.request.ID)
	c.mu.Unlock()
	r.releaseJob()
}

// releaseJob frees the results of the request's stages.
func (r *ownedRequest) releaseJob() {
	if r.job == 0 {
		return
	}
	job := r.job
	r.job = 0
	c := r.cell
	c.mu.Lock()
	delete(c.jobOutcomes, job)
	delete(c.features, r.ask.RequestId)
	c.mu.Unlock()
	c.runStep(func(now time.Duration) []pipeline.Action { return c.scheduler.Release(now, job) })
}

func (r *ownedRequest) end() {
	r.releaseJob()
	r.cell.mu.Lock()
	defer r.cell.mu.Unlock()
	r.leaveGrantQueue()
	r.cell.engines.End(r.cell.owner.node.now(), r.request.ID)
}

// decodePlacementRequest converts a peer's message. incarnationOf resolves the replica
// names that a peer of an older build sends instead of incarnations.
func decodePlacementRequest(ask *pb.StagesAsk, incarnationOf func(id string) string) *placement.Request {
	r := &placement.Request{
		Service:      ask.Engine,
		OutputTokens: int(ask.TokensOut),
		Slack:        time.Duration(ask.SlackUs) * time.Microsecond,
		Avoid:        make(map[string]bool),
		ReplicaEnds:  int(ask.Ended),
	}
	if ask.Bound {
		r.Binding = origin.To(ask.Build)
	}
	for _, p := range ask.Parts {
		r.Parts = append(r.Parts, catalog.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	for _, id := range ask.Avoid {
		if !usesIncarnations(ask) {
			id = incarnationOf(id)
		}
		r.Avoid[id] = true
	}
	return r
}

func decodeJob(ask *pb.StagesAsk) pipeline.Job {
	j := pipeline.Job{
		RequestID:     ask.RequestId,
		Key:           ask.Key,
		Customer:      ask.Customer,
		ReportedUsage: shares.UsageReport{Fraction: float64(ask.CustomerPart), Requests: float64(ask.CustomerOf)},
		Rank:          int(ask.Rank),
		Objective:     time.Duration(ask.ObjectiveUs) * time.Microsecond,
		Deadline:      time.Duration(ask.DeadlineUs) * time.Microsecond,
		Retry:         ask.Again,
		AllowLate:     ask.LateToo,
		ReplicaEnds:   int(ask.Ended),
	}
	total := 0
	for _, stage := range ask.Stages {
		total += int(stage.Pieces)
		s := pipeline.Stage{Service: stage.Service, Items: int(stage.Pieces), ResultBytes: stage.Bytes}
		for _, dependency := range stage.After {
			s.After = append(s.After, int(dependency))
		}
		j.Stages = append(j.Stages, s)
	}
	if total == 0 {
		j.Stages = nil
	}
	return j
}
