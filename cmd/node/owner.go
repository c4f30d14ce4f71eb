package node

import (
	"cmp"
	"context"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/gossip"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/rendezvous"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	cellReplicas = 30 // of one pool that one owner has at most
	settledBeats = 8  // heartbeats after which an instance may own pools
	tickEach     = 50 * time.Millisecond
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

// owners returns the instances that may own a cell, the first one first.
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

	mu        sync.Mutex
	number    int
	scheduler *pipeline.Scheduler
	waiting   map[uint64]chan *pb.StagesReply // by job
	calls     map[uint64]context.CancelFunc
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
			waiting:   make(map[uint64]chan *pb.StagesReply),
			calls:     make(map[uint64]context.CancelFunc),
		}
		o.cells[number] = c
		event.NodeOwns.Log(o.node.log, "cell", number)
	}
	o.mu.Unlock()
	return c
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
	c.do(func(now time.Duration) []pipeline.Action {
		return c.scheduler.SetPools(now, w.config.Services, w.share(c.number))
	})
}

// share returns the pools' replicas of a cell.
func (w *world) share(number int) []catalog.Replica {
	cells := w.cells()
	pools := make(map[string][]catalog.Replica)
	for _, r := range w.all {
		if s := w.config.Services[r.Service]; s != nil && s.Pool != nil {
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
			c.reply(a.Job, &pb.StagesReply{Handles: a.Handles})
		case pipeline.Fail:
			c.reply(a.Job, &pb.StagesReply{Failed: a.Why, RetryAfterUs: a.RetryAfter.Microseconds()})
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

func (c *cell) reply(job uint64, r *pb.StagesReply) {
	c.mu.Lock()
	to := c.waiting[job]
	c.mu.Unlock()
	if to == nil {
		return
	}
	select {
	case to <- r:
	default: // it has its answer
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
	c := o.cell(int(ask.Cell))
	gone := make(chan struct{})
	go func() {
		var b [1]byte
		_, _ = stream.Read(b[:]) // returns when the peer closes
		close(gone)
	}()
	c.run(ask, gone, func(r *pb.StagesReply) error { return frame.Write(stream, frame.Reply, r) })
}

// run takes a job through: a verdict, then its results; it ends with gone.
func (c *cell) run(ask *pb.StagesAsk, gone <-chan struct{}, send func(*pb.StagesReply) error) {
	n := c.owner.node
	c.prepare()
	job := jobOf(ask)
	answer := make(chan *pb.StagesReply, 1)
	c.mu.Lock()
	verdict, actions := c.scheduler.Submit(n.now(), job)
	if verdict.Admitted {
		c.waiting[verdict.ID] = answer
	}
	c.mu.Unlock()
	c.carryOut(actions)
	if !verdict.Admitted {
		n.counters.jobsRefused.Inc(1)
		_ = send(&pb.StagesReply{Refused: true, RetryAfterUs: verdict.RetryAfter.Microseconds(), ExpectedUs: verdict.Expected.Microseconds()})
		return
	}
	n.counters.jobs.Inc(1)
	defer c.end(verdict.ID)
	if send(&pb.StagesReply{Admitted: true, ExpectedUs: verdict.Expected.Microseconds()}) != nil {
		return
	}
	select {
	case <-gone:
		return
	case r := <-answer:
		if send(r) != nil || r.Failed != "" {
			return
		}
	}
	<-gone
}

// prepare gives a scheduler that has just been made the world in force.
func (c *cell) prepare() {
	c.mu.Lock()
	empty := c.scheduler.Empty()
	c.mu.Unlock()
	if empty {
		c.refresh()
	}
}

func (c *cell) end(job uint64) {
	c.mu.Lock()
	delete(c.waiting, job)
	c.mu.Unlock()
	c.do(func(now time.Duration) []pipeline.Action { return c.scheduler.Release(now, job) })
}

func jobOf(ask *pb.StagesAsk) pipeline.Job {
	j := pipeline.Job{
		RequestID: ask.RequestId,
		Key:       ask.Key,
		Rank:      int(ask.Rank),
		Hall:      ask.Hall,
		Objective: time.Duration(ask.ObjectiveUs) * time.Microsecond,
		Deadline:  time.Duration(ask.DeadlineUs) * time.Microsecond,
		Again:     ask.Again,
	}
	for _, w := range ask.Stages {
		st := pipeline.Stage{Service: w.Service, Pieces: int(w.Pieces), Bytes: w.Bytes}
		for _, a := range w.After {
			st.After = append(st.After, int(a))
		}
		j.Stages = append(j.Stages, st)
	}
	return j
}

// cellOf returns the cell that a request belongs to.
func (w *world) cellOf(id string) int { return int(platform.Hash(id) % uint64(w.cells())) }
