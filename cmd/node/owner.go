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
	"quinceroad/coordination/speed"
	"quinceroad/protocol/event"
)

const (
	schedulerTickInterval = 50 * time.Millisecond // a quarter of the shortest call that was observed
	ownershipClaimTTL     = 2 * time.Second       // time for which a cell is announced as owned after its last request
)

// owner runs the schedulers of the cells whose requests this instance receives.
type owner struct {
	node *Node

	mu    sync.Mutex
	cells map[int]*cell
}

func newOwner(n *Node) *owner { return &owner{node: n, cells: make(map[int]*cell)} }

// placementOptions returns the placement options that the settings define.
func (n *Node) placementOptions() placement.Options {
	o := placement.DefaultOptions()
	o.TransferTokenCost, o.CrossHallByteCost = n.settings.TransferTokenCost, n.settings.CrossHallByteCost
	if n.settings.PrefillTimePerToken > 0 {
		o.Speed.Prior = speed.Prior(n.settings.PrefillTimePerToken)
	}
	return o
}

func (o *owner) cell(number int) *cell {
	o.mu.Lock()
	c := o.cells[number]
	if c == nil {
		c = &cell{
			owner:       o,
			number:      number,
			scheduler:   pipeline.New(pipeline.WithWarmUpLimit(o.node.warmUp.limit), pipeline.WithSendGrants(cellGrants{o.node}), pipeline.WithWorth(o.node.settings.LateWorth, o.node.settings.ServedWorth)),
			engines:     placement.New(o.node.placementOptions(), o.node.warmUp.limit).WithSendGrants(cellGrants{o.node}),
			jobOutcomes: make(map[uint64]chan pipeline.Action),
			calls:       make(map[uint64]context.CancelFunc),
			grantQueues: make(map[string]*pace.Queue),
			features:    make(map[string]callFeatures),
		}
		o.cells[number] = c
		event.NodePoolsOwned.Log(o.node.log, "cell", number)
	}
	o.mu.Unlock()
	c.mu.Lock()
	isNew := c.lastRequestAt == 0
	c.lastRequestAt = o.node.now()
	c.mu.Unlock()
	if isNew {
		o.announceOwnedCells()
	}
	return c
}

// ownedCell returns a cell if this instance owns it, nil otherwise. The state of a cell
// that is no longer owned is out of date.
func (o *owner) ownedCell(number int) *cell {
	o.mu.Lock()
	c := o.cells[number]
	o.mu.Unlock()
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastRequestAt == 0 {
		return nil
	}
	return c
}

// announceOwnedCells announces the cells that this instance owns: those that received a
// request within ownershipClaimTTL.
func (o *owner) announceOwnedCells() {
	n := o.node
	var cells []uint32
	for _, c := range o.allCells() {
		c.mu.Lock()
		if c.lastRequestAt != 0 && n.now()-c.lastRequestAt < ownershipClaimTTL {
			cells = append(cells, uint32(c.number))
		} else {
			c.lastRequestAt = 0
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

func (o *owner) allCells() []*cell {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]*cell, 0, len(o.cells))
	for _, c := range o.cells {
		out = append(out, c)
	}
	return out
}

// refreshCells passes the current snapshot to the schedulers.
func (o *owner) refreshCells() {
	for _, c := range o.allCells() {
		c.refresh()
	}
}

func (o *owner) runTicks(ctx context.Context) {
	process.Every(ctx, schedulerTickInterval, func() {
		for _, c := range o.allCells() {
			c.runStep(c.scheduler.Tick)
			c.logThrottled(o.node.now())
		}
		o.announceOwnedCells()
	})
}
