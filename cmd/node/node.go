// Package node implements quince-node, the process that runs on every instance. A node
// serves clients' requests, follows the configuration, the replicas and the rollouts in
// the platform's store, and exchanges heartbeats with the other nodes. For the cells
// that it owns, it schedules stages on pools and places requests on engines. All
// instances run the same code.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	hclog "github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"quinceroad/cmd/node/customers"
	"quinceroad/cmd/node/eventstream"
	"quinceroad/cmd/node/inflight"
	"quinceroad/cmd/node/liveness"
	"quinceroad/cmd/node/origins"
	"quinceroad/cmd/node/peersync"
	"quinceroad/cmd/node/slotlease"
	"quinceroad/cmd/node/speeds"
	"quinceroad/cmd/node/triallease"
	"quinceroad/cmd/process"
	"quinceroad/coordination/balancer"
	"quinceroad/coordination/evacuation"
	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/health"
	"quinceroad/coordination/listing"
	"quinceroad/coordination/regions"
	"quinceroad/coordination/shutdown"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/state/catalog"
	"quinceroad/transport/clock"
	"quinceroad/transport/datagram"
	"quinceroad/transport/link"
	"quinceroad/transport/upstream"
	"quinceroad/transport/web"
)

// Node is the process of an instance. Locks are acquired in the order of these
// fields. No remote call is made while one is held.
type Node struct {
	settings        *platform.Settings       // settings at startup; the seeds may change later
	seeds           atomic.Pointer[[]string] // IP:port of the peer servers of some instances; they may no longer exist
	log             hclog.Logger
	store           store
	links           *link.Pool
	traffic         link.Traffic
	replicaClient   *upstream.Client // connections to replicas
	registry        metrics.Registry
	counters        counters
	clock           *clock.Clock // its time includes suspensions of the machine
	regionMap       *regions.Map
	home            string                                      // region of this instance
	regionlessHalls sync.Map                                    // halls without a region that were logged
	hostDistances   atomic.Pointer[map[string]regions.Distance] // by host of a live instance; nil: none known

	snapshot atomic.Pointer[snapshot] // current snapshot for requests; immutable once it is published

	watchedMu    sync.Mutex // guards the watched data, from which snapshots are built
	config       *catalog.Configuration
	rawConfig    *rawConfig
	replicas     *replicaSet
	drainedHalls *evacuation.View

	jitter       float64     // 0 to 1, derived from the name, so that instances do not all act at the same moment
	isReader     atomic.Bool // this instance watches the store on behalf of others
	storeFailed  atomic.Bool // a call to the store has failed since startup
	storeMonitor *storeMonitor
	storeEra     atomic.Uint64 // of the store's history, as last observed; 0: it states none
	configPull   peersync.Pull
	replicasPull peersync.Pull
	peerUpdates  peersync.UpdateServer

	gossipMu sync.Mutex // guards members
	members  *gossip.View

	speeds speeds.Table // has its own lock

	warmUp   *warmUpLimiter // has its own lock, which is acquired last
	rollouts *rollouts      // has its own lock, which is acquired last

	activeRequests    *inflight.Registry  // by incarnation of the replica, whose connections may never report its end
	quarantine        *quarantineTracker  // has its own lock; no other is acquired under it
	prober            *liveness.Prober    // has its own lock; no other is acquired under it
	requestsByFeature *inflight.Registry  // requests whose answers have not begun, by fingerprint of their features
	advisories        *advisories         // has its own lock; no other is acquired under it
	level             fleetLevel          // has its own lock; no other is acquired under it
	customers         customers.Counts    // has its own lock; no other is acquired under it
	heldAnswers       *eventstream.Held   // has its own lock; no other is acquired under it
	replicaLinks      *replicaLinks       // has its own lock; no other is acquired under it
	relayWatch        *link.Watch         // of the peers that connections are relayed for; has its own lock
	origins           *origins.Keeper     // has its own lock; no other is acquired under it
	slots             *slotlease.Service  // has its own lock; no other is acquired under it
	trials            *triallease.Service // has its own lock; no other is acquired under it

	detectorMu     sync.Mutex // guards the fields up to deadlines
	detector       *health.Detector
	loads          *balancer.Balancer
	rates          map[string]*serviceRates
	regionTrackers regionTrackers
	deadlines      longestDeadlines

	owner *owner

	stopping     atomic.Bool  // a stop was requested
	stopStarted  atomic.Int64 // start of the stop, as nanoseconds since the process started
	stopPlan     shutdown.Plan
	inFlight     atomic.Int64
	socket       *datagram.Socket
	peerServer   *link.Server
	listeners    listeners
	admin        *web.Server
	droppedLines func() int64 // log lines dropped so far; nil: the log drops none
	loggedDrops  int64        // dropped lines that were counted and logged
	cancel       context.CancelFunc
	group        *errgroup.Group
}

// New returns a node that is not started.
func New(s *platform.Settings, log hclog.Logger, opts ...Option) *Node {
	o := buildOptions(opts)
	n := &Node{
		settings:          s,
		log:               log,
		store:             platform.NewStore(s.StoreAddress),
		replicaClient:     upstream.NewWithClock(o.clock).WithDialer(o.dialReplicaBy),
		registry:          metrics.NewRegistry(),
		clock:             o.clock,
		regionMap:         regions.New(s.RegionByHall),
		replicas:          newReplicaSet(),
		drainedHalls:      evacuation.New(),
		warmUp:            newWarmUpLimiter(s),
		rollouts:          newRollouts(s),
		activeRequests:    inflight.NewRegistry(),
		quarantine:        newQuarantineTracker(jitterOf(s.Name)),
		requestsByFeature: inflight.NewRegistry(),
		advisories:        newAdvisories(),
		heldAnswers:       eventstream.NewHeld(s.MemoryMB * bytesPerMB),
		replicaLinks:      newReplicaLinks(s.MemoryMB),
		relayWatch:        link.NewWatch(relayWatchInterval, relayWatchLimit),
		storeMonitor:      newStoreMonitor(),
		jitter:            jitterOf(s.Name),
		detector:          health.New(health.DefaultOptions()),
		loads:             balancer.New(),
		rates:             make(map[string]*serviceRates),
		deadlines:         make(longestDeadlines),
		regionTrackers:    newRegionTrackers(),
		stopPlan:          shutdown.NewPlan(s.GracePeriod),
	}
	n.seeds.Store(&s.Seeds)
	n.links = link.NewPool(&n.traffic)
	n.counters = newCounters(n.registry)
	metrics.NewRegisteredFunctionalGauge("node.held_answer_bytes", n.registry, n.heldAnswers.Bytes)
	n.home = n.regionMap.RegionOf(s.Hall)
	n.members = gossip.New(gossip.Instance{
		Name:             s.Name,
		Hall:             s.Hall,
		Region:           n.home,
		Incarnation:      process.Incarnation(time.Now()),
		ClientAddress:    s.ClientAddress,
		PeerAddress:      s.PeerAddress,
		Level:            featurelevel.Current,
		CPUShare:         uint32(s.CPUShare * 1000),
		HeartbeatAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.HeartbeatPort)),
	}, gossip.DefaultOptions())
	n.origins = n.newOrigins()
	n.slots, n.trials = n.newSlotService(), n.newTrialService()
	n.prober = liveness.New(liveness.Options{Now: n.now, Ask: n.askLife})
	n.owner = newOwner(n)
	n.clock.OnResume(n.handleResume)
	n.snapshot.Store(&snapshot{regionMap: n.regionMap, list: listing.Empty()})
	return n
}

// jitterOf derives a number from 0 to 1 from an instance's name.
func jitterOf(name string) float64 { return float64(platform.HashString(name)%1000) / 1000 }

// now returns the time since the process started. All decisions are made by this clock.
func (n *Node) now() time.Duration { return n.clock.Now() }

// Start listens and starts to watch the store and to exchange heartbeats with peers.
func (n *Node) Start() error {
	socket, err := datagram.Listen(n.members.Self().HeartbeatAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	n.socket = socket
	if n.peerServer, err = link.Listen(n.settings.PeerAddress, n.servePeer, &n.traffic); err != nil {
		return trace.Wrap(err)
	}
	if err := n.listen(); err != nil {
		return trace.Wrap(err)
	}
	if err := n.listenAdmin(); err != nil {
		return trace.Wrap(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.group, ctx = errgroup.WithContext(ctx)
	loops := []func(context.Context){
		n.followIntent, n.followReplicas, n.keepRegistered, n.monitorStore, n.runHeartbeats, n.receiveHeartbeats, n.syncViews, n.owner.runTicks, n.housekeeping, n.followRollouts, n.runAdvisorySweeps, n.probeLinks, n.origins.Run,
	}
	for _, loop := range loops {
		n.group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	event.NodeStarted.Log(n.log, "front", n.settings.ClientAddress, "link", n.settings.PeerAddress)
	return nil
}

// Reload reads the settings again and applies the seeds. Addresses stay the same
// until the process ends. An invalid file changes nothing.
func (n *Node) Reload() {
	s, err := platform.LoadSettings()
	if err != nil {
		event.NodeSettingsReloadFailed.Log(n.log, "error", err)
		return
	}
	n.seeds.Store(&s.Seeds)
	event.NodeSettingsReloaded.Log(n.log, "seeds", len(s.Seeds))
	n.announceToSeeds()
}

// Stop shuts the node down gracefully: it announces that it leaves, so that clients
// are no longer given its address, accepts requests until clients have had time to
// notice, and ends when nothing is in flight, here or relayed for peers, or the time limit
// is reached.
func (n *Node) Stop() {
	start := n.now()
	event.NodeStopping.Log(n.log, "in_flight", n.inFlight.Load())
	n.stopStarted.Store(int64(start))
	n.stopping.Store(true)
	n.gossipMu.Lock()
	n.members.SetLeaving()
	n.gossipMu.Unlock()
	n.sendHeartbeats()
	time.Sleep(n.stopPlan.AcceptsUntil)
	n.awaitIdle(start + n.stopPlan.AnswersAt)
	n.clock.ExpireDeadlines() // what is left is answered as if its deadline had come
	n.awaitIdle(start + n.stopPlan.End)
	time.Sleep(stopPollInterval) // the last answer is written after its request has left inFlight
	event.NodeStopped.Log(n.log, "in_flight", n.inFlight.Load())
	n.Kill()
}

// Kill stops the node at once, without draining, like a power loss.
func (n *Node) Kill() {
	n.cancel()
	n.listeners.close()
	if n.admin != nil {
		n.admin.Stop(adminStopTimeout)
	}
	n.socket.Close()
	n.peerServer.Stop()
	n.links.Stop()
}

// awaitIdle waits until no request is in flight and no connection is relayed, or until a time.
func (n *Node) awaitIdle(until time.Duration) {
	for (n.inFlight.Load() > 0 || n.relayedForPeers() > 0) && n.now() < until {
		time.Sleep(stopPollInterval)
	}
}

// acceptsUntil reports whether a new request that is answered by a deadline is accepted, also during a stop.
func (n *Node) acceptsUntil(deadline time.Duration, isRepeatable bool) bool {
	if !n.stopping.Load() {
		return true
	}
	now := n.now()
	return n.stopPlan.Accepts(now-time.Duration(n.stopStarted.Load()), deadline-now, isRepeatable)
}

const (
	stopPollInterval = 20 * time.Millisecond // interval between checks whether a stop is complete
	adminStopTimeout = 10 * time.Millisecond // time for admin requests in flight to finish
)

// housekeeping periodically removes state that is no longer needed.
func (n *Node) housekeeping(ctx context.Context) {
	process.Every(ctx, housekeepingInterval, func() {
		list := n.snapshot.Load().list
		n.clock.CheckSuspension()
		n.logDropped()
		n.rollouts.prune()
		n.pruneQuarantine()
		n.pruneLinks()
		n.origins.Expire()
		n.expirePreviousEra()
		n.replicaClient.CloseIdleExcept(n.isListedAddress)
		n.links.Sweep(time.Now())
		n.detectorMu.Lock()
		defer n.detectorMu.Unlock()
		n.detector.Expire(n.now(), pruneAfter)
		n.loads.Prune(list.Has)
	})
}

// logDropped counts and logs how many log lines were dropped since the last call.
func (n *Node) logDropped() {
	if n.droppedLines == nil {
		return
	}
	dropped := n.droppedLines()
	if dropped == n.loggedDrops {
		return
	}
	n.counters.logDropped.Inc(dropped - n.loggedDrops)
	event.NodeLogDropped.Log(n.log, "lines", dropped-n.loggedDrops)
	n.loggedDrops = dropped
}

const (
	housekeepingInterval = 2 * time.Second // short compared with the lifetimes of the state that it removes
	pruneAfter           = time.Minute
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
