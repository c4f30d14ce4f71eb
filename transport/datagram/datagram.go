// Package datagram carries the instances' heartbeats: protobuf messages in UDP
// datagrams, which may be lost.
package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"quinceroad/protocol/pb"
)

// maxLen bounds a datagram in bytes.
const maxLen = 16 << 10

// Socket sends and receives heartbeats.
type Socket struct{ conn *net.UDPConn }

// Listen opens a socket on addr, IP:port.
func Listen(addr string) (*Socket, error) {
	at, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, trace.Wrap(err, "heartbeats on %s", addr)
	}
	c, err := net.ListenUDP("udp4", at)
	if err != nil {
		return nil, trace.Wrap(err, "heartbeats on %s", addr)
	}
	return &Socket{conn: c}, nil
}

// ErrTooLong says that a heartbeat has too much to tell; nobody would get it.
var ErrTooLong = errors.New("longer than a datagram")

// Encode returns a heartbeat's bytes.
func Encode(h *pb.Heartbeat) ([]byte, error) {
	b, err := proto.Marshal(h)
	if err == nil && len(b) > maxLen {
		err = ErrTooLong
	}
	return b, err
}

// Send sends a heartbeat's bytes to addr, IP:port; failures are losses.
func (s *Socket) Send(addr string, b []byte) {
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(b, to)
}

// Receive returns the next heartbeat; what can't be read is passed over.
func (s *Socket) Receive() (*pb.Heartbeat, error) {
	b := make([]byte, maxLen)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return nil, err
		}
		h := &pb.Heartbeat{}
		if proto.Unmarshal(b[:n], h) == nil && len(h.News) > 0 {
			return h, nil
		}
	}
}

// Close ends the socket.
func (s *Socket) Close() { _ = s.conn.Close() }
