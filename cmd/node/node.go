// Package node is an instance's one process on the users' platform: it answers
// clients, follows the configuration and the replicas, keeps touch with the
// other instances, and owns pools when it is their turn. All instances are alike.
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

	"quinceroad/cmd/process"
	"quinceroad/coordination/balancer"
	"quinceroad/coordination/evacuation"
	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/health"
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

// Node is the process. Locks are taken in the order in which they stand here,
// and nobody is called while one is held.
type Node struct {
	settings *platform.Settings       // as at the start; the seeds may change
	seeds    atomic.Pointer[[]string] // IP:port of some instances' links, which may be gone
	log      hclog.Logger
	store    store
	links    *link.Pool
	traffic  link.Traffic
	clients  *upstream.Client // of replicas
	registry metrics.Registry
	counters counters
	clock    *clock.Clock // counts time asleep
	places   *regions.Map
	home     string                          // this instance's region
	unplaced sync.Map                        // halls that a log line has said to be of no region
	farHosts atomic.Pointer[map[string]bool] // of instances in other regions; nil: none is known

	world atomic.Pointer[world] // what requests are served from; never changed once set

	followMu  sync.Mutex // guards what is followed, before it becomes a world
	config    *catalog.Configuration
	rawConfig *rawConfig
	replicas  *replicaSet
	emptied   *evacuation.View

	spread      float64     // 0 to 1, by its name: for what not all instances should do at the same moment
	reads       atomic.Bool // this instance follows the store for others
	storeFailed atomic.Bool // a call to the store has failed since the start
	pulse       *pulse
	configPull  pull
	listPull    pull
	telling     telling

	gossipMu sync.Mutex
	members  *gossip.View

	speeds speeds // has a lock of its own

	cold     *warmUpLimiter // has a lock of its own, which is taken last
	rollouts *rollouts      // the same

	running    *running       // has a lock of its own, under which no other is taken
	quarantine *quarantined   // has a lock of its own, under which no other is taken
	statements *statements    // the same
	level      fleetLevel     // the same
	customers  customerCounts // the same

	judgeMu   sync.Mutex
	judge     *health.Detector
	loads     *balancer.Balancer
	rates     map[string]*serviceRates
	lending   regionTrackers
	deadlines longestDeadlines

	owner *owner

	stopping  atomic.Bool  // a stop signal came
	stopBegan atomic.Int64 // when, as a time since the process began
	stopPlan  shutdown.Plan
	inFlight  atomic.Int64
	socket    *datagram.Socket
	peers     *link.Server
	listeners listeners
	admin     *web.Server
	dropped   func() int64 // log lines, so far; nil: none are
	told      int64        // dropped lines that were logged
	cancel    context.CancelFunc
	group     *errgroup.Group
}

// New returns a process that is not started.
func New(s *platform.Settings, log hclog.Logger) *Node {
	return NewWith(s, log, clock.New())
}

// NewWith returns a process that goes by a clock.
func NewWith(s *platform.Settings, log hclog.Logger, c *clock.Clock) *Node {
	n := &Node{
		settings:   s,
		log:        log,
		store:      platform.NewStore(s.Store),
		clients:    upstream.WithClock(c),
		registry:   metrics.NewRegistry(),
		clock:      c,
		places:     regions.New(s.Regions),
		replicas:   newReplicaSet(),
		emptied:    evacuation.New(),
		cold:       newWarmUpLimiter(s),
		rollouts:   newRollouts(s),
		running:    newRunning(),
		quarantine: newQuarantined(spreadOf(s.Name)),
		statements: newStatements(),
		pulse:      newPulse(),
		spread:     spreadOf(s.Name),
		judge:      health.New(health.DefaultOptions()),
		loads:      balancer.New(),
		rates:      make(map[string]*serviceRates),
		deadlines:  make(longestDeadlines),
		lending:    newRegionTrackers(),
		stopPlan:   shutdown.NewPlan(s.StopFor),
	}
	n.seeds.Store(&s.Seeds)
	n.links = link.NewPool(&n.traffic)
	n.counters = newCounters(n.registry)
	n.home = n.places.RegionOf(s.Hall)
	n.members = gossip.New(gossip.Instance{
		Name:             s.Name,
		Hall:             s.Hall,
		Region:           n.home,
		Incarnation:      process.Incarnation(time.Now()),
		ClientAddress:    s.Front,
		PeerAddress:      s.Link,
		Level:            featurelevel.Current,
		CPUShare:         uint32(s.ProcessorShare * 1000),
		HeartbeatAddress: net.JoinHostPort(s.IP, strconv.Itoa(s.DatagramPort)),
	}, gossip.DefaultOptions())
	n.owner = newOwner(n)
	n.clock.OnWake(n.woke)
	n.world.Store(&world{places: n.places, services: make(map[string][]catalog.Replica)})
	return n
}

// spreadOf places an instance between 0 and 1 by its name.
func spreadOf(name string) float64 { return float64(platform.Hash(name)%1000) / 1000 }

// now is the time since the process began, which the decisions are given.
func (n *Node) now() time.Duration { return n.clock.Now() }

// Start listens and begins to follow the store and the peers.
func (n *Node) Start() error {
	socket, err := datagram.Listen(n.members.Self().HeartbeatAddress)
	if err != nil {
		return trace.Wrap(err)
	}
	n.socket = socket
	if n.peers, err = link.Listen(n.settings.Link, n.serveLink, &n.traffic); err != nil {
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
		n.followIntent, n.followReplicas, n.register, n.feelPulse, n.beat, n.hear, n.owner.tick, n.housekeeping, n.followRollouts, n.followStatements,
	}
	for _, loop := range loops {
		n.group.Go(func() error {
			loop(ctx)
			return nil
		})
	}
	event.NodeStarted.Log(n.log, "front", n.settings.Front, "link", n.settings.Link)
	return nil
}

// Reload reads the settings again. Addresses are fixed for a process's life;
// the seeds are taken over. A broken file changes nothing.
func (n *Node) Reload() {
	s, err := platform.LoadSettings()
	if err != nil {
		event.NodeReloadFails.Log(n.log, "error", err)
		return
	}
	n.seeds.Store(&s.Seeds)
	event.NodeReloaded.Log(n.log, "seeds", len(s.Seeds))
	n.tellSeeds()
}

// Stop is a planned stop: the instance leaves the answers for addresses, takes
// requests until clients have had time to notice, and ends when nothing is in
// flight or the time is over.
func (n *Node) Stop() {
	start := n.now()
	event.NodeStopping.Log(n.log, "in_flight", n.inFlight.Load())
	n.stopBegan.Store(int64(start))
	n.stopping.Store(true)
	n.gossipMu.Lock()
	n.members.SetLeaving()
	n.gossipMu.Unlock()
	n.tell()
	time.Sleep(n.stopPlan.RequestsUntil)
	for n.inFlight.Load() > 0 && n.now()-start < n.stopPlan.End {
		time.Sleep(stopPoll)
	}
	event.NodeStopped.Log(n.log, "in_flight", n.inFlight.Load())
	n.Kill()
}

// Kill ends the process's work at once, as a loss of power would.
func (n *Node) Kill() {
	n.cancel()
	n.listeners.close()
	if n.admin != nil {
		n.admin.Stop(adminStop)
	}
	n.socket.Close()
	n.peers.Stop()
	n.links.Stop()
}

// takes reports whether a request is taken although a stop may be under way.
func (n *Node) takes(stream bool) bool {
	return !n.stopping.Load() || n.stopPlan.Accepts(n.now()-time.Duration(n.stopBegan.Load()), stream)
}

const (
	stopPoll  = 20 * time.Millisecond // between looks whether a stop may end
	adminStop = 10 * time.Millisecond // that a question for figures may still take
)

// housekeeping forgets what is no longer of use.
func (n *Node) housekeeping(ctx context.Context) {
	process.Every(ctx, housekeepingEach, func() {
		w := n.world.Load()
		known := make(map[string]bool, len(w.all))
		addresses := make(map[string]bool, len(w.all))
		for _, r := range w.all {
			known[r.ID] = true
			addresses[r.Address] = true
		}
		n.clock.Look()
		n.logDropped()
		n.rollouts.forget()
		n.forgetQuarantine()
		n.clients.Forget(addresses)
		n.links.Sweep(time.Now())
		n.judgeMu.Lock()
		defer n.judgeMu.Unlock()
		n.judge.Expire(n.now(), forgetAfter)
		n.loads.Prune(func(id string) bool { return known[id] })
	})
}

// logDropped counts and logs the log lines that were dropped.
func (n *Node) logDropped() {
	if n.dropped == nil {
		return
	}
	now := n.dropped()
	if now == n.told {
		return
	}
	n.counters.logDropped.Inc(now - n.told)
	event.NodeLogDropped.Log(n.log, "lines", now-n.told)
	n.told = now
}

const (
	housekeepingEach = 2 * time.Second // rare against all that it forgets
	forgetAfter      = time.Minute
)

func newRandom() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
