// Package entry implements the process that serves clients: it validates, rate-limits
// and admits requests, runs their pipelines on the upstreams' replicas and returns the
// results. Every instance runs one entry next to its coord. While the coord is
// unreachable, the entry continues with the last configuration, members and replicas
// that it received.
package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"quinceroad/coordination/estimate"
	"quinceroad/coordination/ledger"
	"quinceroad/coordination/retry"
	"quinceroad/coordination/ticket"
	"quinceroad/protocol/event"
	"quinceroad/protocol/settings"
	"quinceroad/state/table"
	"quinceroad/transport/link"
	"quinceroad/transport/platform"
	"quinceroad/transport/upstream"
	"quinceroad/transport/web"
)

// Entry is the entry process of one instance. Lock order: limits.mu, ledgerMu, then the
// locks of slots (docs/ARCHITECTURE.md). The view is an immutable snapshot that is
// replaced atomically, so it needs no lock.
type Entry struct {
	settings    *settings.Instance
	log         hclog.Logger
	start       time.Time
	incarnation uint64
	keys        ticket.Keys
	links       *link.Pool
	traffic     *link.Traffic
	upstreams   *upstream.Client
	probeClient *fasthttp.Client // asks replicas whether they are draining
	platform    *platform.Client
	registry    metrics.Registry
	counters    counters

	view    atomic.Pointer[view]
	viewErr atomic.Pointer[error] // why the view may be stale; nil while the coord is reachable

	limits *limits

	ledgerMu            sync.Mutex
	ledger              *ledger.Ledger
	adoptedIncarnations []uint64      // of the stopped entries whose ledgers this entry adopted
	watchChanged        chan struct{} // signals that the registration sent to the coord is outdated
	pendingHandovers    *table.Table[uint64, *pendingHandover]

	retriesMu sync.Mutex
	retries   *retry.Budget

	estimates *table.Table[stageKey, *stageEstimate]
	slots     *slotClient

	// coordIsolated is set while the coord receives nothing from other instances, so that
	// drain advisories do not spread.
	coordIsolated atomic.Bool
	lastAnswered  *table.Table[string, time.Time] // replica ID -> time of its last response that announced no drain
	draining      atomic.Bool                     // announced to peers; address responses leave this instance out
	refusing      atomic.Bool                     // new requests are refused
	inFlight      atomic.Int64

	httpServer  *web.Server
	adminServer *web.Server
	peerServer  *link.Server
	cancel      context.CancelFunc
	tasks       *errgroup.Group
}

// counters are the entry's metrics.
type counters struct {
	requests, done, notRun, failed, unknown, retries, resumed, dropped, joined, forwarded metrics.Counter
	latency, queue                                                                        metrics.Histogram // microseconds
}

// histogramSampleSize is the number of values kept per histogram. The library's default
// of about 1000 takes twice the memory.
const histogramSampleSize = 512

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	h := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(histogramSampleSize, 0.015))
	}
	return counters{
		requests: c("entry.requests"), done: c("entry.done"), notRun: c("entry.not_run"),
		failed: c("entry.failed"), unknown: c("entry.unknown"), retries: c("entry.retries"),
		resumed: c("entry.streams_resumed"), dropped: c("entry.answers_dropped"),
		joined: c("entry.ticket_joined"), forwarded: c("entry.ticket_forwarded"),
		latency: h("entry.latency_us"), queue: h("entry.queue_us"),
	}
}

const (
	retryRatio = 0.1 // retries per success
	retryBurst = 20  // maximum retries in a burst
)

type stageKey struct{ pipeline, stage string }

type stageEstimate struct {
	mu sync.Mutex
	*estimate.Estimator
}

// New returns an entry that is not started yet.
func New(s *settings.Instance, l hclog.Logger) *Entry {
	r := metrics.NewRegistry()
	t := &link.Traffic{}
	t.Register(r)
	e := &Entry{
		settings:         s,
		log:              l,
		start:            time.Now(),
		incarnation:      rand.Uint64() | 1, // never 0, which means no incarnation
		keys:             s.Keys(),
		links:            link.NewPool(t),
		traffic:          t,
		upstreams:        upstream.New(),
		platform:         platform.New(s.Platform),
		registry:         r,
		counters:         newCounters(r),
		watchChanged:     make(chan struct{}, 1),
		pendingHandovers: table.New[uint64, *pendingHandover](table.RankLedger),
		retries:          retry.NewBudget(retryRatio, retryBurst),
		lastAnswered:     table.New[string, time.Time](table.RankReplicas),
		probeClient:      web.NewClient(),
		estimates:        table.New[stageKey, *stageEstimate](table.RankReplicas),
	}
	e.ledger = ledger.New(e.incarnation)
	e.slots = newSlotClient(e)
	e.limits = newLimits(e)
	return e
}

// Start implements process.Process.
func (e *Entry) Start() (err error) {
	onPanic := func(v any) { event.EntryPanicked.Log(e.log, "panic", v) }
	if e.peerServer, err = link.Listen(e.settings.Entry.Link, e.servePeer, e.traffic); err != nil {
		return err
	}
	if e.httpServer, err = web.Listen(e.settings.Entry.HTTP, e.handler, onPanic); err != nil {
		return err
	}
	admin := &web.Admin{Registry: e.registry, Ready: e.ready, State: e.state}
	if e.adminServer, err = web.Listen(e.settings.Entry.Admin, admin.Handler, onPanic); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.tasks, ctx = errgroup.WithContext(ctx)
	e.slots.start()
	e.tasks.Go(func() error { e.watchLoop(ctx); return nil })
	e.tasks.Go(func() error { e.limits.reportLoop(ctx); return nil })
	event.EntryStarted.Log(e.log, "incarnation", e.incarnation, "http", e.settings.Entry.HTTP)
	return nil
}

// now returns the time since the entry's start on a monotonic clock. The ledger's times
// are on this clock.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

var errNoConfiguration = errors.New("no configuration from the coord yet")

func (e *Entry) ready() error {
	switch v := e.view.Load(); {
	case v == nil || v.fleet == nil:
		return errNoConfiguration
	case e.refusing.Load():
		return errors.New("stopping")
	}
	return nil
}

const (
	addressGrace         = 500 * time.Millisecond // added to the address TTL before the entry refuses requests
	inFlightTimeout      = 30 * time.Second       // maximum wait for requests in flight
	inFlightPollInterval = 20 * time.Millisecond
	defaultAddressTTL    = 2 * time.Second // used when no configuration was received
)

// Stop implements process.Process: a graceful shutdown. It continues to serve until the
// last address response that names this instance has expired, then refuses new requests,
// waits until none is in flight, hands the ledger over to a successor and stops the
// servers.
func (e *Entry) Stop() error {
	wait := defaultAddressTTL
	if v := e.view.Load(); v != nil && v.fleet != nil {
		wait = v.addressTTL()
	}
	event.EntryStopping.Log(e.log, "wait", wait.String())
	e.draining.Store(true)
	e.announceToCoord()
	time.Sleep(wait + addressGrace)
	e.refusing.Store(true)
	e.ledgerMu.Lock()
	e.ledger.Seal() // pending requests finish here, new numbers start at the successor
	e.ledgerMu.Unlock()
	until := time.Now().Add(inFlightTimeout)
	for e.inFlight.Load() > 0 && time.Now().Before(until) {
		time.Sleep(inFlightPollInterval)
	}
	e.handOverLedger()
	event.EntryStopped.Log(e.log, "in_flight", e.inFlight.Load())
	e.httpServer.Stop(time.Second)
	e.cancel()
	err := e.tasks.Wait()
	e.slots.stop()
	e.peerServer.Stop()
	e.adminServer.Stop(time.Second)
	e.links.Stop()
	return err
}

// state is the body of the admin server's state dump. It contains no secrets.
type state struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Draining    bool   `json:"leaving"`
	InFlight    int64  `json:"in_flight"`
	Ledger      int    `json:"ledger_records"`
	Pending     int    `json:"ledger_pending"`
	Members     int    `json:"members"`
	Replicas    int    `json:"replicas"`
	Owners      any    `json:"slot_owners"`
	Local       any    `json:"local_slots"`
	ViewError   string `json:"view_error,omitempty"`
}

func (e *Entry) state() any {
	s := state{
		Instance: e.settings.Name, Incarnation: e.incarnation,
		Draining: e.draining.Load(), InFlight: e.inFlight.Load(), Local: e.slots.local.Stats(),
	}
	if v := e.view.Load(); v != nil {
		s.Revision, s.Members, s.Replicas, s.Owners = v.revision, len(v.members), len(v.replicas), v.slotOwners
	}
	if err := e.viewErr.Load(); err != nil {
		s.ViewError = (*err).Error()
	}
	e.ledgerMu.Lock()
	s.Ledger, s.Pending = e.ledger.Len(), e.ledger.Pending()
	e.ledgerMu.Unlock()
	return s
}
