package node

import (
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// When all instances started while the store was unresponsive, each waited for the end
// of a call that was never answered, and began to serve 1.5 s after the store recovered.
func TestTopicReadIsRepeatedWhileACallHangs(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	defer close(hang)
	var calls, applied atomic.Int64
	f := &topicFollower{isLoaded: func() bool { return false }}
	f.read = func() (func(), error) {
		if calls.Add(1) == 1 {
			<-hang
		}
		return func() { applied.Add(1) }, nil
	}
	is.NoErr(f.firstRead())
	is.Equal(calls.Load(), int64(2))
	is.Equal(applied.Load(), int64(1))
}

func TestTopicLearnedFromPeerNeedsNoStoreAnswer(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	defer close(hang)
	var learned atomic.Bool
	f := &topicFollower{isLoaded: learned.Load}
	f.read = func() (func(), error) {
		learned.Store(true)
		<-hang
		return nil, errors.New("the store did not answer")
	}
	is.NoErr(f.firstRead())
}

func TestFailedReadReturnsItsError(t *testing.T) {
	is := is.New(t)
	failure := errors.New("refused")
	f := &topicFollower{isLoaded: func() bool { return false }, read: func() (func(), error) { return nil, failure }}
	is.Equal(f.firstRead(), failure)
}
