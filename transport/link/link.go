// Package link carries messages between the system's own processes: protobuf
// frames on yamux streams, one session per pair of processes and direction,
// opened when first needed.
//
// A frozen peer must not hold up others: keepalive and write timeouts are far
// below yamux's defaults and every call has a deadline.
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
	keepAlive    = 2 * time.Second
	writeTimeout = 1 * time.Second
	dialTimeout  = 500 * time.Millisecond
	idleAfter    = 30 * time.Second
	backlog      = 64
)

// ErrClosed is returned by a pool that was stopped.
var ErrClosed = errors.New("link: closed")

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // watch does it
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamCloseTimeout = writeTimeout
	c.AcceptBacklog = backlog
	c.LogOutput = io.Discard // failures surface as errors of calls
	return c
}

// Pool holds the sessions this process opened, by address.
type Pool struct {
	traffic  *Traffic
	mu       sync.Mutex
	sessions map[string]*session
	closed   bool
}

// session is a slot for one address; its lock keeps two dials apart without
// holding up other addresses.
type session struct {
	mu   sync.Mutex
	mux  *muxSession
	used time.Time
}

// NewPool returns an empty pool that counts its bytes in t.
func NewPool(t *Traffic) *Pool { return &Pool{traffic: t, sessions: make(map[string]*session)} }

// Open starts a stream to addr with a first message; the caller closes it.
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

// NotSent reports whether a call failed before anything could be sent: no
// connection was made.
func IsDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// Call sends one message to addr and waits for its answer.
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
	slot, err := p.slot(addr)
	if err != nil {
		return nil, err
	}
	slot.mu.Lock()
	defer slot.mu.Unlock()
	slot.used = time.Now()
	if slot.mux != nil && !slot.mux.IsClosed() {
		return slot.mux, nil
	}
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	slot.mux, err = client(newConn(c, p.traffic))
	return slot.mux, err
}

func (p *Pool) slot(addr string) (*session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	s, ok := p.sessions[addr]
	if !ok {
		s = &session{}
		p.sessions[addr] = s
	}
	return s, nil
}

// Sweep closes sessions without a stream that were not used lately; call it
// every few seconds.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, s := range p.sessions {
		if !s.mu.TryLock() {
			continue // it is being dialed
		}
		idle := now.Sub(s.used) > idleAfter && (s.mux == nil || s.mux.NumStreams() == 0)
		if idle && s.mux != nil {
			s.mux.Close()
		}
		s.mu.Unlock()
		if idle {
			delete(p.sessions, addr)
		}
	}
}

// Len returns the number of addresses with a session.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

// Stop closes all sessions.
func (p *Pool) Stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, s := range p.sessions {
		s.mu.Lock()
		if s.mux != nil {
			s.mux.Close()
		}
		s.mu.Unlock()
	}
}
