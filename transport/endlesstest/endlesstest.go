// Package endlesstest stands in for servers in trouble that write without end, for the tests of what
// reads from them.
package endlesstest

import (
	"errors"
	"net"
	"strings"
	"sync"
	"time"
)

// Patience is how many bytes a Conn gives before it breaks off: far more than any bound on what is
// read.
const Patience = 64 << 20

// ReadAhead is how many bytes more than an answer's own are read at most, as reads are buffered.
const ReadAhead = 64 << 10

// Text is a block of text without a line end.
var Text = strings.Repeat("x", 32<<10)

// Conn is a connection to a server that writes a beginning and then a block again and again. It
// counts what is read.
type Conn struct {
	mu     sync.Mutex
	text   string // is being read
	block  string
	at     int // bytes of the text that are read
	read   int // bytes
	closed bool
}

// New returns a connection to such a server.
func New(beginning, block string) *Conn { return &Conn{text: beginning, block: block} }

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.read > Patience {
		return 0, errors.New("nobody closed the connection")
	}
	n := 0
	for n < len(b) {
		if c.at == len(c.text) {
			c.text, c.at = c.block, 0
		}
		k := copy(b[n:], c.text[c.at:])
		n, c.at = n+k, c.at+k
	}
	c.read += n
	return n, nil
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) { return len(b), nil }

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return &net.TCPAddr{} }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// BytesRead returns how many bytes were read.
func (c *Conn) BytesRead() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// IsClosed reports whether the connection was closed.
func (c *Conn) IsClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}
