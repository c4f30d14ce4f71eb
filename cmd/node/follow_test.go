package node

import (
	"errors"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// After a start of all while the store was silent, all served 1.5 s later than
// the store did: each waited for the end of a call that nobody would answer.
func TestATopicIsAskedForAgainWhileACallWaits(t *testing.T) {
	is := is.New(t)
	silent := make(chan struct{})
	defer close(silent)
	var calls, taken atomic.Int64
	f := &follow{known: func() bool { return false }}
	f.read = func() (func(), error) {
		if calls.Add(1) == 1 {
			<-silent
		}
		return func() { taken.Add(1) }, nil
	}
	is.NoErr(f.learn())
	is.Equal(calls.Load(), int64(2))
	is.Equal(taken.Load(), int64(1))
}

func TestWhatAPeerToldNeedsNoAnswer(t *testing.T) {
	is := is.New(t)
	silent := make(chan struct{})
	defer close(silent)
	var told atomic.Bool
	f := &follow{known: told.Load}
	f.read = func() (func(), error) {
		told.Store(true)
		<-silent
		return nil, errors.New("silent")
	}
	is.NoErr(f.learn())
}

func TestAFailedReadIsTold(t *testing.T) {
	is := is.New(t)
	broken := errors.New("turned away")
	f := &follow{known: func() bool { return false }, read: func() (func(), error) { return nil, broken }}
	is.Equal(f.learn(), broken)
}
