package frame

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/matryer/is"

	"quinceroad/protocol/pb"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	var b bytes.Buffer
	is.NoErr(Write(&b, Beat, &pb.Beat{Revision: 7}))
	is.NoErr(Write(&b, Reply, &pb.Config{}))
	k, _, err := ReadRaw(bytes.NewReader(b.Bytes()))
	is.NoErr(err)
	is.Equal(k, Beat)
	var m pb.Beat
	is.NoErr(Read(&b, &m))
	is.Equal(m.GetRevision(), uint64(7))
	is.NoErr(Read(&b, &pb.Config{}))
	is.Equal(Read(&b, &m), io.EOF)
}

// greedyReader gives the head of a frame and counts the memory that is offered for the rest.
type greedyReader struct {
	head    []byte
	offered int // bytes
}

func (r *greedyReader) Read(b []byte) (int, error) {
	if len(r.head) > 0 {
		n := copy(b, r.head)
		r.head = r.head[n:]
		return n, nil
	}
	r.offered = max(r.offered, len(b))
	return 0, io.ErrUnexpectedEOF
}

// BOUND: a peer that states a long frame and sends none of it costs little memory.
func TestStatedLengthCostsNoMemory(t *testing.T) {
	is := is.New(t)
	r := &greedyReader{head: []byte{0, 0x80, 0, 0, byte(Beat)}} // MaxLen
	_, _, err := ReadRaw(r)
	is.Equal(err, io.ErrUnexpectedEOF)
	t.Logf("%d bytes held", r.offered)
	is.True(r.offered <= 2*readStep)
}

// endlessReader gives the same frames again and again.
type endlessReader struct {
	frame []byte
	read  int // bytes
}

func (r *endlessReader) Read(b []byte) (int, error) {
	for n := range b {
		b[n] = r.frame[(r.read+n)%len(r.frame)]
	}
	r.read += len(b)
	return len(b), nil
}

// BOUND: of bytes that are no frame only a head is read, and of a long frame no more than its length.
func TestBytesWithoutEndAreNoFrame(t *testing.T) {
	is := is.New(t)
	r := &endlessReader{frame: []byte("x")}
	_, _, err := ReadRaw(r)
	is.Equal(err, ErrTooLarge)
	is.Equal(r.read, headerBytes)
	long := &endlessReader{frame: append([]byte{0, 0x80, 0, 0, byte(Beat)}, make([]byte, MaxLen)...)}
	_, message, err := ReadRaw(long)
	is.NoErr(err)
	is.Equal(len(message), MaxLen-1)
	is.Equal(long.read, MaxLen+lengthBytes)
	is.True(cap(message) <= 2*MaxLen)
}

func FuzzReadRaw(f *testing.F) {
	f.Add([]byte{0, 0, 0, 1, 1})
	f.Add([]byte{255, 255, 255, 255, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, b, err := ReadRaw(bytes.NewReader(data))
		if err == nil && len(b) > len(data) {
			t.Fatal("message is longer than the input")
		}
		if err != nil && !errors.Is(err, ErrTooLarge) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Fatal(err)
		}
	})
}

// Builds of several releases run concurrently, so the number of a kind must not
// change.
func TestKindNumbersAreStable(t *testing.T) {
	is := is.New(t)
	for kind, number := range map[Kind]byte{
		Beat: 1, PullConfig: 2, PullMembers: 3, Watch: 4, Permits: 5, Run: 6, Handover: 7, DrainingReplicas: 8, Limits: 9, Drain: 10, Reply: 11,
		RunStages: 12, PullReplicas: 13, CachedPrefix: 14, TrialLease: 15, SendGrant: 16, SyncView: 17, Relay: 18,
		RecordOrigin: 19, FindOrigin: 20, SlotLease: 21, CollectOrigins: 22, ReadBuildLogs: 23, UnknownKind: 255,
	} {
		is.Equal(byte(kind), number)
	}
}
