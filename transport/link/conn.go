package link

import (
	"encoding/binary"
	"net"
	"sync/atomic"

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
	held    []byte // a header whose body comes next; only the session's sender writes
}

func newConn(c net.Conn, t *Traffic) *conn { return &conn{Conn: c, traffic: t} }

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
		return 0, err
	}
	return len(b), nil
}

func bodyFollows(b []byte) bool {
	return len(b) == muxHeader && b[muxType] == muxData && binary.BigEndian.Uint32(b[muxLenFrom:]) > 0
}
