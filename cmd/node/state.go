package node

import (
	"errors"
	"net"
	"strconv"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/advisory"
	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/pipeline"
	"quinceroad/coordination/shares"
	"quinceroad/coordination/speed"
	"quinceroad/protocol/event"
	"quinceroad/transport/web"
)

// State is the dump of a node's state: what it believes, without keys.
type State struct {
	Name       string
	Build      string
	Level      uint32   // what this build understands
	FleetLevel uint32   // what all that are alive understand
	Waiting    []string // what needs a higher one
	Uptime     string
	Stopping   bool
	InFlight   int64
	Reads      bool   // follows the store for its hall
	Wakes      int64  // after suspensions of the machine
	Silent     bool   // the store did not answer when this instance last asked it
	ListedAt   uint64 // store's revision up to which the replicas are known
	Version    uint64 // of the configuration in force; 0: none
	Routes     int
	Replicas   map[string]int    // by service, those that may get work
	Lives      int               // of replicas that say when they were born
	Leaving    []string          // replicas, by their own word, or by signs lately
	Resting    map[string]string // replicas that want nothing from this instance, and for how much longer
	Limited    map[string]string // replicas that state how many requests a second they take, and who gives their turns
	Emptied    []string          // halls whose replicas get nothing new
	Cold       []string          // replicas that get little
	LeftAlone  []string          // replicas taken for sick
	Rollouts   []RolloutState    // that stand
	Quarantine []QuarantineState // requests that replicas have ended under
	Instances  []gossip.Instance
	Cells      []CellState
	Region     string                 // this node's; "" where nobody can place its hall
	Regions    map[string]RegionState // by name; "" of halls that nobody can place
	LinkedTo   int
	Customers  map[string]customerCount // what became of their requests here
}

// RegionState is what a node knows of a region.
type RegionState struct {
	Instances int
	Replicas  map[string]int // by service, those that may get work
	Cells     int
	Trip      string // of a question there and back, as it was lately
}

// mostSharesTold bounds the dump: customers of each pool, beside those held.
const mostSharesTold = 10

// CellState is a cell that this node has owned.
type CellState struct {
	Number  int
	Jobs    int // admitted, their stages under way or their results not read yet
	Calls   int // of pieces, under way
	Streams int // at engines
	Pools   []pipeline.PoolState
	Engines map[string]speed.Estimate // by service, as observed and told
	Shares  []shares.Row              // of the customers that ask for most, and of all that are held to one
}

// These say why a node is not ready.
var (
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoReplicas      = errors.New("no list of replicas is known yet")
	errStopping        = errors.New("this instance is stopping")
)

// listenAdmin serves metrics and the dump of state to operators.
func (n *Node) listenAdmin() error {
	if n.settings.MetricsPort == 0 {
		return nil
	}
	admin := &web.Admin{Registry: n.registry, Ready: n.readiness, State: func() any { return n.State() }, Acquit: n.acquit}
	server, err := web.Listen(net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.MetricsPort)), admin.Handler, func(p any) {
		event.NodePanicked.Log(n.log, "panic", p)
	})
	n.admin = server
	return err
}

func (n *Node) readiness() error {
	if n.stopping.Load() {
		return errStopping
	}
	w := n.world.Load()
	if w.config == nil {
		return errNoConfiguration
	}
	if !w.listed {
		return errNoReplicas
	}
	return nil
}

// State returns the dump.
func (n *Node) State() State {
	w := n.world.Load()
	s := State{
		Name:      n.settings.Name,
		Build:     process.Build(),
		Level:     thisLevel,
		Uptime:    n.now().Round(time.Millisecond).String(),
		Stopping:  n.stopping.Load(),
		InFlight:  n.inFlight.Load(),
		Reads:     n.reads.Load(),
		Wakes:     n.counters.wakes.Count(),
		Silent:    n.pulse.isSilent(),
		ListedAt:  n.listAt(),
		Replicas:  make(map[string]int, len(w.services)),
		Resting:   make(map[string]string),
		Instances: n.alive(),
		LinkedTo:  n.links.Len(),
		Customers: n.customers.counts(),
	}
	n.statements.with(func(b *advisory.Tracker) {
		s.Leaving = b.Draining()
		for life, until := range b.Backoffs(n.now()) {
			s.Resting[life] = (until - n.now()).Round(time.Millisecond).String()
		}
	})
	s.Limited = n.limitedStates(w)
	s.Leaving = append(s.Leaving, n.recentlyLeaving(mostLeavingTold)...)
	s.FleetLevel = n.level.inForce()
	s.Waiting = featurelevel.PendingFeatures(s.FleetLevel)
	n.followMu.Lock()
	s.Emptied = n.emptied.Halls()
	n.followMu.Unlock()
	s.Rollouts = n.rolloutStates()
	s.Quarantine = n.quarantineStates()
	for _, r := range w.all {
		if r.StartMillis != 0 {
			s.Lives++
		}
		if r.WarmingUntil > n.now() {
			s.Cold = append(s.Cold, r.ID)
		}
	}
	if w.config != nil {
		s.Version, s.Routes = w.config.Version, len(w.config.Routes)
	}
	for service, list := range w.services {
		s.Replicas[service] = len(list)
	}
	s.Region, s.Regions = n.home, n.regionStates(w, s.Instances)
	for id := range n.pausedReplicas() {
		s.LeftAlone = append(s.LeftAlone, id)
	}
	for _, c := range n.owner.all() {
		c.mu.Lock()
		engines := make(map[string]speed.Estimate)
		for service, known := range c.engines.Speeds() {
			engines[service] = known.Estimate()
		}
		s.Cells = append(s.Cells, CellState{
			Number: c.number, Jobs: c.scheduler.Jobs(), Calls: len(c.calls), Streams: c.engines.Running(), Pools: c.scheduler.Pools(n.now()),
			Engines: engines, Shares: c.scheduler.TopCustomers(n.now(), mostSharesTold),
		})
		c.mu.Unlock()
	}
	return s
}

func (n *Node) regionStates(w *world, alive []gossip.Instance) map[string]RegionState {
	out := make(map[string]RegionState)
	for _, region := range w.places.Names() {
		r := RegionState{Cells: w.cellCount(region), Trip: n.roundTripTo(region).String()}
		r.Replicas = w.parts.available[region]
		for _, i := range alive {
			if i.Region == region {
				r.Instances++
			}
		}
		out[region] = r
	}
	return out
}
