package node

import (
	"errors"
	"net"
	"strconv"
	"time"

	"quinceroad/cmd/node/customers"
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

// State is the dump of a node's state for operators. It holds no customers' keys. Fields
// whose Go name differs from their stable name in the JSON dump have tags.
type State struct {
	Name              string
	Build             string
	Level             uint32   // feature level of this build
	FleetLevel        uint32   // feature level that all live instances support
	PendingFeatures   []string `json:"Waiting"` // features that need a higher fleet level
	Uptime            string
	Stopping          bool
	InFlight          int64
	IsReader          bool   `json:"Reads"`    // watches the store on behalf of its hall
	Resumes           int64  `json:"Wakes"`    // resumes after suspensions of the machine
	StoreUnresponsive bool   `json:"Silent"`   // the store did not answer this instance's last probe
	ListRevision      uint64 `json:"ListedAt"` // store revision of the replica list
	ListEra           uint64 // era of that revision; 0: the store states none
	ConfigVersion     uint64 `json:"Version"` // version of the configuration in force; 0: none
	Routes            int
	Unlogged          []string          // services whose log does not hold all listed builds: streams wait or begin at others
	Replicas          map[string]int    // by service: replicas that accept work
	StartTimes        int               `json:"Lives"`   // number of replicas that report a start time
	Draining          []string          `json:"Leaving"` // replicas that stated a drain, or whose drain was inferred recently
	Backoffs          map[string]string `json:"Resting"` // replicas in backoff for this instance, and the time left
	RateLimited       map[string]string `json:"Limited"` // replicas with a rate limit: requests per second and the grantor
	SlotLeases        map[string]int    // by brittle replica of which this instance is the grantor: slots in use
	DrainedHalls      []string          `json:"Emptied"`   // halls whose replicas get no new requests
	Warming           []string          `json:"Cold"`      // warming replicas, whose load is limited
	Ejected           []string          `json:"LeftAlone"` // replicas ejected by outlier detection
	CutOff            map[string]int    // by service: replicas that this instance reaches through peers only
	RelayedForPeers   int               // connections that it relays for peers
	Rollouts          []RolloutState    // active rollouts
	Quarantine        []QuarantineState // requests under which replicas crashed
	Instances         []gossip.Instance
	Cells             []CellState
	Region            string                     // region of this node; "": its hall belongs to no region
	Regions           map[string]RegionState     // by name; "" holds halls that belong to no region
	PeerLinks         int                        `json:"LinkedTo"`
	Customers         map[string]customers.Count // outcomes of their requests at this node
}

// RegionState is a node's view of a region.
type RegionState struct {
	Instances int
	Replicas  map[string]int // by service: replicas that accept work
	Cells     int
	RoundTrip string `json:"Trip"` // recent round-trip time
}

// maxReportedShares is the maximum number of customers of a pool in the dump; throttled
// ones are listed in addition.
const maxReportedShares = 10

// CellState is a cell that this node has owned.
type CellState struct {
	Number  int
	Jobs    int // admitted jobs whose stages run or whose results are not read yet
	Calls   int // batches in flight
	Streams int // streams at engines
	Pools   []pipeline.PoolState
	Engines map[string]speed.Estimate // by service: speeds, as measured and as reported by peers
	Shares  []shares.Row              // customers with the highest demand, and all throttled ones
}

// Errors that state why a node is not ready.
var (
	errNoConfiguration = errors.New("no configuration is known yet")
	errNoReplicas      = errors.New("no list of replicas is known yet")
	errStopping        = errors.New("this instance is stopping")
)

// listenAdmin serves metrics and the state dump to operators.
func (n *Node) listenAdmin() error {
	if n.settings.AdminPort == 0 {
		return nil
	}
	admin := &web.Admin{Registry: n.registry, Ready: n.readiness, State: func() any { return n.State() }, ReleaseQuarantined: n.releaseFingerprint}
	server, err := web.Listen(net.JoinHostPort(n.settings.IP, strconv.Itoa(n.settings.AdminPort)), admin.Handler, func(p any) {
		event.NodePanicked.Log(n.log, "panic", p)
	})
	n.admin = server
	return err
}

func (n *Node) readiness() error {
	if n.stopping.Load() {
		return errStopping
	}
	snap := n.snapshot.Load()
	if snap.config == nil {
		return errNoConfiguration
	}
	if !snap.replicasLoaded {
		return errNoReplicas
	}
	return nil
}

// State returns the current state.
func (n *Node) State() State {
	snap := n.snapshot.Load()
	listedAt := n.replicasKnownAt()
	s := State{
		Name:              n.settings.Name,
		Build:             process.BuildVersion(),
		Level:             buildLevel,
		Uptime:            n.now().Round(time.Millisecond).String(),
		Stopping:          n.stopping.Load(),
		InFlight:          n.inFlight.Load(),
		IsReader:          n.isReader.Load(),
		Resumes:           n.counters.resumes.Count(),
		StoreUnresponsive: n.storeMonitor.isUnresponsive(),
		ListRevision:      listedAt.Revision,
		ListEra:           listedAt.Era,
		Replicas:          make(map[string]int),
		Backoffs:          make(map[string]string),
		Instances:         n.liveInstances(),
		PeerLinks:         n.links.Len(),
		Customers:         n.customers.All(),
	}
	n.advisories.withTracker(func(t *advisory.Tracker) {
		s.Draining = t.Draining()
		for incarnation, until := range t.Backoffs(n.now()) {
			s.Backoffs[incarnation] = (until - n.now()).Round(time.Millisecond).String()
		}
	})
	s.RateLimited = n.limitedStates(snap)
	s.SlotLeases = n.slots.Held()
	s.CutOff, s.RelayedForPeers = n.replicaLinks.cutOff(), n.relayedForPeers()
	s.Draining = append(s.Draining, n.recentInferredDrains(maxDrainsPerHeartbeat)...)
	s.FleetLevel = n.level.inForce()
	s.PendingFeatures = featurelevel.PendingFeatures(s.FleetLevel)
	n.watchedMu.Lock()
	s.DrainedHalls = n.drainedHalls.Halls()
	n.watchedMu.Unlock()
	s.Rollouts = n.rolloutStates()
	s.Quarantine = n.quarantineStates()
	s.StartTimes = snap.list.NamedLen()
	for r := range snap.list.All() {
		if r.WarmingUntil > n.now() {
			s.Warming = append(s.Warming, r.ID)
		}
	}
	if snap.config != nil {
		s.ConfigVersion, s.Routes, s.Unlogged = snap.config.Version, len(snap.config.Routes), n.origins.Unlogged()
	}
	for service := range snap.list.Services() {
		if _, _, eligible := snap.list.Count(service); eligible > 0 {
			s.Replicas[service] = eligible
		}
	}
	s.Region, s.Regions = n.home, n.regionStates(snap, s.Instances)
	for id := range n.ejectedReplicas() {
		s.Ejected = append(s.Ejected, id)
	}
	for _, c := range n.owner.allCells() {
		c.mu.Lock()
		engines := make(map[string]speed.Estimate)
		for service, engineSpeed := range c.engines.Speeds() {
			engines[service] = engineSpeed.Estimate()
		}
		s.Cells = append(s.Cells, CellState{
			Number: c.number, Jobs: c.scheduler.Jobs(), Calls: len(c.calls), Streams: c.engines.Running(), Pools: c.scheduler.Pools(n.now()),
			Engines: engines, Shares: c.scheduler.TopCustomers(n.now(), maxReportedShares),
		})
		c.mu.Unlock()
	}
	return s
}

func (n *Node) regionStates(snap *snapshot, alive []gossip.Instance) map[string]RegionState {
	out := make(map[string]RegionState)
	for _, region := range snap.regionMap.Names() {
		r := RegionState{Cells: snap.cellCount(region), RoundTrip: n.roundTripTo(region).String()}
		r.Replicas = make(map[string]int)
		for service := range snap.list.Services() {
			if eligible := snap.list.EligibleIn(region, service); eligible > 0 {
				r.Replicas[service] = eligible
			}
		}
		for _, i := range alive {
			if i.Region == region {
				r.Instances++
			}
		}
		out[region] = r
	}
	return out
}
