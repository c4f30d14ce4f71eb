// Package coord is the coordination process; every instance runs one. It maintains
// the membership, the configuration in force and the list of replicas, schedules the
// slots of the services it owns, and serves the operators' API.
package coord

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"quinceroad/cmd/process"
	"quinceroad/cmd/slots"
	"quinceroad/coordination/membership"
	"quinceroad/coordination/replicas"
	"quinceroad/coordination/revision"
	"quinceroad/protocol/event"
	"quinceroad/protocol/settings"
	"quinceroad/state/fleet"
	"quinceroad/transport/link"
	"quinceroad/transport/platform"
	"quinceroad/transport/web"
)

// Coord is one instance's coordination process. Lock order: configMu, membersMu,
// replicasMu, the locks of slots, watchers.mu (docs/ARCHITECTURE.md).
type Coord struct {
	settings *settings.Instance
	log      hclog.Logger
	start    time.Time
	platform *platform.Client
	links    *link.Pool
	traffic  *link.Traffic
	registry metrics.Registry
	counters counters

	configMu sync.RWMutex
	inForce  revision.InForce
	pullMu   sync.Mutex   // serializes pulls; locked before any other
	fleet    *fleet.Fleet // parsed from inForce; nil before the first configuration

	membersMu     sync.RWMutex
	view          *membership.View
	memberUpdates map[string]int // member -> rounds left to gossip it

	replicasMu     sync.RWMutex
	replicas       *replicas.Set
	leavingUpdates map[string]int // replica -> rounds left to gossip that it is leaving
	listConfirmed  time.Time      // when the list was last known to be current; zero without a list

	slots     *slots.Host
	slotOwner *slotOwner
	watchers  *watchers
	plans     *plans
	orders    *orders
	limits    *limits

	heartbeatNow chan struct{} // triggers heartbeats before their interval ends
	isolated     atomic.Bool   // no member answered the last heartbeats
	server       *link.Server
	api          *web.Server
	admin        *web.Server
	cancel       context.CancelFunc
	loops        *errgroup.Group
}

// counters are the coord's metrics.
type counters struct {
	heartbeats, heartbeatsFailed, platformReads, platformWrites, platformFailed, slotGrants, slotRefusals metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return counters{
		heartbeats: c("coord.beats"), heartbeatsFailed: c("coord.beats_failed"),
		platformReads: c("coord.platform_reads"), platformWrites: c("coord.platform_writes"),
		platformFailed: c("coord.platform_failed"),
		slotGrants:     c("coord.slot_grants"), slotRefusals: c("coord.slot_refusals"),
	}
}

// New returns a coord that is not started yet.
func New(s *settings.Instance, l hclog.Logger) *Coord {
	r := metrics.NewRegistry()
	t := &link.Traffic{}
	t.Register(r)
	c := &Coord{
		settings:       s,
		log:            l,
		start:          time.Now(),
		platform:       platform.New(s.Platform),
		links:          link.NewPool(t),
		traffic:        t,
		registry:       r,
		counters:       newCounters(r),
		memberUpdates:  make(map[string]int),
		replicas:       replicas.New(),
		leavingUpdates: make(map[string]int),
		watchers:       newWatchers(),
		heartbeatNow:   make(chan struct{}, 1),
	}
	c.view = membership.New(membership.Member{
		Name: s.Name, Hall: s.Hall, CoordAddress: s.Coord.AdvertisedLink,
		// A later start gets a higher incarnation. Only soft state depends on
		// this clock.
		Incarnation: process.Incarnation(time.Now()),
	})
	c.slotOwner = newSlotOwner(c)
	c.plans = newPlans(c)
	c.orders = newOrders(c)
	c.limits = newLimits(c)
	return c
}

// Start implements process.Process.
func (c *Coord) Start() (err error) {
	if c.server, err = link.Listen(c.settings.Coord.Link, c.serveLink, c.traffic); err != nil {
		return err
	}
	onPanic := func(v any) { event.EntryPanicked.Log(c.log, "panic", v) }
	if c.api, err = web.Listen(c.settings.Coord.Operators, c.plans.handler, onPanic); err != nil {
		return err
	}
	admin := &web.Admin{Registry: c.registry, Ready: c.ready, State: c.state}
	if c.admin, err = web.Listen(c.settings.Coord.Admin, admin.Handler, onPanic); err != nil {
		return err
	}
	c.slots.Start()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.loops, ctx = errgroup.WithContext(ctx)
	loops := []func(context.Context){c.heartbeatLoop, c.configLoop, c.listLoop, c.sweepLoop, c.orders.loop}
	for _, loop := range loops {
		c.loops.Go(func() error { loop(ctx); return nil })
	}
	event.CoordStarted.Log(c.log, "incarnation", c.view.Self().Incarnation, "link", c.settings.Coord.Link)
	return nil
}

// Stop implements process.Process. It first announces to the peers that this instance
// is leaving, so that slots move to their next owner.
func (c *Coord) Stop() error {
	c.updateSelf(func(m *membership.Member) { m.Leaving = true })
	c.sendHeartbeats()
	c.cancel()
	err := c.loops.Wait()
	c.slots.Stop()
	c.api.Stop(time.Second)
	c.admin.Stop(time.Second)
	c.server.Stop()
	c.links.Stop()
	event.CoordStopped.Log(c.log)
	return err
}

// now returns the time since the coord's start on a monotonic clock.
func (c *Coord) now() time.Duration { return time.Since(c.start) }

var errNoConfig = errors.New("no configuration yet")

func (c *Coord) ready() error {
	if _, f := c.config(); f == nil {
		return errNoConfig
	}
	return nil
}

// config returns the configuration in force, with its declaration parsed: nil before the
// first one.
func (c *Coord) config() (revision.Config, *fleet.Fleet) {
	c.configMu.RLock()
	defer c.configMu.RUnlock()
	return c.inForce.Config(), c.fleet
}

func (c *Coord) members() []membership.Member {
	c.membersMu.RLock()
	defer c.membersMu.RUnlock()
	return c.view.All()
}

func (c *Coord) allReplicas() []replicas.Replica {
	c.replicasMu.RLock()
	defer c.replicasMu.RUnlock()
	return c.replicas.All()
}

const sweepInterval = 5 * time.Second

func (c *Coord) sweepLoop(ctx context.Context) {
	process.Every(ctx, sweepInterval, func() {
		c.links.Sweep(time.Now())
		c.limits.sweep()
	})
}
