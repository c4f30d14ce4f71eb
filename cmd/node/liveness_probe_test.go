package node

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/answerend"
	"quinceroad/coordination/quarantine"
	"quinceroad/state/catalog"
)

// A replica that is ending may accept one more connection before its port is closed. The
// probe must not take it for a running one, or its end is not counted.
func TestLivenessProbeOfAnEndingReplica(t *testing.T) {
	is := is.New(t)
	n := newTwoReplicaNode()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		_ = ln.Close() // before the connection ends, or the next one may be accepted
		_ = conn.Close()
	}()
	r := &catalog.Replica{ID: "r", Address: ln.Addr().String()}
	<-n.recordBrokenAnswers(r, n.now(), 7).Done()
	is.True(n.quarantine.hasEnded("r"))
	is.Equal(n.verdict(7), quarantine.Suspect)
}

// A running replica keeps the connection open and is not counted as ended.
func TestLivenessProbeOfARunningReplica(t *testing.T) {
	is := is.New(t)
	n := newTwoReplicaNode()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	<-n.recordBrokenAnswers(&catalog.Replica{ID: "r", Address: ln.Addr().String()}, n.now(), 7).Done()
	is.True(!n.quarantine.hasEnded("r"))
	is.Equal(n.verdict(7), quarantine.Unsuspected)
}

// Guards against sound unframed answers taken for broken: peers number the restarts of a replica as
// each has seen them, so that the end they tell of may be an earlier one. What answers by the
// replica's name after the end of the answer counts more.
func TestReplicaThatAnswersOutweighsWhatPeersTellOfItsEnd(t *testing.T) {
	is := is.New(t)
	n := newTwoReplicaNode()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	r := &catalog.Replica{ID: "r", Address: ln.Addr().String()}
	n.updateQuarantine(causeReplicaEnd, func(t *quarantine.Tracker, now time.Duration) []quarantine.Change {
		return t.RecordEnd(now, quarantine.IncarnationOf("r"))
	})
	is.True(n.quarantine.hasEnded("r"))
	is.Equal(n.awaitLife(context.Background(), n.prober.After(r, "r")), answerend.Runs)
	is.NoErr(ln.Close())
	is.Equal(n.awaitLife(context.Background(), n.prober.After(r, "r")), answerend.Ended)
}
