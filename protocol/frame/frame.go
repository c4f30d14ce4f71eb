// Package frame writes and reads protobuf messages on a stream of a link
// (package link). A frame is four bytes of length (big endian, of kind and
// message), one byte of kind, and the message.
package frame

import (
	"encoding/binary"
	"errors"
	"io"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"
)

// Kind is the type of a frame's message; the kind of a stream's first frame
// determines the stream's purpose.
type Kind byte

// The kinds of frames, with the messages of request -> reply.
const (
	Beat             Kind = iota + 1 // Beat -> BeatReply
	PullConfig                       // PullConfig -> Config
	PullMembers                      // PullMembers -> Members
	Watch                            // Watch -> View, View, ...
	Permits                          // PermitFrame both ways
	Run                              // Run -> RunReply
	Handover                         // Handover -> HandoverReply
	DrainingReplicas                 // Beat with draining replicas, from an entry -> Noted
	Limits                           // Demands -> Demands
	Drain                            // Noted -> Noted
	Reply                            // the reply to any of them
	RunStages                        // StagesAsk -> StagesReply, StagesReply; closing the stream ends the job
	PullReplicas                     // PullReplicas -> ReplicaChanges
	CachedPrefix                     // KeptAsk -> KeptReply
	TrialLease                       // TrialAsk -> TrialReply once the sender has the lease, then QuarantineCase; closing the stream ends it
	SendGrant                        // PaceAsk -> PaceReply
	SyncView                         // SyncAsk -> SyncReply
	Relay                            // RelayAsk -> RelayReply, then the bytes of a connection to a replica (package relay)
	RecordOrigin                     // OriginRecord -> OriginReply
	FindOrigin                       // OriginAsk -> OriginReply
	SlotLease                        // SlotAsk -> SlotReply, and another one if it is queued, then SlotEnd if it is granted
	CollectOrigins                   // OriginRecords -> OriginReply
	ReadBuildLogs                    // BuildLogAsk -> BuildLogReply
)

// UnknownKind is the reply to a stream whose kind the peer does not know. It is the
// highest number, away from the kinds that later builds add, so that all builds
// agree on it.
const UnknownKind Kind = 255

// MaxLen is the maximum length of a frame's kind and message in bytes; a larger
// frame ends the stream.
const MaxLen = 8 << 20

// readStep is how many bytes of a frame are held before any of them has arrived. A longer one is held as
// it arrives, so that its stated length alone costs no memory.
const readStep = 64 << 10

const (
	lengthBytes = 4
	headerBytes = lengthBytes + 1
)

// ErrTooLarge is returned for a frame over MaxLen or without a kind.
var ErrTooLarge = errors.New("frame: invalid length")

// ErrUnknownKind is returned when the peer does not know the kind of a stream
// because it runs an older build.
var ErrUnknownKind = errors.New("frame: kind is unknown to the peer")

// ReplyUnknownKind replies to a stream of an unknown kind.
func ReplyUnknownKind(w io.Writer) error { return Write(w, UnknownKind, &emptypb.Empty{}) }

// Write writes one message as a frame.
func Write(w io.Writer, k Kind, m proto.Message) error {
	b := make([]byte, headerBytes, headerBytes+proto.Size(m))
	b, err := proto.MarshalOptions{}.MarshalAppend(b, m)
	if err != nil {
		return err
	}
	if len(b)-lengthBytes > MaxLen {
		return ErrTooLarge
	}
	binary.BigEndian.PutUint32(b, uint32(len(b)-lengthBytes))
	b[lengthBytes] = byte(k)
	_, err = w.Write(b)
	return err
}

// ReadRaw reads one frame and returns its kind and its encoded message.
func ReadRaw(r io.Reader) (Kind, []byte, error) {
	var head [headerBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, nil, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MaxLen {
		return 0, nil, ErrTooLarge
	}
	b, err := readMessage(r, int(n-1))
	return Kind(head[lengthBytes]), b, err
}

// readMessage reads a message of a length.
func readMessage(r io.Reader, length int) ([]byte, error) {
	b := make([]byte, min(length, readStep))
	for read := 0; ; {
		n, err := io.ReadFull(r, b[read:])
		if read += n; err != nil {
			if read > 0 && err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return b[:read], err
		}
		if read == length {
			return b, nil
		}
		longer := make([]byte, min(length, 2*read))
		copy(longer, b)
		b = longer
	}
}

// Read reads one frame of any kind and decodes its message into m.
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
