// Package liveness finds out whether replicas run after answers of theirs have ended or broken off.
// A probe is one question; ends at the same time share one.
package liveness

import (
	"context"
	"sync"
	"time"

	"quinceroad/coordination/answerend"
	"quinceroad/state/catalog"
)

const (
	// wait is the longest time for which a request waits for a probe before it may be retried
	// elsewhere. A port that refuses connections does so within a round trip.
	wait = 150 * time.Millisecond
	// recentFor is the time for which a probe covers the answers of an incarnation that break
	// off. A replica that ends is not back sooner.
	recentFor = 300 * time.Millisecond
)

// Options are what a Prober uses of its instance.
type Options struct {
	Now func() time.Duration
	// Ask asks whether an incarnation of a replica runs.
	Ask func(r *catalog.Replica, incarnation string) answerend.Life
}

// Prober asks whether replicas run.
type Prober struct {
	opts Options

	mu      sync.Mutex        // guards the fields below and startedAt of probes; no other lock is acquired under it
	begun   map[string]*Probe // by incarnation: the last probe that has begun
	waiting map[string]*Probe // by incarnation: the one that begins when that has ended
}

// New returns a Prober that has asked nothing.
func New(o Options) *Prober {
	return &Prober{opts: o, begun: make(map[string]*Probe), waiting: make(map[string]*Probe)}
}

// Probe is a question whether an incarnation runs.
type Probe struct {
	Incarnation string
	startedAt   time.Duration
	done        chan struct{}  // closed when it is answered
	life        answerend.Life // the answer; set before done is closed
}

// Done returns a channel that is closed when the probe has ended.
func (p *Probe) Done() <-chan struct{} { return p.done }

// Life returns what the probe has found, unknown unless it has ended.
func (p *Probe) Life() answerend.Life {
	if !p.hasEnded() {
		return answerend.Unknown
	}
	return p.life
}

func (p *Probe) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Await waits for the probe, for as long as a request may.
func (p *Probe) Await(ctx context.Context) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Recent starts a probe of an incarnation, or returns the one of a moment ago.
func (p *Prober) Recent(r *catalog.Replica, incarnation string) *Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if last := p.begun[incarnation]; last != nil && p.opts.Now()-last.startedAt < recentFor {
		return last
	}
	return p.start(r, incarnation)
}

// After starts a probe of an incarnation that begins after the call, or returns the one that is
// about to: one that has begun may have asked before what has ended since.
func (p *Prober) After(r *catalog.Replica, incarnation string) *Probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	if next := p.waiting[incarnation]; next != nil {
		return next
	}
	running := p.begun[incarnation]
	if running == nil || running.hasEnded() {
		return p.start(r, incarnation)
	}
	next := newProbe(incarnation)
	p.waiting[incarnation] = next
	asked := *r
	go func() {
		<-running.done
		p.mu.Lock()
		delete(p.waiting, incarnation)
		p.begin(next)
		p.mu.Unlock()
		p.run(&asked, next)
	}()
	return next
}

func newProbe(incarnation string) *Probe {
	return &Probe{Incarnation: incarnation, done: make(chan struct{})}
}

// start starts a probe. The caller holds mu.
func (p *Prober) start(r *catalog.Replica, incarnation string) *Probe {
	probe := newProbe(incarnation)
	p.begin(probe)
	asked := *r
	go p.run(&asked, probe)
	return probe
}

// begin records that a probe begins. The caller holds mu.
func (p *Prober) begin(probe *Probe) {
	probe.startedAt = p.opts.Now()
	p.begun[probe.Incarnation] = probe
}

func (p *Prober) run(r *catalog.Replica, probe *Probe) {
	defer close(probe.done)
	probe.life = p.opts.Ask(r, probe.Incarnation)
}

// Prune forgets probes that cover nothing any more.
func (p *Prober) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for incarnation, probe := range p.begun {
		if probe.hasEnded() && p.opts.Now()-probe.startedAt > recentFor {
			delete(p.begun, incarnation)
		}
	}
}
