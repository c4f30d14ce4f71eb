package rollout

import (
	"math"
	"time"
)

// Buckets of the time to an answer: half an octave each, from 1 ms up to 46 s.
const Buckets = 32

// BucketOf returns the bucket of a time.
func BucketOf(took time.Duration) int {
	ms := took.Seconds() * 1e3
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), Buckets-1)
}

// Tally counts answers, and requests that got none for an end of their replica's
// life; each of its numbers only rises.
type Tally struct {
	Failed      uint32
	ReplicaEnds uint32          // requests under which the replica's life was over
	Latencies   [Buckets]uint32 // of answers that are no failures, until they began
}

// Add counts an answer.
func (t *Tally) Add(took time.Duration, failed bool) {
	if failed {
		t.Failed++
		return
	}
	t.Latencies[BucketOf(took)]++
}

// AddEnded counts a request under which its replica's life was over.
func (t *Tally) AddReplicaEnd() { t.ReplicaEnds++ }

// Answers is the number of all answers.
func (t *Tally) Answers() int { return int(t.Failed) + t.from(0) }

// from is the number of answers in a bucket and those above.
func (t *Tally) from(bucket int) int {
	n := 0
	for _, c := range t.Latencies[min(bucket, Buckets):] {
		n += int(c)
	}
	return n
}

// bad is the number of failures and of answers in slow buckets.
func (t *Tally) bad(slow int) int { return int(t.Failed) + t.from(slow) }

// median returns the bucket that holds the middle answer.
func (t *Tally) median() int {
	half := (t.from(0) + 1) / 2
	for b, n := range t.Latencies {
		if half -= int(n); half <= 0 {
			return b
		}
	}
	return 0
}

// raise takes in a later or earlier tally of the same answers.
func (t *Tally) raise(o *Tally) {
	t.Failed = max(t.Failed, o.Failed)
	t.ReplicaEnds = max(t.ReplicaEnds, o.ReplicaEnds)
	for b := range t.Latencies {
		t.Latencies[b] = max(t.Latencies[b], o.Latencies[b])
	}
}

func (t *Tally) merge(o *Tally) {
	t.Failed += o.Failed
	t.ReplicaEnds += o.ReplicaEnds
	for b := range t.Latencies {
		t.Latencies[b] += o.Latencies[b]
	}
}

// Row names what a tally is of: a route, and the new replica that answered; ""
// stands for all replicas of other versions.
type RowKey struct{ Route, Replica string }

// Report is what one life of an instance has seen of an order.
type Report struct {
	Sequence       uint64 // rises with each report of that life
	FullyShifted   bool   // it sends everything to the new version
	Pinned         int    // requests at old replicas that can't go on elsewhere
	InFlight       int    // requests at old replicas
	LongestRequest time.Duration
	Sent           int // to the service, of either version
	Rows           map[RowKey]*Tally
}

// life is one life of an instance.
type life struct {
	name        string
	incarnation uint64
}

// Reports holds what each life has told of one order. As all that is summed only
// rises, what is lost, late, repeated or told in parts does no harm.
type Reports struct{ lives map[life]Report }

// NewReports returns an empty set.
func NewReports() *Reports { return &Reports{lives: make(map[life]Report)} }

// Take takes in a report of a life, or a part of one.
func (r *Reports) Merge(name string, incarnation uint64, rep Report) {
	k := life{name, incarnation}
	old, known := r.lives[k]
	if !known {
		old = Report{Rows: make(map[RowKey]*Tally)}
	}
	rows := old.Rows
	for row, t := range rep.Rows {
		if rows[row] == nil {
			rows[row] = &Tally{}
		}
		rows[row].raise(t)
	}
	if known && rep.Sequence < old.Sequence {
		return
	}
	rep.Rows = rows
	r.lives[k] = rep
}

// Of returns the newest report of a life.
func (r *Reports) Latest(name string, incarnation uint64) (Report, bool) {
	rep, ok := r.lives[life{name, incarnation}]
	return rep, ok
}

// Sums adds up what all lives have seen.
func (r *Reports) Sums() (rows map[RowKey]*Tally, sent int, longest time.Duration) {
	rows = make(map[RowKey]*Tally)
	for _, rep := range r.lives {
		sent += rep.Sent
		longest = max(longest, rep.LongestRequest)
		for k, t := range rep.Rows {
			if rows[k] == nil {
				rows[k] = &Tally{}
			}
			rows[k].merge(t)
		}
	}
	return rows, sent, longest
}
