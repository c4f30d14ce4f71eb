// Package coord is the process that knows the fleet: membership, the
// configuration in force, the upstreams' replicas, slots of the services it
// owns, and the operators' intent API. Every instance runs one.
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

// Coord is one instance's coord. Locks, in order: configMu, membersMu,
// replicasMu, then the slots host's, then watchersMu (docs/ARCHITECTURE.md).
type Coord struct {
	set      *settings.Instance
	log      hclog.Logger
	start    time.Time
	platform *platform.Client
	links    *link.Pool
	traffic  *link.Traffic
	registry metrics.Registry
	count    counters

	configMu sync.RWMutex
	inForce  revision.InForce
	pulling  sync.Mutex   // held over a pull; taken before any other
	fleet    *fleet.Fleet // parsed from inForce; nil before the first

	membersMu sync.RWMutex
	view      *membership.View
	news      map[string]int // member -> rounds it is still passed on

	replicasMu sync.RWMutex
	replicas   *replicas.Set
	signs      map[string]int // replica -> rounds its leaving is still passed on
	listAt     time.Time      // when the list was last known good

	slots    *slots.Host
	owner    *owner
	watchers *watchers
	plans    *plans
	orders   *orders
	limits   *limits

	kick    chan struct{} // beat now: there is news
	alone   atomic.Bool   // no partner answered the last beats
	server  *link.Server
	api     *web.Server
	admin   *web.Server
	cancel  context.CancelFunc
	running *errgroup.Group
}

// counters are the coord's metrics.
type counters struct {
	beats, beatsFailed, platformReads, platformWrites, platformFailed, grants, refusals metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	return counters{
		beats: c("coord.beats"), beatsFailed: c("coord.beats_failed"),
		platformReads: c("coord.platform_reads"), platformWrites: c("coord.platform_writes"),
		platformFailed: c("coord.platform_failed"),
		grants:         c("coord.slot_grants"), refusals: c("coord.slot_refusals"),
	}
}

// New returns a coord that is not running.
func New(s *settings.Instance, l hclog.Logger) *Coord {
	r := metrics.NewRegistry()
	t := &link.Traffic{}
	t.Register(r)
	c := &Coord{
		set:      s,
		log:      l,
		start:    time.Now(),
		platform: platform.New(s.Platform),
		links:    link.NewPool(t),
		traffic:  t,
		registry: r,
		count:    newCounters(r),
		news:     make(map[string]int),
		replicas: replicas.New(),
		signs:    make(map[string]int),
		watchers: newWatchers(),
		kick:     make(chan struct{}, 1),
	}
	c.view = membership.New(membership.Member{
		Name: s.Name, Hall: s.Hall, CoordAddress: s.Coord.AdvertisedLink,
		// A start later than the last one gives a higher incarnation. Only
		// soft state rests on this clock.
		Incarnation: process.Incarnation(time.Now()),
	})
	c.owner = newOwner(c)
	c.plans = newPlans(c)
	c.orders = newOrders(c)
	c.limits = newLimits(c)
	return c
}

// Start implements process.Process.
func (c *Coord) Start() (err error) {
	if c.server, err = link.Listen(c.set.Coord.Link, c.serveLink, c.traffic); err != nil {
		return err
	}
	onPanic := func(v any) { event.EntryPanicked.Log(c.log, "panic", v) }
	if c.api, err = web.Listen(c.set.Coord.Operators, c.plans.handler, onPanic); err != nil {
		return err
	}
	admin := &web.Admin{Registry: c.registry, Ready: c.ready, State: c.state}
	if c.admin, err = web.Listen(c.set.Coord.Admin, admin.Handler, onPanic); err != nil {
		return err
	}
	c.slots.Start()
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.running, ctx = errgroup.WithContext(ctx)
	loops := []func(context.Context){c.beatLoop, c.configLoop, c.listLoop, c.sweepLoop, c.orders.loop}
	for _, loop := range loops {
		c.running.Go(func() error { loop(ctx); return nil })
	}
	event.CoordStarted.Log(c.log, "incarnation", c.view.Self().Incarnation, "link", c.set.Coord.Link)
	return nil
}

// Stop implements process.Process: it tells peers that it leaves, so that
// slots move to their next owner, and ends.
func (c *Coord) Stop() error {
	c.updateSelf(func(m *membership.Member) { m.Leaving = true })
	c.beatAll()
	c.cancel()
	err := c.running.Wait()
	c.slots.Stop()
	c.api.Stop(time.Second)
	c.admin.Stop(time.Second)
	c.server.Stop()
	c.links.Stop()
	event.CoordStopped.Log(c.log)
	return err
}

// now is the coord's monotonic clock.
func (c *Coord) now() time.Duration { return time.Since(c.start) }

var errNoConfig = errors.New("no configuration yet")

func (c *Coord) ready() error {
	if _, f := c.config(); f == nil {
		return errNoConfig
	}
	return nil
}

// config returns what is in force; the fleet is nil before the first.
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

const sweepEvery = 5 * time.Second

func (c *Coord) sweepLoop(ctx context.Context) {
	process.Every(ctx, sweepEvery, func() {
		c.links.Sweep(time.Now())
		c.limits.sweep()
	})
}
