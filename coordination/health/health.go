// Package health detects outliers among replicas by the outcomes of the requests sent
// to them (passive health checking).
//
// A replica that can't be reached, or whose answers keep breaking off, is ejected for
// a time that doubles with each further ejection; afterwards one request probes it. A
// replica with a far higher failure rate than its service is ejected too, whatever its
// own health check reports. Callers ignore ejections when they would leave less than
// half of a service in use: if most replicas look bad, the cause is elsewhere.
package health

import (
	"time"
)

// Signal is the outcome of one request as evidence about a replica's health.
type Signal int

// The signals.
const (
	Success     Signal = iota // a complete answer that is not a failure
	Failure                   // a complete answer that reports a failure of the replica itself
	Broken                    // the answer broke off or was invalid
	Unreachable               // no connection could be made
	Timeout                   // no answer in the expected time
	Full                      // the replica reports that it is at capacity
)

// String returns the signal's name for logs.
func (s Signal) String() string {
	return [...]string{"good", "failure", "broken", "unreachable", "silent", "full"}[s]
}

// Options are the settings of a Detector.
type Options struct {
	BaseEjection      time.Duration // after the first bad signal, doubled by each further one: a few typical response times
	MaxEjection       time.Duration // upper bound: limits how long a recovered replica stays unused
	FailureWeight     float64       // weight of a new signal in the failure rate
	MaxExcessFailures float64       // excess of a replica's failure rate over its service's from which it is ejected
	FullEjection      time.Duration // for a replica at capacity: a few short response times
	MaxRemoteEjection time.Duration // longest ejection adopted from other instances
	MaxBackoff        time.Duration // longest ejection for a backoff; the replica asked one instance, and for others it is a hint
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		BaseEjection:      400 * time.Millisecond,
		MaxEjection:       5 * time.Second,
		FailureWeight:     0.2,
		MaxExcessFailures: 0.35,
		FullEjection:      50 * time.Millisecond,
		MaxRemoteEjection: 2 * time.Second,
		MaxBackoff:        time.Second,
	}
}

// Detector tracks the health of replicas. It is not safe for concurrent use.
type Detector struct {
	opts     Options
	replicas map[string]*replica
}

type replica struct {
	ejectedUntil time.Duration
	ejection     time.Duration
	failureRate  float64       // moving average of the share of failures
	isLocal      bool          // ejected by this instance's own evidence
	lastRecord   time.Duration // time of the latest signal, backoff or remote ejection
}

// New returns a detector that has ejected no replica.
func New(o Options) *Detector { return &Detector{opts: o, replicas: make(map[string]*replica)} }

func (d *Detector) replicaFor(id string) *replica {
	r := d.replicas[id]
	if r == nil {
		r = &replica{}
		d.replicas[id] = r
	}
	return r
}

// Record records a signal about a replica; serviceRate is the failure rate of its
// whole service.
func (d *Detector) Record(now time.Duration, id string, s Signal, serviceRate float64) {
	r := d.replicaFor(id)
	r.lastRecord = now
	switch s {
	case Success:
		r.failureRate -= d.opts.FailureWeight * r.failureRate
		r.ejection = 0
		if r.isLocal {
			r.ejectedUntil = 0
		}
	case Failure:
		r.failureRate += d.opts.FailureWeight * (1 - r.failureRate)
	case Full:
		r.ejectedUntil = max(r.ejectedUntil, now+d.opts.FullEjection)
		return
	case Broken:
		r.failureRate += d.opts.FailureWeight * (1 - r.failureRate)
	case Unreachable, Timeout:
		d.eject(now, r)
		return
	}
	if r.failureRate > serviceRate+d.opts.MaxExcessFailures {
		d.eject(now, r)
		r.failureRate = serviceRate + d.opts.MaxExcessFailures/2 // the next ejection takes further failures
	}
}

// RecordBackoff ejects a replica that asked for a backoff, for at most MaxBackoff.
func (d *Detector) RecordBackoff(now time.Duration, id string, backoff time.Duration) {
	r := d.replicaFor(id)
	r.lastRecord = now
	r.ejectedUntil = max(r.ejectedUntil, now+min(backoff, d.opts.MaxBackoff))
	r.isLocal = true
}

func (d *Detector) eject(now time.Duration, r *replica) {
	r.ejection = min(max(2*r.ejection, d.opts.BaseEjection), d.opts.MaxEjection)
	r.ejectedUntil = now + r.ejection
	r.isLocal = true
}

// Reinstate ends an ejection by this instance's own evidence. It is called when that evidence
// turns out to be about the link to the replica.
func (d *Detector) Reinstate(id string) {
	if r := d.replicas[id]; r != nil && r.isLocal {
		r.ejectedUntil, r.ejection = 0, 0
	}
}

// RecordRemoteEjection adopts another instance's ejection of a replica with its
// remaining time, at most MaxRemoteEjection.
func (d *Detector) RecordRemoteEjection(now time.Duration, id string, remaining time.Duration) {
	r := d.replicaFor(id)
	r.lastRecord = now
	until := now + min(remaining, d.opts.MaxRemoteEjection)
	if until > r.ejectedUntil {
		r.ejectedUntil = until
		r.isLocal = false
	}
}

// IsEjected reports whether a replica is ejected now.
func (d *Detector) IsEjected(now time.Duration, id string) bool {
	r := d.replicas[id]
	return r != nil && now < r.ejectedUntil
}

// Ejected returns the replicas that are ejected now.
func (d *Detector) Ejected(now time.Duration) []string {
	var out []string
	for id, r := range d.replicas {
		if now < r.ejectedUntil {
			out = append(out, id)
		}
	}
	return out
}

// LocallyEjected returns the remaining ejection times of the replicas ejected by this
// instance's own evidence.
func (d *Detector) LocallyEjected(now time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for id, r := range d.replicas {
		if r.isLocal && now < r.ejectedUntil {
			out[id] = r.ejectedUntil - now
		}
	}
	return out
}

// Expire drops replicas without a record for longer than after.
func (d *Detector) Expire(now, after time.Duration) {
	for id, r := range d.replicas {
		if now-r.lastRecord > after {
			delete(d.replicas, id)
		}
	}
}
