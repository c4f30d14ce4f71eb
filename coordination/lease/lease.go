// Package lease decides whether this process holds an authority that the
// platform grants to one at a time, and under which fencing token it may act
// (Gray and Cheriton, 1989; sequencers after Burrows, 2006).
//
// No clock of another machine counts: the holder's own monotonic clock, read
// before the write that took or renewed the lease was sent, bounds it from
// below. What that leaves open, a pause between the check and the act, only a
// receiver that checks tokens can close.
package lease

import "time"

// Lease is one process's side of a lease. Not safe for concurrent use.
type Lease struct {
	ttl    time.Duration
	margin time.Duration
	token  uint64        // version of the key as last written; rises with every write of anybody
	until  time.Duration // own clock
	since  time.Duration // own clock: when it was taken, not renewed
	held   bool
}

// New returns a lease that is not held. margin is taken off its end.
func New(ttl, margin time.Duration) *Lease { return &Lease{ttl: ttl, margin: margin} }

// TTL is how long the platform keeps the lease without a renewal.
func (l *Lease) TTL() time.Duration { return l.ttl }

// Granted notes that a write sent at that time took or renewed the lease.
func (l *Lease) RecordGrant(sent time.Duration, version uint64) {
	if !l.Held(sent) {
		l.since = sent
	}
	l.held = true
	l.token = version
	l.until = sent + l.ttl - l.margin
}

// Lost notes that another holds it, or that the platform refused a renewal.
func (l *Lease) RecordLoss() { l.held = false }

// Held reports whether the lease is held at now.
func (l *Lease) Held(now time.Duration) bool { return l.held && now < l.until }

// May reports whether an act that takes at most limit may begin now, and under
// which token. It must be asked right before the act.
func (l *Lease) CanAct(now, limit time.Duration) (token uint64, ok bool) {
	return l.token, l.held && now+limit < l.until
}

// Settled reports whether every act of a former holder has ended: acts towards
// receivers that check no tokens must wait for it.
func (l *Lease) Settled(now, limit time.Duration) bool {
	return l.Held(now) && now-l.since > l.ttl+limit
}

// Version is the version under which the next write must be made to renew.
func (l *Lease) Version() uint64 { return l.token }
