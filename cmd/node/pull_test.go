package node

import (
	"bytes"
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/protocol/pack"
)

const ms = time.Millisecond

// However many heartbeats tell of news, one peer is asked at a time.
func TestOnePullAtATime(t *testing.T) {
	is := is.New(t)
	p := &pull{}
	is.True(p.due(1000*ms, 0))
	for now := 1001 * ms; now < 1100*ms; now += ms {
		is.True(!p.due(now, 0))
	}
	p.done()
	is.True(p.due(1100*ms, 0))
}

// A far peer is asked once a near one had its time to know.
func TestAFarPeerIsAskedLater(t *testing.T) {
	is := is.New(t)
	p := &pull{}
	is.True(!p.due(1000*ms, hallPatience))
	is.True(!p.due(1200*ms, hallPatience))
	is.True(p.due(1300*ms, hallPatience))
	p.done()
	is.True(!p.due(1400*ms, hallPatience)) // the next news waits again
	is.True(p.due(1450*ms, 0))             // unless a near one tells it
	p.done()
	is.True(!p.due(5000*ms, hallPatience))
	is.True(!p.due(9000*ms, hallPatience)) // a wish that was met otherwise does not count
}

func TestPeersAreToldACompressedConfiguration(t *testing.T) {
	is := is.New(t)
	text := bytes.Repeat([]byte(`{"name":"r-1","host":"h.example","service":"read"},`), 2000)
	raw := &rawConfig{text: text}
	is.True(len(raw.forPeers()) < len(text)/10)
	opened, err := pack.Decompress(raw.forPeers())
	is.NoErr(err)
	is.Equal(opened, text)
}
