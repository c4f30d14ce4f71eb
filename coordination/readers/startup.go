package readers

import "time"

// Startup is the state of an instance that has just started and has not read
// from the store yet.
type Startup struct {
	Age        time.Duration // of the process
	KnowsPeers bool          // whether the peers are known, as far as possible so early
	IsReader   bool          // see IsReader
	Jitter     float64       // 0 to 1, different for each instance
}

const (
	// How long instances that are not readers wait for the readers' updates.
	peerWait = 1500 * time.Millisecond
	// Window after peerWait over which the instances' own reads are spread; the
	// store's rate limit is per second.
	jitterWindow = 1 * time.Second
)

// ShouldRead reports whether the instance reads the store itself now. When all
// instances start at once, full listings for hundreds of them would saturate
// the store's link for seconds, so the readers go first and forward the result.
// Nobody waits indefinitely, as the readers may be cut off from the store.
func (s Startup) ShouldRead() bool {
	if s.Age >= peerWait+time.Duration(s.Jitter*float64(jitterWindow)) {
		return true
	}
	return s.KnowsPeers && s.IsReader
}
