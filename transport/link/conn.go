package link

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes that a process receives and sends over links.
type Traffic struct{ in, out atomic.Int64 }

// Register adds the byte counts to a process's metrics.
func (t *Traffic) Register(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("link.in_bytes", r, t.in.Load)
	metrics.NewRegisteredFunctionalGauge("link.out_bytes", r, t.out.Load)
}

// The parts of a yamux frame header that conn reads.
const (
	muxHeaderLen  = 12 // length in bytes
	muxTypeOffset = 1  // offset of the frame type
	muxTypeData   = 0  // type of a frame whose header is followed by a body
	muxLenOffset  = 8  // offset of the body length
)

// conn is the connection of a session. It counts bytes and writes a frame's
// header together with its body: yamux writes them separately, which costs a
// system call, and often a wake-up of the peer, for each.
type conn struct {
	net.Conn
	traffic       *Traffic
	pendingHeader []byte          // header whose body is written next; only the session's sender goroutine writes
	started       chan struct{}   // closed once sessionClosed is set
	sessionClosed <-chan struct{} // closed when the session ends
}

func newConn(c net.Conn, t *Traffic) *conn {
	return &conn{Conn: c, traffic: t, started: make(chan struct{})}
}

// setSession sets the channel that is closed when the session ends.
func (c *conn) setSession(sessionClosed <-chan struct{}) {
	c.sessionClosed = sessionClosed
	close(c.started)
}

// closeAndWait closes the connection and waits until the session's receiver
// goroutine has closed the session because of that. If another goroutine closes
// the session, its streams stay open and their readers poll in a busy loop until
// the receiver runs, which on a single processor is after all of them: ten
// readers used 1.6 s of processor time while a receiver was delayed by 0.5 s.
func (c *conn) closeAndWait() {
	_ = c.Conn.Close()
	timeout := time.NewTimer(closeTimeout)
	defer timeout.Stop()
	select {
	case <-c.started:
	case <-timeout.C:
		return
	}
	select {
	case <-c.sessionClosed:
	case <-timeout.C: // the receiver itself is blocked by a sender that waits here
	}
}

// closeTimeout limits the wait for a session's receiver to yamux's own write
// timeout.
const closeTimeout = writeTimeout

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn. It holds a frame's header back until its body is written.
func (c *conn) Write(b []byte) (int, error) {
	if c.pendingHeader == nil && hasBody(b) {
		c.pendingHeader = append(c.pendingHeader, b...)
		return len(b), nil
	}
	buffers := net.Buffers{b}
	if c.pendingHeader != nil {
		buffers = net.Buffers{c.pendingHeader, b}
		c.pendingHeader = nil
	}
	n, err := buffers.WriteTo(c.Conn)
	c.traffic.out.Add(n)
	if err != nil {
		c.closeAndWait()
		return 0, err
	}
	return len(b), nil
}

func hasBody(b []byte) bool {
	return len(b) == muxHeaderLen && b[muxTypeOffset] == muxTypeData && binary.BigEndian.Uint32(b[muxLenOffset:]) > 0
}
