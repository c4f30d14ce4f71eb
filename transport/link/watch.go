package link

import (
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Watch pings the peers of streams that must not outlive their peer's presence. A session has
// one ping under way at most, however many of its streams are watched.
type Watch struct {
	interval time.Duration // between two pings
	limit    time.Duration // in which a peer answers a ping

	mu       sync.Mutex
	sessions map[*yamux.Session]map[*yamux.Stream]func()
}

// NewWatch returns a watch that finds a silent peer within interval and limit together.
func NewWatch(interval, limit time.Duration) *Watch {
	return &Watch{interval: interval, limit: limit, sessions: make(map[*yamux.Session]map[*yamux.Stream]func())}
}

// Add watches the peer of a stream until stop is called. If the peer does not answer in time,
// onSilent is called, once.
func (w *Watch) Add(stream net.Conn, onSilent func()) (stop func()) {
	st, ok := stream.(*yamux.Stream)
	if !ok {
		return func() {}
	}
	session := st.Session()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.sessions[session] == nil {
		w.sessions[session] = make(map[*yamux.Stream]func())
		go w.run(session)
	}
	w.sessions[session][st] = onSilent
	return func() { w.remove(session, st) }
}

// remove ends the watch of a stream.
func (w *Watch) remove(session *yamux.Session, st *yamux.Stream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.sessions[session], st)
}

// run pings a session's peer until no stream of the session is watched.
func (w *Watch) run(session *yamux.Session) {
	for {
		time.Sleep(w.interval)
		if w.endUnused(session) {
			return
		}
		if w.answers(session) {
			continue
		}
		for _, onSilent := range w.takeAll(session) {
			onSilent()
		}
	}
}

// endUnused ends the watch of a session without watched streams and reports whether it has.
func (w *Watch) endUnused(session *yamux.Session) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.sessions[session]) > 0 {
		return false
	}
	delete(w.sessions, session)
	return true
}

// takeAll removes all streams of a session and returns what is to be called for each.
func (w *Watch) takeAll(session *yamux.Session) (all []func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, onSilent := range w.sessions[session] {
		all = append(all, onSilent)
	}
	clear(w.sessions[session])
	return all
}

// answers pings a peer and reports whether it answers within the limit.
func (w *Watch) answers(session *yamux.Session) bool {
	answered := make(chan bool, 1)
	go func() {
		_, err := session.Ping() // ends by itself, see muxConfig
		answered <- err == nil
	}()
	timer := time.NewTimer(w.limit)
	defer timer.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timer.C:
	}
	select { // the answer came while this process did not run
	case ok := <-answered:
		return ok
	case <-time.After(w.limit / 10):
		return false
	}
}
