package node

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/placement"
	"quinceroad/coordination/rendezvous"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/exchange"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	cellReplicas = 30 // of one pool that one owner has at most
	settledBeats = 8  // heartbeats after which an instance may own pools
	tickEach     = 50 * time.Millisecond
	claimFor     = 2 * time.Second // after the last request, an instance still owns a cell
)

// cells returns into how many parts the pools are cut: each has its own owner,
// so that no owner's load grows with the fleet.
func (w *world) cells() int {
	most := 0
	if w.config == nil {
		return 1
	}
	for name, s := range w.config.Services {
		if s.Pool != nil {
			most = max(most, len(w.services[name]))
		}
	}
	return max((most+cellReplicas-1)/cellReplicas, 1)
}

// owners returns the instances that may own a cell, the first one first: who
// owns it already goes before those that only may, so that an instance that
// comes back does not take it over.
func owners(alive []gossip.Instance, cell int) []gossip.Instance {
	key := "stages/" + strconv.Itoa(cell)
	var settled []gossip.Instance
	for _, i := range alive {
		if i.Count >= settledBeats && !i.Leaving {
			settled = append(settled, i)
		}
	}
	if len(settled) == 0 {
		settled = slices.Clone(alive)
	}
	slices.SortFunc(settled, func(a, b gossip.Instance) int {
		ownsA, ownsB := slices.Contains(a.Owns, uint32(cell)), slices.Contains(b.Owns, uint32(cell))
		if ownsA != ownsB {
			if ownsA {
				return -1
			}
			return 1
		}
		return cmp.Compare(rendezvous.Weight(key, b.Name), rendezvous.Weight(key, a.Name))
	})
	return settled
}

// owner runs the schedulers of the cells that others take this instance to own.
type owner struct {
	node *Node

	mu    sync.Mutex
	cells map[int]*cell
}

// cell is one scheduler and those who wait for its jobs.
type cell struct {
	owner *owner

	ready     sync.Once
	mu        sync.Mutex
	number    int
	scheduler *pipeline.Scheduler
	engines   *placement.Table
	next      uint64                          // number of the next request at an engine
	waiting   map[uint64]chan pipeline.Action // by job: its Deliver or Fail
	calls     map[uint64]context.CancelFunc
	asked     time.Duration // when a request last came
}

func newOwner(n *Node) *owner { return &owner{node: n, cells: make(map[int]*cell)} }

func (o *owner) cell(number int) *cell {
	o.mu.Lock()
	c := o.cells[number]
	if c == nil {
		c = &cell{
			owner:     o,
			number:    number,
			scheduler: pipeline.New(),
			engines:   placement.New(placement.Standard()),
			waiting:   make(map[uint64]chan pipeline.Action),
			calls:     make(map[uint64]context.CancelFunc),
		}
		o.cells[number] = c
		event.NodeOwns.Log(o.node.log, "cell", number)
	}
	o.mu.Unlock()
	c.mu.Lock()
	isNew := c.asked == 0
	c.asked = o.node.now()
	c.mu.Unlock()
	if isNew {
		o.claim()
	}
	return c
}

// claim tells the others which cells this instance owns: those for which
// requests have come lately.
func (o *owner) claim() {
	n := o.node
	var cells []uint32
	for _, c := range o.all() {
		c.mu.Lock()
		if c.asked != 0 && n.now()-c.asked < claimFor {
			cells = append(cells, uint32(c.number))
		} else {
			c.asked = 0
		}
		c.mu.Unlock()
	}
	slices.Sort(cells)
	n.gossipMu.Lock()
	changed := !slices.Equal(cells, n.members.Self().Owns)
	n.members.SetOwns(cells)
	n.gossipMu.Unlock()
	if changed {
		n.tell()
	}
}

func (o *owner) all() []*cell {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*cell, 0, len(o.cells))
	for _, c := range o.cells {
		out = append(out, c)
	}
	return out
}

// refresh gives the schedulers the world in force.
func (o *owner) refresh() {
	for _, c := range o.all() {
		c.refresh()
	}
}

func (c *cell) refresh() {
	n := c.owner.node
	w := n.world.Load()
	if w.config == nil {
		return
	}
	replicas := w.share(c.number)
	c.do(func(now time.Duration) []pipeline.Action {
		c.engines.SetEngines(w.config.Services, replicas)
		return c.scheduler.SetPools(now, w.config.Services, replicas)
	})
}

// share returns the replicas of pools and engines that belong to a cell.
func (w *world) share(number int) []catalog.Replica {
	cells := w.cells()
	pools := make(map[string][]catalog.Replica)
	for _, r := range w.all {
		if s := w.config.Services[r.Service]; s != nil && (s.Pool != nil || s.Engine != nil) {
			pools[r.Service] = append(pools[r.Service], r)
		}
	}
	var out []catalog.Replica
	for _, list := range pools {
		slices.SortFunc(list, func(a, b catalog.Replica) int { return cmp.Compare(a.ID, b.ID) })
		for i, r := range list {
			if i%cells == number%cells {
				out = append(out, r)
			}
		}
	}
	return out
}

func (o *owner) tick(ctx context.Context) {
	every(ctx, tickEach, func() {
		for _, c := range o.all() {
			c.do(c.scheduler.Tick)
		}
		o.claim()
	})
}

// do runs one event of the scheduler and carries its actions out.
func (c *cell) do(step func(now time.Duration) []pipeline.Action) {
	c.mu.Lock()
	actions := step(c.owner.node.now())
	c.mu.Unlock()
	c.carryOut(actions)
}

func (c *cell) carryOut(actions []pipeline.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case pipeline.Call:
			ctx, cancel := context.WithTimeout(context.Background(), a.Timeout)
			c.mu.Lock()
			c.calls[a.ID] = cancel
			c.mu.Unlock()
			go c.call(ctx, a)
		case pipeline.Free:
			go c.free(a)
		case pipeline.Deliver:
			c.tell(a.Job, a)
		case pipeline.Fail:
			c.tell(a.Job, a)
		case pipeline.Abandon:
			c.mu.Lock()
			cancel := c.calls[a.Call]
			c.mu.Unlock()
			if cancel != nil {
				cancel()
			}
		}
	}
}

func (c *cell) tell(job uint64, end pipeline.Action) {
	c.mu.Lock()
	to := c.waiting[job]
	c.mu.Unlock()
	if to == nil {
		return
	}
	select {
	case to <- end:
	default: // it has its end
	}
}

func (c *cell) call(ctx context.Context, a pipeline.Call) {
	n := c.owner.node
	began := time.Now()
	results, fate := n.runPieces(ctx, a)
	c.log(a, results, time.Since(began))
	c.mu.Lock()
	if cancel := c.calls[a.ID]; cancel != nil {
		cancel()
	}
	delete(c.calls, a.ID)
	c.mu.Unlock()
	n.counters.calls.Inc(1)
	n.counters.pieces.Inc(int64(len(a.Items)))
	if fate != pipeline.Answered {
		n.counters.lostCalls.Inc(1)
		event.NodeCallLost.Log(n.log, "replica", a.Replica, "pieces", len(a.Items), "fate", int(fate))
	}
	if fate == pipeline.Stranger {
		n.sawLeaving(a.Replica, "stranger")
	}
	c.do(func(now time.Duration) []pipeline.Action {
		return c.scheduler.Answer(now, a.ID, fate, results)
	})
}

func (c *cell) log(a pipeline.Call, results []pipeline.Result, took time.Duration) {
	n := c.owner.node
	if !n.log.IsDebug() || len(results) == 0 {
		return
	}
	counts := make(map[pipeline.Reason]int)
	for _, r := range results {
		counts[r.Reason]++
	}
	event.NodeCallDone.Log(n.log, "replica", a.Replica, "service", a.Service, "pieces", len(a.Items), "took", took,
		"no_room", counts[pipeline.NoRoom], "gone", counts[pipeline.InputGone], "late", counts[pipeline.Late], "failed", counts[pipeline.PieceError])
}

func (c *cell) free(a pipeline.Free) { c.owner.node.freeResults(a.Address, a.Handles) }

// serve runs one job for a peer; the end of its stream ends the job.
func (o *owner) serve(first []byte, stream net.Conn) {
	ask := &pb.StagesAsk{}
	if proto.Unmarshal(first, ask) != nil {
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
	r := &ownedRequest{cell: c, ask: ask, began: c.owner.node.now(), request: requestOf(ask)}
	defer r.end()
	ready, ok := r.stages(news, send)
	if !ok {
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
	job     uint64 // at the scheduler; 0: none
}

// stages has the request's stages run, if it has any, and returns their results.
func (r *ownedRequest) stages(news <-chan *pb.StagesNews, send func(*pb.StagesReply) error) (pipeline.Deliver, bool) {
	c, n := r.cell, r.cell.owner.node
	job := jobOf(r.ask)
	if len(job.Stages) == 0 {
		return pipeline.Deliver{}, send(&pb.StagesReply{Admitted: true}) == nil
	}
	end := make(chan pipeline.Action, 1)
	c.mu.Lock()
	if choice, ok := c.engines.Place(n.now(), r.request); ok {
		job.Hall = choice.Replica.Hall
	}
	verdict, actions := c.scheduler.Submit(n.now(), job)
	if verdict.Admitted {
		r.job = verdict.ID
		c.waiting[verdict.ID] = end
	}
	c.mu.Unlock()
	c.carryOut(actions)
	if !verdict.Admitted {
		n.counters.jobsRefused.Inc(1)
		event.NodeJobRefused.Log(n.log, "request", job.RequestID, "rank", job.Rank, "again", job.Again, "expected", verdict.Expected,
			"objective", job.Objective, "deadline", job.Deadline, "pools", c.pools())
		_ = send(&pb.StagesReply{Refused: true, RetryAfterUs: verdict.RetryAfter.Microseconds(), ExpectedUs: verdict.Expected.Microseconds()})
		return pipeline.Deliver{}, false
	}
	n.counters.jobs.Inc(1)
	if send(&pb.StagesReply{Admitted: true, ExpectedUs: verdict.Expected.Microseconds()}) != nil {
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
				event.NodeJobFailed.Log(n.log, "request", job.RequestID, "why", f.Why, "after", n.now()-r.began)
				_ = send(&pb.StagesReply{Failed: f.Why, RetryAfterUs: f.RetryAfter.Microseconds()})
				return pipeline.Deliver{}, false
			}
			return a.(pipeline.Deliver), true
		}
	}
}

// pools tells what waits at the pools, for a log line.
func (c *cell) pools() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, p := range c.scheduler.Pools(c.owner.node.now()) {
		out = append(out, fmt.Sprintf("%s:%d waiting, through in %v, %d replicas", p.Service, p.Waiting, p.Clear.Round(time.Millisecond), p.Serving))
	}
	return strings.Join(out, "; ")
}

// place picks the request's engine, now that its results are there.
func (r *ownedRequest) place(ready pipeline.Deliver) *pb.StagesReply {
	c, n := r.cell, r.cell.owner.node
	reply := &pb.StagesReply{Handles: ready.Handles}
	sick := n.pausedReplicas()
	now := n.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	r.request.ID = c.next
	r.request.Near = ready.Near
	r.request.Slack -= now - r.began
	avoid := r.request.Avoid
	r.request.Avoid = maps.Clone(avoid)
	maps.Copy(r.request.Avoid, sick)
	choice, ok := c.engines.Place(now, r.request)
	if !ok { // rather a sick one than none
		r.request.Avoid = avoid
		choice, ok = c.engines.Place(now, r.request)
	}
	if !ok {
		return reply
	}
	c.engines.Begin(now, r.request, choice.Replica.ID)
	reply.Engine, reply.Fetch = choice.Replica.ID, choice.Fetch
	return reply
}

// first notes the first event: the results are read and can go.
func (r *ownedRequest) first() {
	c := r.cell
	c.mu.Lock()
	c.engines.First(c.owner.node.now(), r.request.ID)
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
	c.mu.Unlock()
	c.do(func(now time.Duration) []pipeline.Action { return c.scheduler.Release(now, job) })
}

func (r *ownedRequest) end() {
	r.release()
	r.cell.mu.Lock()
	defer r.cell.mu.Unlock()
	r.cell.engines.End(r.cell.owner.node.now(), r.request.ID)
}

func requestOf(ask *pb.StagesAsk) *placement.Request {
	r := &placement.Request{
		Service: ask.Engine,
		Out:     int(ask.TokensOut),
		Slack:   time.Duration(ask.SlackUs) * time.Microsecond,
		Avoid:   make(map[string]bool),
	}
	for _, p := range ask.Parts {
		r.Parts = append(r.Parts, catalog.Part{ID: p.Id, Tokens: int(p.Tokens)})
	}
	for _, id := range ask.Avoid {
		r.Avoid[id] = true
	}
	return r
}

// prepare gives a scheduler that has just been made the world in force, and
// what the replicas tell of themselves: another owner may have left them full.
func (c *cell) prepare() {
	c.ready.Do(func() {
		c.refresh()
		n := c.owner.node
		w := n.world.Load()
		if w.config == nil {
			return
		}
		var asked sync.WaitGroup
		for _, r := range w.share(c.number) {
			if w.config.Services[r.Service].Pool == nil || r.Leaving {
				continue
			}
			asked.Go(func() { c.look(r) })
		}
		asked.Wait()
	})
}

// look takes in what a replica tells of itself.
func (c *cell) look(r catalog.Replica) {
	n := c.owner.node
	free, atWork, err := n.report(r)
	if err != nil {
		return
	}
	c.mu.Lock()
	c.scheduler.Seen(n.now(), r.ID, free, atWork)
	c.mu.Unlock()
}

func jobOf(ask *pb.StagesAsk) pipeline.Job {
	j := pipeline.Job{
		RequestID: ask.RequestId,
		Key:       ask.Key,
		Rank:      int(ask.Rank),
		Objective: time.Duration(ask.ObjectiveUs) * time.Microsecond,
		Deadline:  time.Duration(ask.DeadlineUs) * time.Microsecond,
		Again:     ask.Again,
	}
	total := 0
	for _, w := range ask.Stages {
		total += int(w.Pieces)
		st := pipeline.Stage{Service: w.Service, Pieces: int(w.Pieces), Bytes: w.Bytes}
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

// cellOf returns the cell that a request belongs to: those that share a prompt meet.
func (w *world) cellOf(r *exchange.Request) int {
	key := r.ID
	if shared := r.Shared(); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	return int(platform.Hash(key) % uint64(w.cells()))
}
