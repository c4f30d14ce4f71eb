package link

import (
	"bytes"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

// startEcho starts a server that replies to each frame with the message it received.
func startEcho(t testing.TB) (addr string, traffic *Traffic) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = ln.Addr().String()
	_ = ln.Close()
	traffic = &Traffic{}
	s, err := Listen(addr, func(k frame.Kind, first []byte, st net.Conn) {
		var c pb.Config
		if proto.Unmarshal(first, &c) == nil {
			_ = frame.Write(st, frame.Reply, &c)
		}
	}, traffic)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return addr, traffic
}

func TestCallSizes(t *testing.T) {
	is := is.New(t)
	addr, traffic := startEcho(t)
	p := NewPool(&Traffic{})
	defer p.Stop()
	for _, n := range []int{0, 1, 100, 70_000, 1 << 20} { // below and above a stream's window
		req := &pb.Config{Revision: 1, Declaration: bytes.Repeat([]byte{7}, n)}
		var got pb.Config
		is.NoErr(p.Call(addr, frame.PullConfig, req, &got, 5*time.Second))
		is.True(bytes.Equal(got.GetDeclaration(), req.GetDeclaration()))
	}
	is.True(traffic.in.Load() > 1<<20)
	is.Equal(p.Len(), 1)
}

// sweepTimeout is far more than a peer needs to close a stream.
const sweepTimeout = 10 * time.Second

// A refused connection fails the call at once; later calls to another address
// work, also after its idle session was closed.
func TestCallAfterFailedDialAndIdleSweep(t *testing.T) {
	is := is.New(t)
	p := NewPool(&Traffic{})
	defer p.Stop()
	var got pb.Config
	err := p.Call("127.0.0.1:1", frame.PullConfig, &pb.Config{}, &got, time.Second)
	is.True(err != nil && strings.Contains(err.Error(), "refused"))
	addr, _ := startEcho(t)
	is.NoErr(p.Call(addr, frame.PullConfig, &pb.Config{Revision: 3}, &got, time.Second))
	is.Equal(got.GetRevision(), uint64(3))
	// A stream counts until the peer has closed its end too, which may be after the reply.
	for deadline := time.Now().Add(sweepTimeout); p.Len() > 0; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // idle sessions are closed
		p.Sweep(time.Now().Add(time.Hour))
	}
	is.NoErr(p.Call(addr, frame.PullConfig, &pb.Config{Revision: 4}, &got, time.Second))
}

// BenchmarkCall measures one small call and its reply over an open session.
func BenchmarkCall(b *testing.B) {
	addr, _ := startEcho(b)
	p := NewPool(&Traffic{})
	defer p.Stop()
	var got pb.Config
	b.ReportAllocs()
	for b.Loop() {
		if err := p.Call(addr, frame.PullConfig, &pb.Config{Revision: 1}, &got, time.Second); err != nil {
			b.Fatal(err)
		}
	}
}
