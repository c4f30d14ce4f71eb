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

// cpuTime returns the processor time that this process has used.
func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		t.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// delayedConn is a connection whose reader learns of an error with a delay, as on
// a processor that other goroutines keep busy.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c delayedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		time.Sleep(c.delay)
	}
	return n, err
}

// failingConn is a connection whose writes fail once fails is set, as after a
// reset by the peer, while reads may still return earlier data.
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

// Guards against readers of streams that poll in a busy loop after a failed
// write. If the sender goroutine closes a session before its receiver has seen the
// error, the readers spin until the receiver runs, which on a single processor is
// after all of them. Hundreds of readers kept an instance busy for ten seconds,
// and delayed a configuration as long, after its machine had been suspended for
// four seconds and its peers had closed their sessions.
func TestFailedWriteDoesNotSpinReaders(t *testing.T) {
	checkSessionEndCPUTime(t, func(m *muxSession, fails *atomic.Bool) {
		fails.Store(true)
		_, _ = m.Ping()
	})
}

// The same for a session that this process closes, because no stream can be
// opened to a peer that no longer reads.
func TestSessionCloseDoesNotSpinReaders(t *testing.T) {
	checkSessionEndCPUTime(t, func(m *muxSession, _ *atomic.Bool) { m.Close() })
}

// checkSessionEndCPUTime ends a session with a delayed receiver while its streams
// are being read, and checks the processor time used.
func checkSessionEndCPUTime(t *testing.T, end func(m *muxSession, fails *atomic.Bool)) {
	is := is.New(t)
	const delay = 500 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	peer, err := ln.Accept()
	is.NoErr(err)
	defer peer.Close()
	fails := &atomic.Bool{}
	mux, err := newClientSession(newConn(failingConn{delayedConn{c, delay}, fails}, &Traffic{}))
	is.NoErr(err)
	var readers sync.WaitGroup
	for range 10 {
		s, err := mux.OpenStream()
		is.NoErr(err)
		readers.Go(func() { _, _ = s.Read(make([]byte, 1)) })
	}
	cpuBefore := cpuTime(t)
	end(mux, fails)
	readers.Wait()
	if used := cpuTime(t) - cpuBefore; used > delay/2 {
		t.Errorf("%v of processor time to end a session whose receiver was %v late", used, delay)
	}
}

// The keepalive closes the session of an unresponsive peer, for example in a
// network partition. Readers of its streams must not spin until the session's
// receiver runs, which they delay themselves on a single processor.
func TestUnresponsivePeerDoesNotSpinReaders(t *testing.T) {
	is := is.New(t)
	const delay = 500 * time.Millisecond
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	silent, err := ln.Accept()
	is.NoErr(err)
	defer silent.Close()
	mux, err := newClientSession(newConn(delayedConn{c, delay}, &Traffic{}))
	is.NoErr(err)
	var readers sync.WaitGroup
	for range 10 {
		s, err := mux.OpenStream()
		is.NoErr(err)
		readers.Go(func() { _, _ = s.Read(make([]byte, 1)) })
	}
	cpuBefore := cpuTime(t)
	readers.Wait() // returns when the session has ended
	if used := cpuTime(t) - cpuBefore; used > delay/2 {
		t.Errorf("%v of processor time to end a session whose receiver was %v late", used, delay)
	}
}
