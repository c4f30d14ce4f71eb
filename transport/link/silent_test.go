package link

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// cpuTime is what this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// lateConn is a connection whose reader has its turn late, as on a processor
// that others keep busy.
type lateConn struct {
	net.Conn
	by time.Duration
}

func (c lateConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(c.by)
	}
	return n, err
}

// failingConn is a connection that can no longer be written to once it is told
// so, as after a reset by the peer: what it read before may still be on its way.
type failingConn struct {
	net.Conn
	fails *atomic.Bool
}

func (c failingConn) Write(b []byte) (int, error) {
	if c.fails.Load() {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(b)
}

// Seen: an instance that woke after its machine had stood still for four seconds
// did next to nothing for ten more, and took a configuration into force as late.
// Its peers had ended their sessions meanwhile; its own ended as it wrote to them.
// A session that its sender ends is closed before its receiver knows: hundreds
// of readers of its streams look again without a pause until that one, which on
// one processor comes after all of them, has its turn.
func TestAFailedWriteDoesNotKeepTheProcessorBusy(t *testing.T) {
	endsQuietly(t, func(m *muxSession, fails *atomic.Bool) {
		fails.Store(true)
		_, _ = m.Ping()
	})
}

// The same for a session that this process closes, as a stream can't be opened to
// a peer that no longer reads.
func TestAClosedSessionDoesNotKeepTheProcessorBusy(t *testing.T) {
	endsQuietly(t, func(m *muxSession, _ *atomic.Bool) { m.Close() })
}

// endsQuietly has a session whose receiver is late end while streams are read,
// and measures the processor's time.
func endsQuietly(t *testing.T, end func(m *muxSession, fails *atomic.Bool)) {
	is := is.New(t)
	const late = 500 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	peer, err := ln.Accept()
	is.NoErr(err)
	defer peer.Close()
	fails := &atomic.Bool{}
	mux, err := client(newConn(failingConn{lateConn{c, late}, fails}, &Traffic{}))
	is.NoErr(err)
	var reading sync.WaitGroup
	for range 10 {
		s, err := mux.OpenStream()
		is.NoErr(err)
		reading.Go(func() { _, _ = s.Read(make([]byte, 1)) })
	}
	before := cpuTime(t)
	end(mux, fails)
	reading.Wait()
	if used := cpuTime(t) - before; used > late/2 {
		t.Errorf("%v of processor time to end a session whose receiver was %v late", used, late)
	}
}

// A peer that falls silent, as behind a cut, ends its session by the keepalive.
// Everything that read from it then spun until the session's receiver had its
// turn, which on one processor it got late for that.
func TestASilentPeerDoesNotKeepTheProcessorBusy(t *testing.T) {
	is := is.New(t)
	const late = 500 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	silent, err := ln.Accept()
	is.NoErr(err)
	defer silent.Close()
	mux, err := client(newConn(lateConn{c, late}, &Traffic{}))
	is.NoErr(err)
	var reading sync.WaitGroup
	for range 10 {
		s, err := mux.OpenStream()
		is.NoErr(err)
		reading.Go(func() { _, _ = s.Read(make([]byte, 1)) })
	}
	before := cpuTime(t)
	reading.Wait() // until the session has ended
	if used := cpuTime(t) - before; used > late/2 {
		t.Errorf("%v of processor time to end a session whose receiver was %v late", used, late)
	}
}
