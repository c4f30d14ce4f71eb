package node

import (
	"context"
	"errors"
	"math"
	"net"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/pace"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// A word that goes round by peers is the same as when it left: one that comes back
// a little different would be news for ever.
func TestALimitThatComesBackIsNoNews(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1"}, hclog.NewNullLogger())
	word := pace.Report{Incarnation: "r", Limit: pace.Limit{PerSecond: 1.2, Stated: true}}
	n.hearLimit(word, "peer")
	n.takeLimits("peer", n.limitNews())
	n.advisories.withPaces(func(b *pace.Tracker) { is.Equal(b.Limit("r"), word.Limit) })
}

// Whatever a peer tells of limits ends nothing and holds nobody.
func TestBrokenWordsOfLimits(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1"}, hclog.NewNullLogger())
	long := string(make([]byte, 10_000))
	n.takeLimits("peer", []*pb.ReplicaLimit{
		nil, {}, {Id: long, PerSecond: 1}, {Id: "a", PerSecond: -1}, {Id: "b", PerSecond: math.NaN()}, {Id: "c", PerSecond: math.Inf(1)}, {Id: "d", Ended: true},
	})
	is.True(!n.advisories.paced.Load())
	for _, first := range [][]byte{nil, {0xff}, []byte("no message")} {
		is.True(n.answerPace(first, "peer").Elsewhere)
	}
}

// The gauge of limited replicas falls with the last limit.
func TestTheGaugeFallsWithTheLastLimit(t *testing.T) {
	is := is.New(t)
	n := New(&platform.Settings{Name: "n1", Hall: "h1"}, hclog.NewNullLogger())
	n.replicas.log.Replace(map[string][]byte{"r": replicaEntry(t, &catalog.Replica{Service: "s", Address: "10.1.1.1:1", Hall: "h1", Slots: 1})}, 1)
	n.publish()
	gauge := func() int64 { return metrics.GetOrRegisterGauge("node.replicas_limited.s", n.registry).Value() }
	n.hearLimit(pace.Report{Incarnation: "r", Limit: pace.Limit{PerSecond: 1, Stated: true}}, "peer")
	n.sweepLimits()
	is.Equal(gauge(), int64(1))
	n.hearLimit(pace.Report{Incarnation: "r"}, "peer")
	n.sweepLimits()
	is.Equal(gauge(), int64(0))
}

// A keeper of turns that is cut off: its connection is open and silent for good. Who
// asks it has its own short time for that, not the link's of seconds.
func TestAKeeperThatIsCutOffIsWaitedForBriefly(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	n := New(&platform.Settings{Name: "n1", Hall: "h1", IP: "127.0.0.1"}, hclog.NewNullLogger())
	n.hearLimit(pace.Report{Incarnation: "r", Limit: pace.Limit{PerSecond: 5, Stated: true}}, "peer")
	began := time.Now()
	_, err = n.askKeeper(context.Background(), listener.Addr().String(), "r")
	t.Logf("after %v", time.Since(began))
	is.True(errors.Is(err, context.DeadlineExceeded))
}
