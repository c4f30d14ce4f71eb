// Package health judges replicas by what became of the requests sent to them.
//
// A replica that can't be reached, or whose answers keep breaking off, is left
// alone for a pause that doubles; then one request tries it again. A replica
// that fails far more of its requests than the others of its service do is
// left alone too, however good its own health check looks. Never more than
// half of a service is left alone on such evidence: when all seem sick, the
// cause is elsewhere.
package health

import (
	"time"
)

// Sign is what one request tells of a replica.
type Signal int

// The signs.
const (
	Success     Signal = iota // a whole answer that is no failure
	Failure                   // a whole answer that is a failure of the replica's own
	Broken                    // the answer broke off or was no answer
	Unreachable               // no connection
	Timeout                   // no answer within the time it should take
	Full                      // it says that it is full
)

// String returns the sign's name for logs.
func (s Signal) String() string {
	return [...]string{"good", "failure", "broken", "unreachable", "silent", "full"}[s]
}

// Options are the judge's constants.
type Options struct {
	BaseEjection      time.Duration // after the first bad sign, doubled by each next: a few usual answers
	MaxEjection       time.Duration // the longest: a replica that is back is missed for no longer
	FailureWeight     float64       // weight of a new sign in the share of failures
	MaxExcessFailures float64       // share of failures beyond the service's own from which a replica is left alone
	FullEjection      time.Duration // that a replica which says it is full is left alone; a few short answers
	MaxRemoteEjection time.Duration // longest pause taken over from others
	MaxBackoff        time.Duration // that a replica which wants a rest counts as sick, here and by hearsay: it said so to one instance, and to others it is a hint
}

// Standard returns the constants in use.
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

// Judge is not safe for concurrent use.
type Detector struct {
	opts Options
	rows map[string]*row
}

type row struct {
	pausedTo time.Duration
	pause    time.Duration
	fails    float64 // share of failures, lately
	mine     bool    // the pause comes from own evidence
	seen     time.Duration
}

// New returns a judge that thinks well of everyone.
func New(o Options) *Detector { return &Detector{opts: o, rows: make(map[string]*row)} }

func (j *Detector) row(id string) *row {
	r := j.rows[id]
	if r == nil {
		r = &row{}
		j.rows[id] = r
	}
	return r
}

// Note takes in a sign; usual is the share of failures of the whole service.
func (j *Detector) Record(now time.Duration, id string, s Signal, usual float64) {
	r := j.row(id)
	r.seen = now
	switch s {
	case Success:
		r.fails -= j.opts.FailureWeight * r.fails
		r.pause = 0
		if r.mine {
			r.pausedTo = 0
		}
	case Failure:
		r.fails += j.opts.FailureWeight * (1 - r.fails)
	case Full:
		r.pausedTo = max(r.pausedTo, now+j.opts.FullEjection)
		return
	case Broken:
		r.fails += j.opts.FailureWeight * (1 - r.fails)
	case Unreachable, Timeout:
		j.pauseFor(now, r)
		return
	}
	if r.fails > usual+j.opts.MaxExcessFailures {
		j.pauseFor(now, r)
		r.fails = usual + j.opts.MaxExcessFailures/2
	}
}

// Rests takes in that a replica wants nothing for so long.
func (j *Detector) RecordBackoff(now time.Duration, id string, length time.Duration) {
	r := j.row(id)
	r.seen = now
	r.pausedTo = max(r.pausedTo, now+min(length, j.opts.MaxBackoff))
	r.mine = true
}

func (j *Detector) pauseFor(now time.Duration, r *row) {
	r.pause = min(max(2*r.pause, j.opts.BaseEjection), j.opts.MaxEjection)
	r.pausedTo = now + r.pause
	r.mine = true
}

// Hearsay takes in that another instance leaves a replica alone for so long.
func (j *Detector) RecordRemoteEjection(now time.Duration, id string, left time.Duration) {
	r := j.row(id)
	r.seen = now
	until := now + min(left, j.opts.MaxRemoteEjection)
	if until > r.pausedTo {
		r.pausedTo = until
		r.mine = false
	}
}

// Paused reports whether a replica is to be left alone.
func (j *Detector) IsEjected(now time.Duration, id string) bool {
	r := j.rows[id]
	return r != nil && now < r.pausedTo
}

// Sick returns the replicas left alone by own evidence, and for how much longer.
func (j *Detector) LocallyEjected(now time.Duration) map[string]time.Duration {
	out := make(map[string]time.Duration)
	for id, r := range j.rows {
		if r.mine && now < r.pausedTo {
			out[id] = r.pausedTo - now
		}
	}
	return out
}

// Forget drops what was not seen for so long.
func (j *Detector) Prune(now, after time.Duration) {
	for id, r := range j.rows {
		if now-r.seen > after {
			delete(j.rows, id)
		}
	}
}
