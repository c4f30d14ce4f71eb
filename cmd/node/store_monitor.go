package node

import (
	"context"
	"sync"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/protocol/event"
)

const (
	// storeProbeInterval is the interval between a reader's probes of the store. A watch
	// that the store missed is abandoned at most this long after the store is back, within
	// the time in which the settings require a configuration to be in force.
	storeProbeInterval = 1500 * time.Millisecond
	storeProbeTimeout  = 700 * time.Millisecond
)

// storeMonitor tracks whether the store is responsive. A store that was unavailable
// never answers the calls that it missed, so a watch would wait until its timeout.
type storeMonitor struct {
	mu           sync.Mutex
	unresponsive bool
	recovered    chan struct{} // closed when the store answers again
}

func newStoreMonitor() *storeMonitor { return &storeMonitor{recovered: make(chan struct{})} }

// recovery returns a channel that is closed when the store answers again after it was
// unresponsive.
func (m *storeMonitor) recovery() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recovered
}

// record records the result of a probe, and reports whether it differs from the previous
// one.
func (m *storeMonitor) record(answered bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.unresponsive == answered
	if changed && answered {
		close(m.recovered)
		m.recovered = make(chan struct{})
	}
	m.unresponsive = !answered
	return changed
}

// abandonCalls makes all pending calls to the store end, as after an outage.
func (m *storeMonitor) abandonCalls() {
	m.mu.Lock()
	defer m.mu.Unlock()
	close(m.recovered)
	m.recovered = make(chan struct{})
}

// isUnresponsive reports whether the last probe was not answered.
func (m *storeMonitor) isUnresponsive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unresponsive
}

// monitorStore probes the store regularly while this instance is a reader, and announces
// the result to the other instances: a watch reveals an unresponsive store only at its
// end. An instance that could not reach the store goes on probing until it
// can, because it would otherwise never be selected as a reader again.
func (n *Node) monitorStore(ctx context.Context) {
	var outageStart time.Duration // start of the current outage
	process.Every(ctx, storeProbeInterval, func() {
		if !n.isReader.Load() && !n.storeUnreachable() {
			return
		}
		err := n.store.Probe(storeProbeTimeout)
		n.observeEra()
		n.setStoreReachable(err == nil)
		switch changed := n.storeMonitor.record(err == nil); {
		case changed && err != nil:
			outageStart = n.now()
			n.counters.storeOutages.Inc(1)
			event.NodeStoreUnresponsive.Log(n.log, "error", err)
		case changed:
			event.NodeStoreResponsive.Log(n.log, "after", n.now()-outageStart)
		}
	})
}
