package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/protocol/pack"
)

const ms = time.Millisecond

// However many heartbeats announce newer data, this instance pulls from only one peer at a
// time.
func TestOnePullAtATime(t *testing.T) {
	is := is.New(t)
	p := &peerPull{}
	is.True(p.tryStart(1000*ms, 0))
	for now := 1001 * ms; now < 1100*ms; now += ms {
		is.True(!p.tryStart(now, 0))
	}
	p.finish()
	is.True(p.tryStart(1100*ms, 0))
}

// A pull from an instance of another hall starts only after a delay, in which a local
// instance may receive the data.
func TestPullFromAnotherHallIsDelayed(t *testing.T) {
	is := is.New(t)
	p := &peerPull{}
	is.True(!p.tryStart(1000*ms, otherHallPullDelay))
	is.True(!p.tryStart(1200*ms, otherHallPullDelay))
	is.True(p.tryStart(1300*ms, otherHallPullDelay))
	p.finish()
	is.True(!p.tryStart(1400*ms, otherHallPullDelay)) // the next update is delayed again
	is.True(p.tryStart(1450*ms, 0))                   // unless a local instance announces it
	p.finish()
	is.True(!p.tryStart(5000*ms, otherHallPullDelay))
	is.True(!p.tryStart(9000*ms, otherHallPullDelay)) // an earlier update, which arrived in another way, does not shorten the delay
}

func TestPeersReceiveACompressedConfiguration(t *testing.T) {
	is := is.New(t)
	text := bytes.Repeat([]byte(`{"name":"r-1","host":"h.example","service":"read"},`), 2000)
	raw := &rawConfig{text: text}
	is.True(len(raw.compressForPeers()) < len(text)/10)
	opened, err := pack.Decompress(raw.compressForPeers())
	is.NoErr(err)
	is.Equal(opened, text)
}
