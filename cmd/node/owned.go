package node

import (
	"maps"
	"net"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/placement"
	"quinceroad/coordination/quarantine"
	"quinceroad/coordination/shares"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// serve runs one job for a peer; the end of its stream ends the job.
func (o *owner) serve(first []byte, stream net.Conn) {
	ask := &pb.StagesAsk{}
	if err := proto.Unmarshal(first, ask); err != nil {
		event.NodeMessageBroken.Log(o.node.log, "what", "ask for stages", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	if err := validateStagesAsk(ask); err != nil {
		event.NodeMessageBroken.Log(o.node.log, "what", "ask for stages", "from", stream.RemoteAddr().String(), "error", err)
		return
	}
	news := make(chan *pb.StagesNews)
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		defer close(news)
		for {
			m := &pb.StagesNews{}
			if frame.Read(stream, m) != nil { // also when the peer closes
				return
			}
			select {
			case news <- m:
			case <-ended:
				return
			}
		}
	}()
	o.cell(int(ask.Cell)).run(ask, news, func(r *pb.StagesReply) error { return frame.Write(stream, frame.Reply, r) })
}

// run takes a job through: a verdict, then its results and engine, then the
// news of its stream; it ends when news is closed.
func (c *cell) run(ask *pb.StagesAsk, news <-chan *pb.StagesNews, send func(*pb.StagesReply) error) {
	c.prepare()
	r := &ownedRequest{cell: c, ask: ask, began: c.owner.node.now(), request: requestOf(ask, c.owner.node.lifeOf)}
	defer r.end()
	ready, ok := r.stages(news, send)
	if !ok || !r.awaitTurn(news, send) {
		return
	}
	if send(r.place(ready)) != nil {
		return
	}
	for m := range news {
		if m.First {
			r.first()
		}
	}
}

// ownedRequest is a request at its cell's owner.
type ownedRequest struct {
	cell    *cell
	ask     *pb.StagesAsk
	request *placement.Request
	began   time.Duration
	job     uint64                        // at the scheduler; 0: none
	far     <-chan placement.CachedPrefix // nil: nobody was asked
	wants   uint64                        // number among those that want turns; 0: none
}

// stages has the request's stages run, if it has any, and returns their results.
func (r *ownedRequest) stages(news <-chan *pb.StagesNews, send func(*pb.StagesReply) error) (pipeline.Deliver, bool) {
	c, n := r.cell, r.cell.owner.node
	job := jobOf(r.ask)
	if !r.wantsTurn(send) {
		return pipeline.Deliver{}, false
	}
	if len(job.Stages) == 0 {
		r.queryRemoteCaches()
		return pipeline.Deliver{}, send(&pb.StagesReply{Admitted: true}) == nil
	}
	end := make(chan pipeline.Action, 1)
	c.mu.Lock()
	c.fingerprints[job.RequestID] = quarantine.Fingerprint(r.ask.Fingerprint)
	reply := r.leaveToEngine(&job)
	verdict, actions := c.scheduler.Submit(n.now(), job)
	if verdict.Admitted {
		r.job = verdict.ID
		c.waiting[verdict.ID] = end
	}
	c.mu.Unlock()
	c.carryOut(actions)
	if !verdict.Admitted {
		c.forgetFingerprint(job.RequestID)
		n.counters.jobsRefused.Inc(1)
		event.NodeJobRefused.Log(n.log, "request", job.RequestID, "customer", job.Customer, "rank", job.Rank, "again", job.Retry,
			"short", verdict.Standing.Resource, "asked", verdict.Standing.Demand, "share", verdict.Standing.Share,
			"expected", verdict.Expected, "wait", verdict.Expected-verdict.Uncontended, "own", verdict.Uncontended, "bound", verdict.Bottleneck, "limit", verdict.Limit,
			"engine_expected", time.Duration(reply.EngineUs)*time.Microsecond, "reads", reply.Reads, "moves", reply.Moves,
			"objective", job.Objective, "deadline", job.Deadline, "stages", verdict.Explain(), "pools", c.pools(job))
		reply.Standing = standingNews(verdict.Standing)
		reply.Refused, reply.RetryAfterUs, reply.ExpectedUs = true, verdict.RetryAfter.Microseconds(), verdict.Expected.Microseconds()
		_ = send(reply)
		return pipeline.Deliver{}, false
	}
	n.counters.jobs.Inc(1)
	r.queryRemoteCaches()
	reply.Standing = standingNews(verdict.Standing)
	reply.Admitted, reply.ExpectedUs = true, verdict.Expected.Microseconds()
	if send(reply) != nil {
		return pipeline.Deliver{}, false
	}
	for {
		select {
		case _, open := <-news:
			if !open {
				return pipeline.Deliver{}, false
			}
		case a := <-end:
			if f, failed := a.(pipeline.Fail); failed {
				event.NodeJobFailed.Log(n.log, "request", job.RequestID, "customer", job.Customer, "why", f.Reason, "after", n.now()-r.began,
					"expected", verdict.Expected, "rank", job.Rank, "again", job.Retry,
					"short", verdict.Standing.Resource, "stages", verdict.Explain())
				_ = send(&pb.StagesReply{Failed: f.Reason, RetryAfterUs: f.RetryAfter.Microseconds()})
				return pipeline.Deliver{}, false
			}
			r.compare(verdict)
			return a.(pipeline.Deliver), true
		}
	}
}

// leaveToEngine takes off a job's time what its engine will need after it, by
// what that one keeps of the prompt, and names the hall that is nearest to it.
// The cell's lock is held.
func (r *ownedRequest) leaveToEngine(job *pipeline.Job) *pb.StagesReply {
	c := r.cell
	choice, ok := c.engines.Place(c.owner.node.now(), r.request)
	if ok {
		job.Hall = choice.Replica.Hall
	}
	ahead := c.engines.TimeToFirstEvent(r.request, choice)
	job.Objective -= ahead
	job.Deadline -= ahead
	return &pb.StagesReply{EngineUs: ahead.Microseconds(), Reads: uint32(choice.PrefillTokens), Moves: uint32(choice.TransferTokens)}
}

// compare counts how the time that the stages took differs from the expected.
func (r *ownedRequest) compare(v pipeline.Decision) {
	n := r.cell.owner.node
	took := n.now() - r.began
	n.counters.staged.Inc(took.Milliseconds())
	n.counters.expected.Inc(v.Expected.Milliseconds())
	if took > v.Expected {
		n.counters.overran.Inc(1)
	}
	if n.log.IsDebug() {
		event.NodeStagesDone.Log(n.log, "request", r.ask.RequestId, "took", took, "expected", v.Expected, "stages", v.Explain())
	}
}

// place picks the request's engine, now that its results are there.
func (r *ownedRequest) place(ready pipeline.Deliver) *pb.StagesReply {
	c, n := r.cell, r.cell.owner.node
	reply := &pb.StagesReply{Handles: ready.Handles}
	r.request.RemoteCache = r.awaitRemotePrefix()
	sick := n.pausedReplicas()
	w := n.world.Load()
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer r.leaveTurns()
	c.next++
	r.request.ID = c.next
	r.request.ResultBytes = ready.BytesByHall
	r.request.Slack -= now - r.began
	choice, ok := r.choose(now, sick, w.aside(r.request.Service, r.ask.Newer))
	if !ok && r.ask.Newer {
		choice, ok = r.choose(now, sick, w.aside(r.request.Service, false))
	}
	if !ok {
		return reply
	}
	c.engines.Begin(now, r.request, choice)
	reply.Paced = n.statements.limits(choice.Replica.ID)
	if choice.FetchFrom != "" && choice.FetchFrom == r.request.RemoteCache.Address {
		n.counters.farMoves.Inc(1)
	}
	reply.Engine, reply.Fetch, reply.Beside = n.spoken(choice.Replica.ID, r.ask), choice.FetchFrom, uint32(choice.ConcurrentSuspects)
	return reply
}

// choose picks an engine, none of those that a roll-out keeps the request from.
// It needs the cell's lock.
func (r *ownedRequest) choose(now time.Duration, sick map[string]bool, aside []string) (placement.Choice, bool) {
	engines := r.cell.engines
	avoid := r.request.Avoid
	defer func() { r.request.Avoid = avoid }()
	kept := maps.Clone(avoid)
	for _, id := range aside {
		kept[id] = true
	}
	r.request.Avoid = maps.Clone(kept)
	maps.Copy(r.request.Avoid, sick)
	if choice, ok := engines.Place(now, r.request); ok {
		return choice, true
	}
	r.request.Avoid = kept // rather a sick one than none
	return engines.Place(now, r.request)
}

// first notes the first event: the results are read and can go.
func (r *ownedRequest) first() {
	c := r.cell
	c.mu.Lock()
	c.engines.FirstEvent(c.owner.node.now(), r.request.ID)
	c.mu.Unlock()
	r.release()
}

func (r *ownedRequest) release() {
	if r.job == 0 {
		return
	}
	job := r.job
	r.job = 0
	c := r.cell
	c.mu.Lock()
	delete(c.waiting, job)
	delete(c.fingerprints, r.ask.RequestId)
	c.mu.Unlock()
	c.do(func(now time.Duration) []pipeline.Action { return c.scheduler.Release(now, job) })
}

func (r *ownedRequest) end() {
	r.release()
	r.cell.mu.Lock()
	defer r.cell.mu.Unlock()
	r.leaveTurns()
	r.cell.engines.End(r.cell.owner.node.now(), r.request.ID)
}

// requestOf reads what an ask says of the request itself; lifeOf finds the lives of
// the replicas that it names.
func requestOf(ask *pb.StagesAsk, lifeOf func(id string) string) *placement.Request {
	r := &placement.Request{
		Service:      ask.Engine,
		OutputTokens: int(ask.TokensOut),
		Slack:        time.Duration(ask.SlackUs) * time.Microsecond,
		Avoid:        make(map[string]bool),
		Crashes:      int(ask.Ended),
	}
	for _, p := range ask.Parts {
		r.Parts = append(r.Parts, catalog.PromptPart{ID: p.Id, Tokens: int(p.Tokens)})
	}
	for _, id := range ask.Avoid {
		if !knowsLives(ask) {
			id = lifeOf(id)
		}
		r.Avoid[id] = true
	}
	return r
}

func jobOf(ask *pb.StagesAsk) pipeline.Job {
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
	for _, w := range ask.Stages {
		total += int(w.Pieces)
		st := pipeline.Stage{Service: w.Service, Items: int(w.Pieces), ResultBytes: w.Bytes}
		for _, a := range w.After {
			st.After = append(st.After, int(a))
		}
		j.Stages = append(j.Stages, st)
	}
	if total == 0 {
		j.Stages = nil
	}
	return j
}
