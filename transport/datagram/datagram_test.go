package datagram

import (
	"net"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"quinceroad/protocol/pb"
)

// A stray datagram, or one of a build that sends other messages, must end no process: what is
// handed on always names its sender.
func TestOnlyHeartbeatsWithASenderAreReceived(t *testing.T) {
	is := is.New(t)
	s, err := Listen("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	sender, err := net.Dial("udp4", s.conn.LocalAddr().String())
	is.NoErr(err)
	defer sender.Close()
	unnamed, err := proto.Marshal(&pb.Heartbeat{Leaving: []string{"r1"}, Keys: []uint32{1}})
	is.NoErr(err)
	named, err := Encode(&pb.Heartbeat{News: []*pb.InstanceNews{{Name: "n1"}}})
	is.NoErr(err)
	for _, b := range [][]byte{{}, {0}, []byte("GET / HTTP/1.1"), unnamed, named} {
		_, err := sender.Write(b)
		is.NoErr(err)
	}
	h, err := s.Receive()
	is.NoErr(err)
	is.Equal(h.News[0].Name, "n1")
}
