// Package datagram sends and receives the instances' heartbeats as protobuf
// messages in UDP datagrams, which may be lost.
package datagram

import (
	"errors"
	"net"
	"net/netip"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"quinceroad/protocol/pb"
)

// maxLen is the maximum size of a datagram in bytes.
const maxLen = 16 << 10

// Socket sends and receives heartbeats.
type Socket struct{ conn *net.UDPConn }

// Listen opens a UDP socket on addr (IP:port).
func Listen(addr string) (*Socket, error) {
	udpAddr, err := net.ResolveUDPAddr("udp4", addr)
	if err != nil {
		return nil, trace.Wrap(err, "heartbeats on %s", addr)
	}
	c, err := net.ListenUDP("udp4", udpAddr)
	if err != nil {
		return nil, trace.Wrap(err, "heartbeats on %s", addr)
	}
	return &Socket{conn: c}, nil
}

// ErrTooLong is returned for a heartbeat over maxLen; no peer could receive it.
var ErrTooLong = errors.New("heartbeat exceeds the maximum datagram size")

// Encode marshals a heartbeat.
func Encode(h *pb.Heartbeat) ([]byte, error) {
	b, err := proto.Marshal(h)
	if err == nil && len(b) > maxLen {
		err = ErrTooLong
	}
	return b, err
}

// Send sends an encoded heartbeat to addr (IP:port). Errors are ignored, like
// lost datagrams.
func (s *Socket) Send(addr string, b []byte) {
	dest, err := netip.ParseAddrPort(addr)
	if err != nil {
		return
	}
	_, _ = s.conn.WriteToUDPAddrPort(b, dest)
}

// Receive returns the next heartbeat; malformed and empty ones are skipped.
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

// Close closes the socket.
func (s *Socket) Close() { _ = s.conn.Close() }
