package peersync

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	ms       = time.Millisecond
	delay    = 300 * ms // of a pull from another hall
	slowLink = 10e6 / 8 // bytes a second, the lowest of all deployments
)

// However many heartbeats announce newer data, this instance pulls from only one peer at a
// time.
func TestOnePullAtATime(t *testing.T) {
	is := is.New(t)
	p := &Pull{}
	is.True(p.TryStart(1000*ms, 0))
	for now := 1001 * ms; now < 1100*ms; now += ms {
		is.True(!p.TryStart(now, 0))
	}
	p.Finish()
	is.True(p.TryStart(1100*ms, 0))
}

// A pull from an instance of another hall starts only after a delay, in which a local
// instance may receive the data.
func TestPullFromAnotherHallIsDelayed(t *testing.T) {
	is := is.New(t)
	p := &Pull{}
	is.True(!p.TryStart(1000*ms, delay))
	is.True(!p.TryStart(1200*ms, delay))
	is.True(p.TryStart(1300*ms, delay))
	p.Finish()
	is.True(!p.TryStart(1400*ms, delay)) // the next update is delayed again
	is.True(p.TryStart(1450*ms, 0))      // unless a local instance announces it
	p.Finish()
	is.True(!p.TryStart(5000*ms, delay))
	is.True(!p.TryStart(9000*ms, delay)) // an earlier update, which arrived in another way, does not shorten the delay
}

// Updates to peers that are behind leave most of the link to clients. A refused peer may
// pull from another instance at once.
func TestUpdatesToPeersStayWithinTheirLinkShare(t *testing.T) {
	is := is.New(t)
	server := &UpdateServer{}
	const size = 70_000
	sent := 0
	for now := time.Duration(0); now < 4*time.Second; now += 2 * time.Millisecond {
		if server.Allow(now, size, slowLink) {
			sent += size
		}
	}
	is.True(float64(sent) <= 4*slowLink*updateLinkShare+2*size)
	is.True(float64(sent) >= 4*slowLink*updateLinkShare-2*size)
	is.True(server.Allow(4*time.Second, unmeteredUpdateSize, slowLink))
	p := &Pull{}
	is.True(!p.TryStart(time.Second, delay))
	is.True(p.TryStart(2*time.Second, delay))
	p.FinishBusy(2*time.Second, 0)
	is.True(p.TryStart(2*time.Second, delay)) // without another delay
	p.FinishBusy(2*time.Second, 1)
	is.True(!p.TryStart(2*time.Second+MaxBusyPause-1, delay)) // all who are behind don't ask again at once
	is.True(p.TryStart(2*time.Second+MaxBusyPause, delay))
}
