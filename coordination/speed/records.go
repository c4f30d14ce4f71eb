package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Record is an owner's estimate of a service's engines, as it is gossiped. Of
// the records of one origin the one with the highest count is the newest, so
// late and repeated records have no effect.
type Record struct {
	Origin   uint32 // identifies a cell in one incarnation of its owner
	Service  string
	Estimate Estimate
	Age      time.Duration // since the estimate was made
}

// Records holds the newest record of each origin. It is not safe for concurrent
// use.
type Records struct {
	entries []*entry
	round   int
}

type entry struct {
	Record
	observedAt time.Duration // when the estimate was made, by the local clock
	sends      int           // number of messages that carried it since it arrived
}

const (
	maxOriginsPerService    = 32              // upper bound; the newest are kept, each from an owner of about 30 replicas
	recordTTL               = 5 * time.Minute // an older record is of an owner that no longer serves
	maxCountWeight          = 500             // observations above which a record's weight grows no further
	significantChange       = 0.1             // relative change of a time that is worth announcing
	significantChangeCoarse = 0.3             // the same, for values that are only roughly known
	sendsPerRecord          = 6               // with four peers per round a new record reaches all but a few of 400 instances
	resendRounds            = 16              // a record is resent every so many rounds, for the instances that missed it
	maxRecordsPerMessage    = 3               // about 45 bytes each
	minUpdateInterval       = 2 * time.Second // between two records of one origin
	refreshInterval         = time.Minute     // the same, without a significant change
)

// RecordLocal stores the estimate of one of this instance's cells and reports
// whether it is announced: after a significant change, and otherwise once per
// refreshInterval.
func (r *Records) RecordLocal(now time.Duration, origin uint32, service string, e Estimate) bool {
	if old := r.find(service, origin); old != nil {
		pause := refreshInterval
		if e.Differs(&old.Estimate) {
			pause = minUpdateInterval
		}
		if now-old.observedAt < pause {
			return false
		}
	}
	return r.Merge(now, Record{Origin: origin, Service: service, Estimate: e})
}

// Merge stores a received record and reports whether it was new.
func (r *Records) Merge(now time.Duration, rec Record) bool {
	old := r.find(rec.Service, rec.Origin)
	if old != nil && old.Estimate.Count >= rec.Estimate.Count || rec.Age >= recordTTL || !rec.Estimate.isValid() {
		return false
	}
	if old == nil {
		old = &entry{}
		r.entries = append(r.entries, old)
	}
	sends := 0
	if !rec.Estimate.Differs(&old.Estimate) {
		sends = old.sends // no significant change: the resend schedule continues
	}
	*old = entry{Record: rec, observedAt: now - rec.Age, sends: sends}
	r.prune(now)
	return true
}

// isValid reports whether a received estimate is plausible: peers are not trusted
// to send valid values.
func (e *Estimate) isValid() bool {
	lines := e.Median.Base > 0 && e.Median.PerToken >= 0 && e.UpperBound.Base > 0 && e.UpperBound.PerToken >= 0
	return lines && e.PerOutputToken > 0 && e.LongestPrompt >= 0 && e.Count > 0
}

func (r *Records) find(service string, origin uint32) *entry {
	for _, x := range r.entries {
		if x.Service == service && x.Origin == origin {
			return x
		}
	}
	return nil
}

// prune removes expired records and, per service, all but the newest.
func (r *Records) prune(now time.Duration) {
	slices.SortStableFunc(r.entries, func(a, b *entry) int { return cmp.Compare(b.observedAt, a.observedAt) })
	seen := make(map[string]int)
	r.entries = slices.DeleteFunc(r.entries, func(x *entry) bool {
		seen[x.Service]++
		return now-x.observedAt >= recordTTL || seen[x.Service] > maxOriginsPerService
	})
}

// Differs reports whether the estimate changed enough to be announced.
func (e *Estimate) Differs(from *Estimate) bool {
	return differsBy(e.Median.Base, from.Median.Base, significantChange) || differsBy(e.Median.PerToken, from.Median.PerToken, significantChange) ||
		differsBy(e.UpperBound.Base, from.UpperBound.Base, significantChange) || differsBy(e.UpperBound.PerToken, from.UpperBound.PerToken, significantChange) ||
		differsBy(e.PerOutputToken, from.PerOutputToken, significantChangeCoarse) || differsBy(time.Duration(e.LongestPrompt), time.Duration(from.LongestPrompt), significantChangeCoarse)
}

func differsBy(a, b time.Duration, share float64) bool {
	return math.Abs(float64(a-b)) > share*float64(max(a, b))
}

// Updates returns the records to send in a gossip round: new ones, and each of
// the others once in resendRounds.
func (r *Records) Updates(now time.Duration) []Record {
	r.round++
	var out []Record
	for i, x := range r.entries {
		if now-x.observedAt >= recordTTL || x.sends >= sendsPerRecord && (r.round+i)%resendRounds != 0 || len(out) == maxRecordsPerMessage {
			continue
		}
		x.sends++
		out = append(out, x.at(now))
	}
	return out
}

// Snapshot returns the newest unexpired records, as many as fit a message, for
// an instance that has just started.
func (r *Records) Snapshot(now time.Duration) []Record {
	var out []Record
	for _, x := range r.entries {
		if now-x.observedAt < recordTTL && len(out) < maxRecordsPerMessage {
			out = append(out, x.at(now))
		}
	}
	return out
}

func (x *entry) at(now time.Duration) Record {
	rec := x.Record
	rec.Age = now - x.observedAt
	return rec
}

// Combined returns the combined estimate of all origins for a service: the
// weighted median of each value, so that one wrong peer has little influence.
// Its count is the number of origins.
func (r *Records) Combined(now time.Duration, service string) (Estimate, bool) {
	var rows []*entry
	var weights []float64
	for _, x := range r.entries {
		if x.Service == service && now-x.observedAt < recordTTL {
			rows = append(rows, x)
			weights = append(weights, float64(min(x.Estimate.Count, maxCountWeight))*(1-float64(now-x.observedAt)/float64(recordTTL)))
		}
	}
	if len(rows) == 0 {
		return Estimate{}, false
	}
	median := func(of func(*Estimate) time.Duration) time.Duration { return weightedMedian(rows, weights, of) }
	return Estimate{
		Median: Line{
			Base:     median(func(e *Estimate) time.Duration { return e.Median.Base }),
			PerToken: median(func(e *Estimate) time.Duration { return e.Median.PerToken }),
		},
		UpperBound: Line{
			Base:     median(func(e *Estimate) time.Duration { return e.UpperBound.Base }),
			PerToken: median(func(e *Estimate) time.Duration { return e.UpperBound.PerToken }),
		},
		PerOutputToken: median(func(e *Estimate) time.Duration { return e.PerOutputToken }),
		LongestPrompt:  int(median(func(e *Estimate) time.Duration { return time.Duration(e.LongestPrompt) })),
		Count:          len(rows),
	}, true
}

func weightedMedian(rows []*entry, weights []float64, of func(*Estimate) time.Duration) time.Duration {
	type item struct {
		value  time.Duration
		weight float64
	}
	items := make([]item, len(rows))
	half := 0.0
	for i, x := range rows {
		items[i] = item{of(&x.Estimate), weights[i]}
		half += weights[i] / 2
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.value, b.value) })
	for _, x := range items {
		half -= x.weight
		if half <= 0 {
			return x.value
		}
	}
	return items[len(items)-1].value
}
