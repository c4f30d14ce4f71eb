package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"quinceroad/coordination/history"
	"quinceroad/platform"
)

// lateStore is a store in its second era, of which one watch is answered from the first.
type lateStore struct {
	*fakeStore
	watches int
}

func (s *lateStore) Era() uint64 { return 2 }

func (s *lateStore) Intent() (platform.Intent, error) {
	return platform.Intent{Configuration: configText(1), At: history.Point{Era: 2, Revision: 10}}, nil
}

func (s *lateStore) Watch(_ platform.Topic, _ history.Point, wait time.Duration) ([]platform.Entry, history.Point, error) {
	s.watches++
	if s.watches == 1 {
		return []platform.Entry{platform.HallDrainEntry("h1", 50, false)}, history.Point{Era: 1, Revision: 50}, nil
	}
	time.Sleep(wait)
	return nil, history.Point{Era: 2, Revision: 10}, nil
}

// An answer of an earlier era changes nothing, whatever its revision.
func TestLateAnswerOfAnEarlierEraIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := New(&platform.Settings{Name: "n", Hall: "h", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
		s := &lateStore{fakeStore: newFakeStore()}
		n.store = s
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		n.isReader.Store(true)
		go n.followIntent(ctx)
		time.Sleep(30 * time.Second)
		synctest.Wait()
		is.True(s.watches > 1)
		n.watchedMu.Lock()
		drained, at := n.drainedHalls.Halls(), n.drainedHalls.At()
		n.watchedMu.Unlock()
		is.Equal(len(drained), 0)
		is.Equal(at, history.Point{Era: 2, Revision: 10})
		cancel()
		time.Sleep(time.Minute)
	})
}
