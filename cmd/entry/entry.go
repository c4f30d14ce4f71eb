// Package entry is the process callers talk to: it checks, limits and admits
// requests, runs their pipelines over the upstreams, and answers. Every
// instance runs one, beside its coord; without the coord it goes on with what
// it last knew.
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

// Entry is one instance's entry. Locks, in order: the limits', ledgerMu, then the
// slots' (docs/ARCHITECTURE.md). The view is a snapshot that is exchanged as a
// whole and needs none.
type Entry struct {
	set         *settings.Instance
	log         hclog.Logger
	start       time.Time
	incarnation uint64
	keys        ticket.Keys
	links       *link.Pool
	traffic     *link.Traffic
	upstreams   *upstream.Client
	probes      *fasthttp.Client // asks replicas whether they leave
	platform    *platform.Client
	registry    metrics.Registry
	count       counters

	view    atomic.Pointer[view]
	viewErr atomic.Pointer[error] // why the view may be old; nil while the coord talks

	limits *limits

	ledgerMu  sync.Mutex
	ledger    *ledger.Ledger
	succeeds  []uint64
	rewatch   chan struct{} // what the coord knows of this entry has changed
	heirlooms *table.Table[uint64, *heirloom]

	retriesMu sync.Mutex
	retries   *retry.Budget

	estimates *table.Table[stageKey, *stageEstimate]
	slots     *slotClient

	alone    atomic.Bool                     // the coord hears from no other: replicas' leaving does not spread
	heard    *table.Table[string, time.Time] // replica -> when it last answered
	leaving  atomic.Bool                     // told to peers and address answers
	refusing atomic.Bool                     // new requests are refused
	inFlight atomic.Int64

	http    *web.Server
	admin   *web.Server
	server  *link.Server
	cancel  context.CancelFunc
	running *errgroup.Group
}

// counters are the entry's metrics.
type counters struct {
	requests, done, notRun, failed, unknown, retries, resumed, dropped, joined, forwarded metrics.Counter
	latency, queue                                                                        metrics.Histogram // microseconds
}

const sampleSize = 512 // of a histogram; the default of about a thousand costs twice the memory

func newCounters(r metrics.Registry) counters {
	c := func(name string) metrics.Counter { return metrics.NewRegisteredCounter(name, r) }
	h := func(name string) metrics.Histogram {
		return metrics.NewRegisteredHistogram(name, r, metrics.NewExpDecaySample(sampleSize, 0.015))
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
	retryShare = 0.1 // retries per success
	retryMost  = 20  // retries that may come at once
)

type stageKey struct{ pipeline, stage string }

type stageEstimate struct {
	mu sync.Mutex
	*estimate.Estimator
}

// New returns an entry that is not running.
func New(s *settings.Instance, l hclog.Logger) *Entry {
	r := metrics.NewRegistry()
	t := &link.Traffic{}
	t.Register(r)
	e := &Entry{
		set:         s,
		log:         l,
		start:       time.Now(),
		incarnation: rand.Uint64() | 1, // never 0, which means none
		keys:        s.Keys(),
		links:       link.NewPool(t),
		traffic:     t,
		upstreams:   upstream.New(),
		platform:    platform.New(s.Platform),
		registry:    r,
		count:       newCounters(r),
		rewatch:     make(chan struct{}, 1),
		heirlooms:   table.New[uint64, *heirloom](table.RankLedger),
		retries:     retry.NewBudget(retryShare, retryMost),
		heard:       table.New[string, time.Time](table.RankReplicas),
		probes:      web.NewClient(),
		estimates:   table.New[stageKey, *stageEstimate](table.RankReplicas),
	}
	e.ledger = ledger.New(e.incarnation)
	e.slots = newSlotClient(e)
	e.limits = newLimits(e)
	return e
}

// Start implements process.Process.
func (e *Entry) Start() (err error) {
	onPanic := func(v any) { event.Panicked.Log(e.log, "panic", v) }
	if e.server, err = link.Listen(e.set.Entry.Link, e.serveLink, e.traffic); err != nil {
		return err
	}
	if e.http, err = web.Listen(e.set.Entry.HTTP, e.handler, onPanic); err != nil {
		return err
	}
	admin := &web.Admin{Registry: e.registry, Ready: e.ready, State: e.state}
	if e.admin, err = web.Listen(e.set.Entry.Admin, admin.Handler, onPanic); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.cancel = cancel
	e.running, ctx = errgroup.WithContext(ctx)
	e.slots.start()
	e.running.Go(func() error { e.watchLoop(ctx); return nil })
	e.running.Go(func() error { e.limits.loop(ctx); return nil })
	event.EntryStarted.Log(e.log, "incarnation", e.incarnation, "http", e.set.Entry.HTTP)
	return nil
}

// now is the entry's monotonic clock, on which its ledger's times are.
func (e *Entry) now() time.Duration { return time.Since(e.start) }

var errNoView = errors.New("no configuration from the coord yet")

func (e *Entry) ready() error {
	switch v := e.view.Load(); {
	case v == nil || v.fleet == nil:
		return errNoView
	case e.refusing.Load():
		return errors.New("stopping")
	}
	return nil
}

const (
	stopGrace   = 500 * time.Millisecond // after the longest address answer has run out
	stopLimit   = 30 * time.Second       // for requests in flight
	stopPoll    = 20 * time.Millisecond
	unknownLife = 2 * time.Second // address lifetime to wait for when no configuration came
)

// Stop implements process.Process: the planned stop. It serves on until the
// longest address answer has run out, refuses from then on, waits until nothing
// is in flight, hands its ledger to an heir, and ends.
func (e *Entry) Stop() error {
	wait := unknownLife
	if v := e.view.Load(); v != nil && v.fleet != nil {
		wait = v.lifetime()
	}
	event.EntryStopping.Log(e.log, "wait", wait.String())
	e.leaving.Store(true)
	e.tellCoord()
	time.Sleep(wait + stopGrace)
	e.refusing.Store(true)
	e.ledgerMu.Lock()
	e.ledger.Seal() // what is pending ends here, new numbers are the heir's
	e.ledgerMu.Unlock()
	until := time.Now().Add(stopLimit)
	for e.inFlight.Load() > 0 && time.Now().Before(until) {
		time.Sleep(stopPoll)
	}
	e.handOver()
	event.EntryStopped.Log(e.log, "in_flight", e.inFlight.Load())
	e.http.Stop(time.Second)
	e.cancel()
	err := e.running.Wait()
	e.slots.stop()
	e.server.Stop()
	e.admin.Stop(time.Second)
	e.links.Stop()
	return err
}

// state is the entry's dump, without secrets.
type state struct {
	Instance    string `json:"instance"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	Leaving     bool   `json:"leaving"`
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
		Instance: e.set.Name, Incarnation: e.incarnation,
		Leaving: e.leaving.Load(), InFlight: e.inFlight.Load(), Local: e.slots.local.Stats(),
	}
	if v := e.view.Load(); v != nil {
		s.Revision, s.Members, s.Replicas, s.Owners = v.revision, len(v.members), len(v.replicas), v.owners
	}
	if err := e.viewErr.Load(); err != nil {
		s.ViewError = (*err).Error()
	}
	e.ledgerMu.Lock()
	s.Ledger, s.Pending = e.ledger.Len(), e.ledger.Pending()
	e.ledgerMu.Unlock()
	return s
}
