package link

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// startCounting starts a server that counts the streams whose first frame has arrived.
func startCounting(t *testing.T, patience time.Duration) (addr string, served *atomic.Int64) {
	t.Helper()
	is := is.New(t)
	served = &atomic.Int64{}
	s, err := listen("127.0.0.1:0", func(_ frame.Kind, _ []byte, st net.Conn) {
		served.Add(1)
		_ = frame.Write(st, frame.Reply, &pb.Beat{})
	}, &Traffic{}, patience)
	is.NoErr(err)
	t.Cleanup(s.Stop)
	return s.ln.Addr().String(), served
}

// openRaw opens a stream to a server without a first frame.
func openRaw(t *testing.T, addr string) net.Conn {
	t.Helper()
	is := is.New(t)
	p := NewPool(&Traffic{})
	t.Cleanup(p.Stop)
	mux, err := p.session(addr)
	is.NoErr(err)
	st, err := mux.OpenStream()
	is.NoErr(err)
	return st
}

// isClosedBy reports whether the other end of a stream closes it.
func isClosedBy(st net.Conn) bool {
	_ = st.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := st.Read(make([]byte, 1))
	var timeout net.Error
	return err != nil && !(errors.As(err, &timeout) && timeout.Timeout())
}

// BOUND: a peer that opens a stream and sends a part of its first frame, a byte now and then, or
// nothing holds it no longer than a frame may take.
func TestFirstFrameThatDripsEndsItsStream(t *testing.T) {
	for name, drips := range map[string]bool{"nothing": false, "a byte now and then": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr, served := startCounting(t, 100*time.Millisecond)
			st := openRaw(t, addr)
			if drips {
				_, err := st.Write([]byte{0, 0, 255, 255, byte(frame.Beat)})
				is.NoErr(err)
				go func() {
					for err := error(nil); err == nil; _, err = st.Write([]byte("x")) {
						time.Sleep(10 * time.Millisecond)
					}
				}()
			}
			is.True(isClosedBy(st))
			is.Equal(served.Load(), int64(0))
			is.NoErr(NewPool(&Traffic{}).Call(addr, frame.Beat, &pb.Beat{}, &pb.Beat{}, time.Second)) // the server goes on
		})
	}
}

// BOUND: bytes that are no frame end their stream, however many come.
func TestBytesWithoutEndEndTheirStream(t *testing.T) {
	is := is.New(t)
	addr, served := startCounting(t, time.Minute)
	st := openRaw(t, addr)
	sent := 0 // bytes
	_ = st.SetWriteDeadline(time.Now().Add(time.Second))
	for text := make([]byte, 4<<10); ; sent += len(text) {
		text[0] = 255
		if _, err := st.Write(text); err != nil {
			break
		}
	}
	is.True(isClosedBy(st))
	is.Equal(served.Load(), int64(0))
	is.True(sent <= 1<<20) // what the stream's window takes
}
