package readers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStartingInstanceWaitsForReaders(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	is.True(!Startup{Age: 50 * ms, IsReader: true}.ShouldRead()) // the peers are not known yet
	is.True(Startup{Age: 70 * ms, KnowsPeers: true, IsReader: true}.ShouldRead())
	is.True(!Startup{Age: 70 * ms, KnowsPeers: true}.ShouldRead())
	is.True(!Startup{Age: peerWait - ms, KnowsPeers: true}.ShouldRead())
	is.True(Startup{Age: peerWait, KnowsPeers: true}.ShouldRead())
	is.True(!Startup{Age: peerWait + 500*ms, KnowsPeers: true, Jitter: 0.9}.ShouldRead()) // reads are spread by Jitter
	is.True(Startup{Age: peerWait + jitterWindow, Jitter: 1}.ShouldRead())                // but the wait is bounded
}
