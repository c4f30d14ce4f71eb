package readers

import "time"

// Start is what an instance knows that has just started and has read nothing.
type Startup struct {
	Age        time.Duration // of the process
	KnowsPeers bool          // it knows who else there is, as far as can be told so soon
	IsReader   bool          // it reads for others
	Jitter     float64       // 0 to 1, another one for each instance
}

const (
	peersFor   = 1500 * time.Millisecond // that who does not read for others waits for their news
	spreadOver = 1 * time.Second         // after which all have asked the store by themselves, as its rate is a second's
)

// Reads reports whether the instance asks the store by itself now. When all
// start at once, whole lists for hundreds fill the store's link for seconds; so
// those that read for others ask first, and tell the rest. Nobody waits for
// news for good: the store may be away from those that read.
func (s Startup) ShouldRead() bool {
	if s.Age >= peersFor+time.Duration(s.Jitter*float64(spreadOver)) {
		return true
	}
	return s.KnowsPeers && s.IsReader
}
