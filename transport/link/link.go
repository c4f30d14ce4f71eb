// Package link carries messages between the system's own processes as protobuf
// frames on yamux streams, with one session per pair of processes and direction,
// opened on first use.
//
// A frozen peer must not delay others: keepalive and write timeouts are far
// below yamux's defaults, and every call has a deadline.
package link

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"quinceroad/protocol/frame"
)

const (
	keepAliveInterval = 2 * time.Second
	writeTimeout      = 1 * time.Second
	dialTimeout       = 500 * time.Millisecond
	idleTimeout       = 30 * time.Second
	acceptBacklog     = 64
)

// ErrClosed is returned by a pool that has been stopped.
var ErrClosed = errors.New("link: pool is closed")

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // runKeepAlive replaces it
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.AcceptBacklog = acceptBacklog
	c.LogOutput = io.Discard // failures are returned as errors of calls
	return c
}

// Pool holds the sessions that this process opened, by peer address.
type Pool struct {
	traffic *Traffic
	mu      sync.Mutex
	peers   map[string]*peer
	closed  bool
}

// peer holds the session to one address. Its lock prevents concurrent dials to
// that address without blocking other addresses.
type peer struct {
	mu       sync.Mutex
	mux      *muxSession
	lastUsed time.Time
}

// NewPool returns an empty pool that adds its bytes to t.
func NewPool(t *Traffic) *Pool { return &Pool{traffic: t, peers: make(map[string]*peer)} }

// Open opens a stream to addr and sends a first message; the caller closes the
// stream.
func (p *Pool) Open(addr string, k frame.Kind, first proto.Message) (net.Conn, error) {
	mux, err := p.session(addr)
	if err != nil {
		return nil, err
	}
	s, err := mux.OpenStream()
	if err != nil {
		mux.Close()
		return nil, err
	}
	if err := frame.Write(s, k, first); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// IsDialError reports whether a call failed before anything was sent, because no
// connection could be opened.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Call sends one message to addr and waits for the reply.
func (p *Pool) Call(addr string, k frame.Kind, req, resp proto.Message, timeout time.Duration) error {
	s, err := p.Open(addr, k, req)
	if err != nil {
		return err
	}
	defer s.Close()
	if err := s.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	return frame.Read(s, resp)
}

func (p *Pool) session(addr string) (*muxSession, error) {
	pr, err := p.peer(addr)
	if err != nil {
		return nil, err
	}
	pr.mu.Lock()
	defer pr.mu.Unlock()
	pr.lastUsed = time.Now()
	if pr.mux != nil && !pr.mux.IsClosed() {
		return pr.mux, nil
	}
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	pr.mux, err = newClientSession(newConn(c, p.traffic))
	return pr.mux, err
}

func (p *Pool) peer(addr string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	pr, ok := p.peers[addr]
	if !ok {
		pr = &peer{}
		p.peers[addr] = pr
	}
	return pr, nil
}

// Sweep closes sessions without streams that were unused for idleTimeout; call
// it every few seconds.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, pr := range p.peers {
		if !pr.mu.TryLock() {
			continue // being dialed
		}
		idle := now.Sub(pr.lastUsed) > idleTimeout && (pr.mux == nil || pr.mux.NumStreams() == 0)
		if idle && pr.mux != nil {
			pr.mux.Close()
		}
		pr.mu.Unlock()
		if idle {
			delete(p.peers, addr)
		}
	}
}

// Len returns the number of addresses with a session.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.peers)
}

// Stop closes all sessions.
func (p *Pool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, pr := range p.peers {
		pr.mu.Lock()
		if pr.mux != nil {
			pr.mux.Close()
		}
		pr.mu.Unlock()
	}
}
