// Package frame puts one protobuf message on a link's stream: four bytes of
// length (big endian, of kind and message), one byte of kind, the message.
package frame

import (
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"
)

// Kind tells what a frame carries and so what a new stream is for.
type Kind byte

// The kinds; a stream opens with one of them.
const (
	Beat             Kind = iota + 1 // Beat -> BeatReply
	PullConfig                       // PullConfig -> Config
	PullMembers                      // PullMembers -> Members
	Watch                            // Watch -> View, View, ...
	Permits                          // PermitFrame both ways
	Run                              // Run -> RunReply
	Handover                         // Handover -> HandoverReply
	DrainingReplicas                 // Beat with leaving replicas, from an entry -> Noted
	Limits                           // Demands -> Demands
	Drain                            // Noted -> Noted
	Reply                            // the answer to any of them
	RunStages                        // StagesAsk -> StagesReply, StagesReply; its close ends the job
	PullReplicas                     // PullReplicas -> ReplicaChanges
	CachedPrefix                     // KeptAsk -> KeptReply
	TrialLease                       // TrialAsk -> TrialReply when it is the sender's turn, then QuarantineCase; its close ends the trial
	SendGrant                        // PaceAsk -> PaceReply
)

// Unknown answers a stream whose kind the peer does not know. It stands apart from
// the kinds that builds add, so that each later build knows it.
const UnknownKind Kind = 255

// MaxLen bounds a frame; larger ones end the stream.
const MaxLen = 8 << 20

const (
	lenBytes  = 4
	headBytes = lenBytes + 1
)

// ErrTooLarge is returned for a frame over MaxLen or without a kind.
var ErrTooLarge = errors.New("frame: bad length")

// ErrUnknown says that the peer does not know the kind of a stream: it runs an
// older build.
var ErrUnknownKind = errors.New("frame: the peer does not know this kind")

// Refuse answers a stream of a kind that is not known.
func ReplyUnknownKind(w io.Writer) error { return Write(w, UnknownKind, &emptypb.Empty{}) }

// Write sends one message.
func Write(w io.Writer, k Kind, m proto.Message) error {
	b := make([]byte, headBytes, headBytes+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return err
	}
	if len(b)-lenBytes > MaxLen {
		return ErrTooLarge
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lenBytes))
	b[lenBytes] = byte(k)
	_, err = w.Write(b)
	return err
}

// ReadRaw receives one frame.
func ReadRaw(r io.Reader) (Kind, []byte, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MaxLen {
		return 0, nil, ErrTooLarge
	}
	b := make([]byte, n-1)
	_, err := io.ReadFull(r, b)
	return Kind(head[lenBytes]), b, err
}

// Read receives one message of any kind into m.
func Read(r io.Reader, m proto.Message) error {
	k, b, err := ReadRaw(r)
	if err == nil && k == UnknownKind {
		err = ErrUnknownKind
	}
	if err != nil {
		return err
	}
	return proto.Unmarshal(b, m)
}
