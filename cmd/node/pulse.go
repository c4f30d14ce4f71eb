package node

import (
	"context"
	"sync"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/protocol/event"
)

const (
	// pulseEach is how often a reader asks whether the store answers: a watch
	// that the store missed is given up so long after its return, within the time
	// in which the settings want a configuration in force.
	pulseEach = 1500 * time.Millisecond
	pulseFor  = 700 * time.Millisecond // that an answer may take
)

// pulse knows whether the store has been silent. A store that was away never
// answers the calls that it missed, and a watch would wait for its whole time.
type pulse struct {
	mu       sync.Mutex
	silent   bool
	returned chan struct{} // closed when it answers again
}

func newPulse() *pulse { return &pulse{returned: make(chan struct{})} }

// back returns what is closed when the store answers again after a silence.
func (p *pulse) back() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returned
}

// note takes in whether the store has just answered, and reports whether that
// is news.
func (p *pulse) note(answered bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	news := p.silent == answered
	if news && answered {
		close(p.returned)
		p.returned = make(chan struct{})
	}
	p.silent = !answered
	return news
}

// missed has all that waits for the store given up, as after a silence.
func (p *pulse) missed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.returned)
	p.returned = make(chan struct{})
}

// isSilent reports whether the last question had no answer.
func (p *pulse) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

// feelPulse asks the store now and then while this instance reads it for others,
// and tells the others whether it answers: a wait for changes shows a silence
// only at its end. Who did not reach the store goes on asking until it does, as
// it would else be passed over as a reader for good.
func (n *Node) feelPulse(ctx context.Context) {
	var since time.Duration // when the silence began
	process.Every(ctx, pulseEach, func() {
		if !n.isReader.Load() && !n.blind() {
			return
		}
		err := n.store.Answers(pulseFor)
		n.sees(err == nil)
		switch news := n.storeMonitor.note(err == nil); {
		case news && err != nil:
			since = n.now()
			n.counters.storeOutages.Inc(1)
			event.NodeStoreSilent.Log(n.log, "error", err)
		case news:
			event.NodeStoreAnswers.Log(n.log, "after", n.now()-since)
		}
	})
}
