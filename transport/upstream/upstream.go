// Package upstream is the client of services' replicas.
//
// It keeps its own connections instead of the HTTP library's client, for three
// promises: to connect is apart from to write (an outcome.Dispatched is needed
// for the latter), a connection carries one request at a time and is closed
// after any failure, and nothing is ever sent twice. Parsing is the library's.
package upstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/transport/clock"
	"quinceroad/transport/peek"
)

// The errors of a call.
var (
	ErrConnect       = errors.New("upstream: no connection; nothing was written")
	ErrIncomplete    = errors.New("upstream: the answer was cut or did not come")
	ErrWrongRequest  = errors.New("upstream: the answer is another request's")
	ErrNotDispatched = errors.New("upstream: not dispatched") // a zero outcome.Dispatched: a fault of the caller
)

const (
	dialTimeout = 300 * time.Millisecond
	maxIdle     = 32               // connections kept per replica
	idleFor     = 20 * time.Second // below what servers keep them
	maxAnswer   = 4 << 20
)

// Client holds the idle connections by replica address.
type Client struct {
	clock *clock.Clock
	mu    sync.Mutex
	idle  map[string][]*Conn
}

// New returns a client without connections.
func New() *Client { return NewWithClock(clock.New()) }

// WithClock returns a client that goes by a clock: a connection that rested while
// the machine was asleep is as old as if it had not been.
func NewWithClock(c *clock.Clock) *Client { return &Client{clock: c, idle: make(map[string][]*Conn)} }

// Conn is a connection to a replica that carries one request at a time.
type Conn struct {
	client *Client
	addr   string
	net    net.Conn
	r      *bufio.Reader
	w      *bufio.Writer
	used   time.Duration
	until  time.Duration // when the upstream may close it; 0: idleFor after its last use
}

// Connect returns a connection to addr on which nothing is under way.
func (c *Client) Connect(addr string) (*Conn, error) {
	if cn := c.IdleConn(addr); cn != nil {
		return cn, nil
	}
	return c.Dial(addr, dialTimeout)
}

// Kept returns a kept connection to addr, or nil.
func (c *Client) IdleConn(addr string) *Conn {
	for cn := c.take(addr); cn != nil; cn = c.take(addr) {
		if cn.fresh() {
			return cn
		}
		cn.Close()
	}
	return nil
}

// Dial returns a new connection to addr.
func (c *Client) Dial(addr string, timeout time.Duration) (*Conn, error) {
	n, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, errors.Join(ErrConnect, err)
	}
	return &Conn{client: c, addr: addr, net: n, r: bufio.NewReader(n), w: bufio.NewWriter(n)}, nil
}

// fresh reports whether an idle connection may carry another request.
func (cn *Conn) fresh() bool {
	until := cn.until
	if until == 0 {
		until = cn.used + idleFor
	}
	return cn.client.clock.Now() < until && cn.r.Buffered() == 0 && quiet(cn.net)
}

func (c *Client) take(addr string) *Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	cn := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return cn
}

func (c *Client) give(cn *Conn) {
	cn.used = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.addr]) >= maxIdle {
		_ = cn.net.Close()
		return
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// Forget closes the idle connections to replicas that keep does not name.
func (c *Client) CloseIdleExcept(keep map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		if keep[addr] {
			continue
		}
		for _, cn := range list {
			_ = cn.net.Close()
		}
		delete(c.idle, addr)
	}
}

// Lasts reports whether a connection on which nothing is under way stays open
// for so long.
func (cn *Conn) StaysOpen(d time.Duration) bool {
	if cn.net.SetReadDeadline(time.Now().Add(d)) != nil {
		return false
	}
	_, err := cn.r.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// Drop closes the idle connections to addr: whoever took them is there no more.
func (c *Client) CloseIdle(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, cn := range c.idle[addr] {
		_ = cn.net.Close()
	}
	delete(c.idle, addr)
}

// Close ends the connection; a replica takes that as a cancel.
func (cn *Conn) Close() { _ = cn.net.Close() }

// quiet reports whether an idle connection is open and has nothing to read: a
// closed one would lose the request, and bytes would be a late answer.
func quiet(c net.Conn) bool { return peek.Inspect(c) == peek.Idle }

// send writes the request; from here on it may run.
func (cn *Conn) send(d outcome.DispatchToken, req *fasthttp.Request) error {
	if !d.Valid() {
		return ErrNotDispatched
	}
	if err := req.Write(cn.w); err != nil {
		return errors.Join(ErrIncomplete, err)
	}
	if err := cn.w.Flush(); err != nil {
		return errors.Join(ErrIncomplete, err)
	}
	return nil
}
