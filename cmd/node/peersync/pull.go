// Package peersync limits what instances exchange when some are behind: how often one of them
// pulls from its peers, and what of its link it spends on those that pull.
package peersync

import (
	"sync"
	"time"
)

const behindExpiry = 2 * time.Second // age at which behindSince is out of date

// Pull limits the pulls of one topic from peers to one at a time.
type Pull struct {
	mu          sync.Mutex
	inProgress  bool
	notBefore   time.Duration // time of the next attempt after a busy peer refused one
	behindSince time.Duration // time since which this instance is behind a peer; 0: it is not
}

// TryStart reports whether to pull from a peer with newer data now, and marks the pull
// as in progress.
func (p *Pull) TryStart(now time.Duration, delay time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress || now < p.notBefore {
		return false
	}
	if p.behindSince == 0 || now-p.behindSince > behindExpiry {
		p.behindSince = now
	}
	if now-p.behindSince < delay {
		return false
	}
	p.inProgress = true
	return true
}

// Finish ends a pull.
func (p *Pull) Finish() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress, p.behindSince = false, 0
}

// FinishBusy ends a pull that a busy peer refused. The next one starts after a moment, as
// all instances that are behind hear from the same peers.
func (p *Pull) FinishBusy(now time.Duration, random float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inProgress, p.notBefore = false, now+time.Duration(random*float64(MaxBusyPause))
}

// MaxBusyPause is the longest pause after a busy peer has refused a pull.
const MaxBusyPause = 150 * time.Millisecond
