package origins

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/buildlog"
)

const (
	extraTime = 10 * time.Second // for which what a stream or a peer wants is wanted, longer than they wait
)

// logs keeps what this instance knows of the logs of builds, and has the store hold what it
// wants of them. No other lock is acquired under its own, but that of the keeper's table.
type logs struct {
	keeper  *Keeper
	opts    *Options
	reads   freshReads[buildlog.Snapshot]
	wake    chan struct{} // something is wanted that may not be in the logs
	failing atomic.Bool   // neither the store nor peers could update the logs at the last try

	mu      sync.Mutex
	log     *buildlog.Log
	extra   map[string]extraWanted // by service: what peers and streams want beside the listed builds
	several map[string]bool        // by service of which streams were recorded: whether records go to the store
	changed chan struct{}          // closed when the log changes
	first   *firstRead             // nil: none yet

	written, unread, gated metrics.Counter
}

// extraWanted is wanted for a while.
type extraWanted struct {
	buildlog.Wanted
	until time.Duration
}

func newLogs(k *Keeper) *logs {
	counter := func(name string) metrics.Counter {
		return metrics.NewRegisteredCounter("node.buildlogs."+name, k.opts.Registry)
	}
	l := &logs{
		keeper:  k,
		opts:    &k.opts,
		wake:    make(chan struct{}, 1),
		log:     buildlog.New(),
		extra:   make(map[string]extraWanted),
		changed: make(chan struct{}),
		several: make(map[string]bool),
		written: counter("written"), // updates that were written to the store
		unread:  counter("unread"),  // reads for streams taken up that neither the store nor a peer answered
		gated:   counter("gated"),   // streams whose first event waited for the log
	}
	l.reads = freshReads[buildlog.Snapshot]{read: l.read, gap: k.readGap, now: k.opts.Now}
	return l
}

// observeConfirmed takes in what a peer knows to be in the logs.
func (l *logs) observeConfirmed(s *buildlog.Snapshot) {
	l.change(func() { l.log.ObserveConfirmed(s) })
}

// observe takes in what a read has returned.
func (l *logs) observe(s *buildlog.Snapshot) {
	l.change(func() { l.log.Observe(s) })
}

// observeEra takes in the era that the store states.
func (l *logs) observeEra() {
	era := l.opts.Store.Era()
	l.mu.Lock()
	isNew := era > l.log.Era()
	l.mu.Unlock()
	if isNew {
		l.change(func() { l.log.ObserveEra(era) })
	}
}

// change changes the log. Of the services whose streams may now have begun at several builds,
// the records that this instance has go to the store.
func (l *logs) change(update func()) {
	l.mu.Lock()
	update()
	close(l.changed)
	l.changed = make(chan struct{})
	var begun []string
	for service, several := range l.several {
		if now := l.log.HasSeveral(service); now != several {
			l.several[service] = now
			if now {
				begun = append(begun, service)
			}
		}
	}
	l.mu.Unlock()
	for _, service := range begun {
		l.keeper.stored.send(l.keeper.table.own(l.opts.Now(), service)...)
	}
}

// hasSeveral reports whether a stream of a service may have begun elsewhere than at one build
// of it.
func (l *logs) hasSeveral(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.several[service] = l.log.HasSeveral(service)
	return l.several[service]
}

// knowsSeveral reports whether a read has shown that.
func (l *logs) knowsSeveral(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Knows(service) && l.log.HasSeveral(service)
}

// contains reports whether the log of a service holds a build and a route, and returns a
// channel that is closed when the logs change.
func (l *logs) contains(service, build string, route buildlog.Route) (bool, <-chan struct{}) {
	l.observeEra()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.log.Contains(service, build, route), l.changed
}

// IsLogged reports whether streams may begin at a build of a service on a route.
func (k *Keeper) IsLogged(service, build string, route buildlog.Route) bool {
	ok, _ := k.logs.contains(service, build, route)
	return ok
}

// AwaitLogged waits until streams may begin at a build of a service on a route: until the
// store has acknowledged that the log holds both. It returns false if that is not so in time,
// or at once if the last try to have the store do so has failed.
func (k *Keeper) AwaitLogged(ctx context.Context, service, build string, route buildlog.Route) bool {
	ok, changed := k.logs.contains(service, build, route)
	if ok {
		return true
	}
	k.logs.gated.Inc(1)
	k.logs.want(service, buildlog.Wanted{Builds: []string{build}, Routes: []buildlog.Route{route}})
	for !ok {
		if k.logs.failing.Load() {
			return false // others have waited already
		}
		select {
		case <-changed:
			ok, changed = k.logs.contains(service, build, route)
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// want adds to what the log of a service shall hold.
func (l *logs) want(service string, w buildlog.Wanted) {
	wanted := l.opts.Wanted()[service]
	l.mu.Lock()
	if !l.log.Wants(service, w) {
		w = l.extra[service].And(w)
		l.log.Want(service, wanted.And(w))
		l.extra[service] = extraWanted{w, l.opts.Now() + extraTime}
	}
	l.mu.Unlock()
	l.signal()
}

func (l *logs) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Unlogged returns the services whose log does not hold what is wanted, as far as this
// instance knows: streams wait there, or begin at other builds.
func (k *Keeper) Unlogged() []string {
	return slices.Sorted(maps.Keys(k.logs.uncovered()))
}

// Refresh has the logs hold what is wanted after the list of replicas or the configuration has
// changed.
func (k *Keeper) Refresh() {
	wanted := k.opts.Wanted()
	k.logs.mu.Lock()
	maps.DeleteFunc(k.logs.extra, func(_ string, w extraWanted) bool { return k.opts.Now() >= w.until })
	for _, service := range append(k.logs.log.WantedServices(), slices.Collect(maps.Keys(wanted))...) {
		k.logs.log.Want(service, wanted[service].And(k.logs.extra[service].Wanted))
	}
	k.logs.mu.Unlock()
	if len(k.logs.uncovered()) > 0 {
		k.logs.signal()
	}
}

// uncovered returns what is wanted of the logs that are not known to hold all of it.
func (l *logs) uncovered() map[string]buildlog.Wanted {
	wanted := l.opts.Wanted()
	l.observeEra()
	l.mu.Lock()
	defer l.mu.Unlock()
	for service, w := range l.extra {
		wanted[service] = wanted[service].And(w.Wanted)
	}
	for service, w := range wanted {
		if l.log.Covers(service, w) {
			delete(wanted, service)
		}
	}
	return wanted
}
