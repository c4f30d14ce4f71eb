package readers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhoStartsLeavesTheFirstReadToOthersForAWhile(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	is.True(!Startup{Age: 50 * ms, IsReader: true}.ShouldRead()) // who else starts is not known yet
	is.True(Startup{Age: 70 * ms, KnowsPeers: true, IsReader: true}.ShouldRead())
	is.True(!Startup{Age: 70 * ms, KnowsPeers: true}.ShouldRead())
	is.True(!Startup{Age: peersFor - ms, KnowsPeers: true}.ShouldRead())
	is.True(Startup{Age: peersFor, KnowsPeers: true}.ShouldRead())
	is.True(!Startup{Age: peersFor + 500*ms, KnowsPeers: true, Jitter: 0.9}.ShouldRead()) // not all at the same moment
	is.True(Startup{Age: peersFor + spreadOver, Jitter: 1}.ShouldRead())                  // but nobody waits for good
}
