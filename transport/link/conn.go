package link

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
)

// Traffic counts the bytes of a process's links.
type Traffic struct{ in, out atomic.Int64 }

// Register shows the traffic among a process's metrics.
func (t *Traffic) Register(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("link.in_bytes", r, t.in.Load)
	metrics.NewRegisteredFunctionalGauge("link.out_bytes", r, t.out.Load)
}

// The parts of a yamux header that matter here.
const (
	muxHeader  = 12 // bytes
	muxType    = 1  // offset of the type
	muxData    = 0  // the type whose header is followed by a body
	muxLenFrom = 8  // offset of the body's length
)

// conn is a session's connection. It counts bytes, and sends a frame's header
// together with its body: yamux writes them one by one, which costs a system
// call and often a wake-up of the other side for each.
type conn struct {
	net.Conn
	traffic *Traffic
	held    []byte          // a header whose body comes next; only the session's sender writes
	begun   chan struct{}   // closed once ended is set
	ended   <-chan struct{} // closed when the session ends
}

func newConn(c net.Conn, t *Traffic) *conn {
	return &conn{Conn: c, traffic: t, begun: make(chan struct{})}
}

// begin tells the connection when its session ends.
func (c *conn) begin(ended <-chan struct{}) {
	c.ended = ended
	close(c.begun)
}

// end closes the connection and waits until the session's receiver has ended the
// session for that. A session that anybody else ends is closed while its
// streams are not: whoever reads from one of them looks again without a pause
// until the receiver has its turn, after all of them on one processor. Ten
// readers took 1.6 s of it for a receiver that was 0.5 s late.
func (c *conn) end() {
	_ = c.Conn.Close()
	late := time.NewTimer(endFor)
	defer late.Stop()
	select {
	case <-c.begun:
	case <-late.C:
		return
	}
	select {
	case <-c.ended:
	case <-late.C: // the receiver is held up itself, by a sender that waits here
	}
}

// endFor bounds the wait for a session's receiver: the time that yamux itself
// waits for a write.
const endFor = writeTimeout

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.held == nil && bodyFollows(b) {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	parts := net.Buffers{b}
	if c.held != nil {
		parts = net.Buffers{c.held, b}
		c.held = nil
	}
	n, err := parts.WriteTo(c.Conn)
	c.traffic.out.Add(n)
	if err != nil {
		c.end()
		return 0, err
	}
	return len(b), nil
}

func bodyFollows(b []byte) bool {
	return len(b) == muxHeader && b[muxType] == muxData && binary.BigEndian.Uint32(b[muxLenFrom:]) > 0
}
