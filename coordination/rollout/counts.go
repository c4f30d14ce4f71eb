package rollout

import (
	"math"
	"time"
)

// Buckets is the number of latency buckets. Each is half an octave wide; together
// they cover 1 ms to 46 s.
const Buckets = 32

// BucketOf returns the latency bucket of a response time.
func BucketOf(took time.Duration) int {
	ms := took.Seconds() * 1e3
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), Buckets-1)
}

// Tally counts answers, and requests that got none because their replica ended.
// Its counters never decrease.
type Tally struct {
	Failed      uint32
	ReplicaEnds uint32          // requests during which the replica's incarnation ended
	Latencies   [Buckets]uint32 // by bucket: successful answers by the time to their first byte
}

// Add counts an answer.
func (t *Tally) Add(took time.Duration, failed bool) {
	if failed {
		t.Failed++
		return
	}
	t.Latencies[BucketOf(took)]++
}

// AddReplicaEnd counts a request during which its replica ended.
func (t *Tally) AddReplicaEnd() { t.ReplicaEnds++ }

// Answers returns the number of answers, failures included.
func (t *Tally) Answers() int { return int(t.Failed) + t.countFrom(0) }

// countFrom returns the number of successful answers in a bucket and those above.
func (t *Tally) countFrom(bucket int) int {
	n := 0
	for _, c := range t.Latencies[min(bucket, Buckets):] {
		n += int(c)
	}
	return n
}

// countBad returns the number of failures and of answers in bucket slow or above.
func (t *Tally) countBad(slow int) int { return int(t.Failed) + t.countFrom(slow) }

// medianBucket returns the bucket that holds the median response time.
func (t *Tally) medianBucket() int {
	half := (t.countFrom(0) + 1) / 2
	for b, n := range t.Latencies {
		if half -= int(n); half <= 0 {
			return b
		}
	}
	return 0
}

// mergeMax merges another snapshot of the same counters, taken earlier or later.
func (t *Tally) mergeMax(o *Tally) {
	t.Failed = max(t.Failed, o.Failed)
	t.ReplicaEnds = max(t.ReplicaEnds, o.ReplicaEnds)
	for b := range t.Latencies {
		t.Latencies[b] = max(t.Latencies[b], o.Latencies[b])
	}
}

// accumulate adds the counters of another instance incarnation.
func (t *Tally) accumulate(o *Tally) {
	t.Failed += o.Failed
	t.ReplicaEnds += o.ReplicaEnds
	for b := range t.Latencies {
		t.Latencies[b] += o.Latencies[b]
	}
}

// RowKey identifies a tally: a route and the replica of the new version that
// answered. An empty Replica stands for all replicas of other versions.
type RowKey struct{ Route, Replica string }

// Report holds what one incarnation of an instance has counted since an order.
type Report struct {
	Sequence       uint64        // increases with each report of the incarnation
	FullyShifted   bool          // the instance sends all requests to the new version
	Pinned         int           // requests at old replicas that can't be moved to another replica
	InFlight       int           // requests at old replicas
	LongestRequest time.Duration // longest request at an old replica that couldn't be moved to another replica
	Sent           int           // requests sent to the service, to either version
	Rows           map[RowKey]*Tally
}

// reportKey identifies one incarnation of an instance.
type reportKey struct {
	name        string
	incarnation uint64
}

// Reports holds the newest report of each instance incarnation on one order. All
// counters only increase, so reports may be lost, late, repeated or partial.
type Reports struct{ byIncarnation map[reportKey]Report }

// NewReports returns an empty set.
func NewReports() *Reports { return &Reports{byIncarnation: make(map[reportKey]Report)} }

// Merge adds a report of an instance incarnation, which may hold only some of its rows.
func (r *Reports) Merge(name string, incarnation uint64, rep Report) {
	k := reportKey{name, incarnation}
	old, known := r.byIncarnation[k]
	if !known {
		old = Report{Rows: make(map[RowKey]*Tally)}
	}
	rows := old.Rows
	for row, t := range rep.Rows {
		if rows[row] == nil {
			rows[row] = &Tally{}
		}
		rows[row].mergeMax(t)
	}
	if known && rep.Sequence < old.Sequence {
		return
	}
	rep.Rows = rows
	r.byIncarnation[k] = rep
}

// Latest returns the newest report of an instance incarnation.
func (r *Reports) Latest(name string, incarnation uint64) (Report, bool) {
	rep, ok := r.byIncarnation[reportKey{name, incarnation}]
	return rep, ok
}

// Sums returns the totals over all instance incarnations, and the longest request of
// any of them.
func (r *Reports) Sums() (rows map[RowKey]*Tally, sent int, longest time.Duration) {
	rows = make(map[RowKey]*Tally)
	for _, rep := range r.byIncarnation {
		sent += rep.Sent
		longest = max(longest, rep.LongestRequest)
		for k, t := range rep.Rows {
			if rows[k] == nil {
				rows[k] = &Tally{}
			}
			rows[k].accumulate(t)
		}
	}
	return rows, sent, longest
}
