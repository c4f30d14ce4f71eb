package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/cells"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/placement"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/exchange"
	"quinceroad/state/catalog"
)

const (
	cellReplicas = 30                    // of one pool that one owner has at most
	tickEach     = 50 * time.Millisecond // of a scheduler: a quarter of the shortest call seen
	claimFor     = 2 * time.Second       // after the last request, an instance still owns a cell
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
			most = max(most, w.sizes[name])
		}
	}
	return max((most+cellReplicas-1)/cellReplicas, 1)
}

// owner runs the schedulers of the cells that others take this instance to own.
type owner struct {
	node *Node

	mu    sync.Mutex
	cells map[int]*cell
}

func newOwner(n *Node) *owner { return &owner{node: n, cells: make(map[int]*cell)} }

func (o *owner) cell(number int) *cell {
	o.mu.Lock()
	c := o.cells[number]
	if c == nil {
		c = &cell{
			owner:     o,
			number:    number,
			scheduler: pipeline.New(pipeline.Cold(o.node.cold.limit)),
			engines:   placement.New(placement.Standard(), o.node.cold.limit),
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

// share returns the replicas of pools and engines that belong to a cell.
func (w *world) share(number int) []catalog.Replica {
	w.parting.Do(w.part)
	return w.parts[number%w.cells()]
}

// part sorts the replicas of pools and engines by their cells.
func (w *world) part() {
	n := w.cells()
	byService := make(map[string][]string)
	for _, r := range w.all {
		if s := w.config.Services[r.Service]; s != nil && (s.Pool != nil || s.Engine != nil) {
			byService[r.Service] = append(byService[r.Service], r.ID)
		}
	}
	cellOf := make(map[string]int)
	for _, ids := range byService {
		maps.Copy(cellOf, cells.Part(ids, n))
	}
	w.parts = make([][]catalog.Replica, n)
	for _, r := range w.all {
		if c, ok := cellOf[r.ID]; ok {
			w.parts[c] = append(w.parts[c], r)
		}
	}
}

func (o *owner) tick(ctx context.Context) {
	process.Every(ctx, tickEach, func() {
		for _, c := range o.all() {
			c.do(c.scheduler.Tick)
		}
		o.claim()
	})
}

// cellOf returns the cell that a request belongs to: those that share a prompt meet.
func (w *world) cellOf(r *exchange.Request) int {
	key := r.ID
	if shared := r.Shared(); len(shared) > 0 {
		key = shared[len(shared)-1].ID
	}
	return int(platform.Hash(key) % uint64(w.cells()))
}
