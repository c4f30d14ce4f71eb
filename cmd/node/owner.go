package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/pace"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/placement"
	"quinceroad/coordination/quarantine"
	"quinceroad/coordination/speed"
	"quinceroad/protocol/event"
)

const (
	tickEach = 50 * time.Millisecond // of a scheduler: a quarter of the shortest call seen
	claimFor = 2 * time.Second       // after the last request, an instance still owns a cell
)

// owner runs the schedulers of the cells that others take this instance to own.
type owner struct {
	node *Node

	mu    sync.Mutex
	cells map[int]*cell
}

func newOwner(n *Node) *owner { return &owner{node: n, cells: make(map[int]*cell)} }

// placing returns what the settings state of engines and prices.
func (n *Node) placing() placement.Options {
	o := placement.DefaultOptions()
	o.TransferTokenCost, o.CrossHallByteCost = n.settings.PriceMoved, n.settings.PriceFarByte
	if n.settings.PerToken > 0 {
		o.Speed.Prior = speed.Prior(n.settings.PerToken)
	}
	return o
}

func (o *owner) cell(number int) *cell {
	o.mu.Lock()
	c := o.cells[number]
	if c == nil {
		c = &cell{
			owner:        o,
			number:       number,
			scheduler:    pipeline.New(pipeline.WithWarmUpLimit(o.node.cold.limit), pipeline.WithSendGrants(cellTurns{o.node}), pipeline.WithWorth(o.node.settings.LateWorth, o.node.settings.ServedWorth)),
			engines:      placement.New(o.node.placing(), o.node.cold.limit).WithSendGrants(cellTurns{o.node}),
			waiting:      make(map[uint64]chan pipeline.Action),
			calls:        make(map[uint64]context.CancelFunc),
			turns:        make(map[string]*pace.Queue),
			fingerprints: make(map[string]quarantine.Fingerprint),
		}
		o.cells[number] = c
		event.NodePoolsOwned.Log(o.node.log, "cell", number)
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

// owned returns a cell that this instance owns, nil where it does not: what it
// knew of one that it owned once is no longer so.
func (o *owner) owned(number int) *cell {
	o.mu.Lock()
	c := o.cells[number]
	o.mu.Unlock()
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.asked == 0 {
		return nil
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
	changed := !slices.Equal(cells, n.members.Self().OwnedCells)
	n.members.SetOwnedCells(cells)
	n.gossipMu.Unlock()
	if changed {
		n.sendHeartbeats()
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

func (o *owner) tick(ctx context.Context) {
	process.Every(ctx, tickEach, func() {
		for _, c := range o.all() {
			c.do(c.scheduler.Tick)
			c.logHeld(o.node.now())
		}
		o.claim()
	})
}
