// Package lease decides whether this process holds an authority that the platform
// grants to one process at a time, and under which fencing token it may act (Gray and
// Cheriton, 1989; sequencers after Burrows, 2006).
//
// It doesn't rely on the clock of another machine. The holder reads its own monotonic
// clock before it sends the write that takes or renews the lease, so its estimate of
// the lease's end is never late. A process may still pause between the check and the
// act; only a receiver that checks tokens protects against that.
package lease

import "time"

// Lease is one process's side of a lease. It is not safe for concurrent use.
type Lease struct {
	ttl        time.Duration
	margin     time.Duration // safety margin before the lease's end
	token      uint64        // version of the key as last written; every write by any process increases it
	expiresAt  time.Duration // on the own clock, margin before the end
	acquiredAt time.Duration // on the own clock; renewals don't change it
	held       bool
}

// New returns a lease that is not held. It counts as expired margin before its end.
func New(ttl, margin time.Duration) *Lease { return &Lease{ttl: ttl, margin: margin} }

// TTL is how long the platform keeps the lease without a renewal.
func (l *Lease) TTL() time.Duration { return l.ttl }

// RecordGrant records that a write sent at the given time took or renewed the lease.
func (l *Lease) RecordGrant(sent time.Duration, version uint64) {
	if !l.Held(sent) {
		l.acquiredAt = sent
	}
	l.held = true
	l.token = version
	l.expiresAt = sent + l.ttl - l.margin
}

// RecordLoss records that another process holds the lease, or that the platform refused
// a renewal.
func (l *Lease) RecordLoss() { l.held = false }

// Held reports whether the lease is held at now.
func (l *Lease) Held(now time.Duration) bool { return l.held && now < l.expiresAt }

// CanAct reports whether an act of at most the given duration may begin now, and under
// which token. Call it right before the act.
func (l *Lease) CanAct(now, duration time.Duration) (token uint64, ok bool) {
	return l.token, l.held && now+duration < l.expiresAt
}

// Settled reports whether every act of a former holder, of at most the given duration,
// has ended. Acts on receivers that don't check tokens must wait for it.
func (l *Lease) Settled(now, duration time.Duration) bool {
	return l.Held(now) && now-l.acquiredAt > l.ttl+duration
}

// Version is the version that the next write must name to renew the lease.
func (l *Lease) Version() uint64 { return l.token }
