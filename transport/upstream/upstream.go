// Package upstream is the HTTP client of services' replicas.
//
// It manages its own connections instead of using the HTTP library's client, for
// three guarantees: connecting and writing are separate steps (writing needs an
// outcome.DispatchToken), a connection carries one request at a time and is
// closed after any failure, and nothing is ever sent twice. HTTP parsing is left
// to the library.
package upstream

import (
	"bufio"
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"quinceroad/coordination/outcome"
	"quinceroad/transport/clock"
	"quinceroad/transport/peek"
)

// Errors returned by calls.
var (
	ErrConnect       = errors.New("upstream: connection failed; nothing was written")
	ErrIncomplete    = errors.New("upstream: answer missing or incomplete")
	ErrWrongRequest  = errors.New("upstream: answer belongs to another request")
	ErrNotDispatched = errors.New("upstream: invalid dispatch token") // a zero outcome.DispatchToken, a bug of the caller
)

const (
	dialTimeout    = 300 * time.Millisecond
	maxIdleConns   = 32               // per replica
	idleTimeout    = 20 * time.Second // below the idle timeout of the replicas' servers
	maxAnswerBytes = 4 << 20          // of an answer's body, or of all lines of a stream
	maxHeadBytes   = 4 << 10          // of an answer's head: it must fit into the buffer of its reader
)

// Dialer opens a connection to an address within a time limit.
type Dialer func(addr string, timeout time.Duration) (net.Conn, error)

// DialTCP is the Dialer of the machine's own network.
func DialTCP(addr string, timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", addr, timeout)
}

// Client opens connections to replicas and holds the idle ones by address.
type Client struct {
	clock *clock.Clock
	dial  Dialer
	mu    sync.Mutex
	idle  map[string][]*Conn
}

// New returns a client without connections.
func New() *Client { return NewWithClock(clock.New()) }

// NewWithClock returns a client that uses the given clock, so that the idle time
// of connections includes suspensions of the machine.
func NewWithClock(c *clock.Clock) *Client {
	return &Client{clock: c, dial: DialTCP, idle: make(map[string][]*Conn)}
}

// WithDialer has the client open its connections by the given function. It is called
// before the client is used.
func (c *Client) WithDialer(dial Dialer) *Client {
	c.dial = dial
	return c
}

// Conn is a connection to a replica that carries one request at a time.
type Conn struct {
	client    *Client
	addr      string
	net       net.Conn
	r         *bufio.Reader
	w         *bufio.Writer
	relayedBy string // name of the peer that relays it; "": none
	lastUsed  time.Duration
	handed    [][]handedHash // what its last answers handed out, the latest last
	refused   []uint64       // hashes of the requests that were refused on it last
	idleUntil time.Duration  // when the upstream may close the idle connection; 0: idleTimeout after lastUsed
}

// Connect returns a connection to addr without a request in progress, reusing an
// idle one if possible.
func (c *Client) Connect(addr string) (*Conn, error) {
	if cn := c.IdleConn(addr); cn != nil {
		return cn, nil
	}
	return c.Dial(addr, dialTimeout)
}

// IdleConn returns an idle connection to addr that can be reused, or nil.
func (c *Client) IdleConn(addr string) *Conn { return c.IdleConnFor(addr, "") }

// IdleConnFor returns an idle connection to addr over which a request can be sent, or nil. It
// closes those on which the request was refused.
func (c *Client) IdleConnFor(addr, request string) *Conn {
	for cn := c.popIdle(addr); cn != nil; cn = c.popIdle(addr) {
		if cn.canReuse() && !cn.hasRefused(request) {
			return cn
		}
		cn.Close()
	}
	return nil
}

// Dial opens a new connection to addr.
func (c *Client) Dial(addr string, timeout time.Duration) (*Conn, error) {
	n, err := c.DialRaw(addr, timeout)
	if err != nil {
		return nil, err
	}
	return c.wrap(addr, n), nil
}

// DialRaw opens a connection to addr that carries whatever its caller sends.
func (c *Client) DialRaw(addr string, timeout time.Duration) (net.Conn, error) {
	n, err := c.dial(addr, timeout)
	if err != nil {
		return nil, errors.Join(ErrConnect, err)
	}
	return n, nil
}

func (c *Client) wrap(addr string, n net.Conn) *Conn {
	return &Conn{client: c, addr: addr, net: n, r: bufio.NewReaderSize(n, maxHeadBytes), w: bufio.NewWriter(n)}
}

// Relayed returns a connection to addr that a peer opened and relays.
func (c *Client) Relayed(addr, peer string, n RelayedConn) *Conn {
	cn := c.wrap(addr, n)
	cn.relayedBy = peer
	return cn
}

// RelayedConn is a connection that tells itself whether it is idle.
type RelayedConn interface {
	net.Conn
	// IsIdle reports whether the connection is open and has nothing to read.
	IsIdle() bool
	// AwaitEnd waits until the relaying end of a closed connection has let go of the
	// replica, for at most d, and reports whether it was silent for so long.
	AwaitEnd(d time.Duration) (isSilent bool)
}

// IsRelayed reports whether a peer relays the connection.
func (cn *Conn) IsRelayed() bool { return cn.relayedBy != "" }

// RelayedBy returns the name of the peer that relays the connection, "" if none does.
func (cn *Conn) RelayedBy() string { return cn.relayedBy }

// canReuse reports whether an idle connection may carry another request.
func (cn *Conn) canReuse() bool {
	idleUntil := cn.idleUntil
	if idleUntil == 0 {
		idleUntil = cn.lastUsed + idleTimeout
	}
	return cn.client.clock.Now() < idleUntil && cn.r.Buffered() == 0 && isIdle(cn.net)
}

func (c *Client) popIdle(addr string) *Conn {
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

func (c *Client) putIdle(cn *Conn) {
	cn.lastUsed = c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[cn.addr]) >= maxIdleConns {
		_ = cn.net.Close()
		return
	}
	c.idle[cn.addr] = append(c.idle[cn.addr], cn)
}

// CloseIdleExcept closes the idle connections to all addresses for which keep returns
// false, and to the others those that carry no further request: a replica may write on one for as
// long as nobody closes it. It is called every few seconds.
func (c *Client) CloseIdleExcept(keep func(address string) bool) {
	c.mu.Lock()
	addrs := slices.Collect(maps.Keys(c.idle))
	c.mu.Unlock()
	for _, addr := range addrs {
		isKept := keep(addr)
		c.closeIdle(addr, func(cn *Conn) bool { return !isKept || !cn.canReuse() })
	}
}

// StaysOpen waits for d and reports whether a connection without a request in
// progress stayed open and silent.
func (cn *Conn) StaysOpen(d time.Duration) bool {
	if cn.net.SetReadDeadline(time.Now().Add(d)) != nil {
		return false
	}
	_, err := cn.r.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// CloseIdle closes the idle connections to addr. It is called when the process that
// accepted them has ended.
func (c *Client) CloseIdle(addr string) {
	c.closeIdle(addr, func(*Conn) bool { return true })
}

// CloseIdleRelayed closes the idle connections to addr that peers relay. It is called when
// addr is reached without them.
func (c *Client) CloseIdleRelayed(addr string) { c.closeIdle(addr, (*Conn).IsRelayed) }

// CloseIdleDirect closes the idle connections to addr that no peer relays. It is called when
// nothing arrives over them any more.
func (c *Client) CloseIdleDirect(addr string) {
	c.closeIdle(addr, func(cn *Conn) bool { return !cn.IsRelayed() })
}

// CloseIdleThrough closes the idle connections to all addresses that the given peers relay. It
// is called when they stop.
func (c *Client) CloseIdleThrough(isAffected func(peer string) bool) {
	c.mu.Lock()
	addrs := slices.Collect(maps.Keys(c.idle))
	c.mu.Unlock()
	for _, addr := range addrs {
		c.closeIdle(addr, func(cn *Conn) bool { return cn.IsRelayed() && isAffected(cn.relayedBy) })
	}
}

func (c *Client) closeIdle(addr string, isAffected func(*Conn) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	kept := slices.DeleteFunc(c.idle[addr], func(cn *Conn) bool {
		if isAffected(cn) {
			_ = cn.net.Close()
			return true
		}
		return false
	})
	if len(kept) == 0 {
		delete(c.idle, addr)
		return
	}
	c.idle[addr] = kept
}

// Close closes the connection, by which a replica cancels the request in
// progress.
func (cn *Conn) Close() { _ = cn.net.Close() }

// AwaitRelayEnd waits until the peer that relays a connection that was closed has let go of the
// replica, for at most d, and reports whether the peer was silent for so long. It returns at once
// if no peer relays it, or if it is not closed.
func (cn *Conn) AwaitRelayEnd(d time.Duration) (isSilent bool) {
	r, ok := cn.net.(RelayedConn)
	return ok && r.AwaitEnd(d)
}

// isIdle reports whether an idle connection is open and has nothing to read. A
// request on a closed one would be lost, and unread bytes are a late answer.
func isIdle(c net.Conn) bool {
	if r, ok := c.(RelayedConn); ok {
		return r.IsIdle()
	}
	return peek.Inspect(c) == peek.Idle
}

// send writes the request; from then on it may have been executed.
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
