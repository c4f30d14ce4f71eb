package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Record is what an owner observed of a service's engines, as it is told on.
// Of one origin the record with the highest count is the newest, so that late
// and repeated ones do no harm.
type Record struct {
	Origin  uint32 // names a cell in one life of its owner
	Service string
	Figures Figures
	Age     time.Duration // since it was observed
}

// Records are the newest records of all origins. It is not safe for concurrent use.
type Records struct {
	rows []*row
	turn int
}

type row struct {
	Record
	from time.Duration // when it was observed, by the own clock
	told int           // how often it was told on since it came
}

const (
	mostOrigins = 32              // of a service, the newest: a bound; each is an owner of some 30 replicas
	recordLife  = 5 * time.Minute // after which a record counts no more: nobody serves there any longer
	mostCount   = 500             // observations beyond which a record weighs no more
	noticeable  = 0.1             // share by which a time changes for it to be told
	rough       = 0.3             // the same of what is known but roughly
	tellTimes   = 6               // that a new record is told on: with four peers a round, to all but a few of 400
	tellTurn    = 16              // rounds between repeats, for those few
	mostTold    = 3               // records in one message, some 45 bytes each
	settleFor   = 2 * time.Second // between two records of one origin
	repeatFor   = time.Minute     // the same, where nothing noticeable changed
)

// Observed takes in what a cell of this instance observed, and reports whether
// it is told on: when it changed noticeably, and now and then.
func (r *Records) RecordLocal(now time.Duration, origin uint32, service string, f Figures) bool {
	if old := r.find(service, origin); old != nil {
		pause := repeatFor
		if f.Differs(&old.Figures) {
			pause = settleFor
		}
		if now-old.from < pause {
			return false
		}
	}
	return r.Merge(now, Record{Origin: origin, Service: service, Figures: f})
}

// Merge takes in a record and reports whether it is news.
func (r *Records) Merge(now time.Duration, n Record) bool {
	old := r.find(n.Service, n.Origin)
	if old != nil && old.Figures.Count >= n.Figures.Count || n.Age >= recordLife || !n.Figures.sound() {
		return false
	}
	if old == nil {
		old = &row{}
		r.rows = append(r.rows, old)
	}
	told := 0
	if !n.Figures.Differs(&old.Figures) {
		told = old.told // its turn comes
	}
	*old = row{Record: n, from: now - n.Age, told: told}
	r.forget(now)
	return true
}

// sound reports whether figures may be an engine's: what is told is not trusted.
func (f *Figures) sound() bool {
	lines := f.Usual.Base > 0 && f.Usual.PerToken >= 0 && f.Likely.Base > 0 && f.Likely.PerToken >= 0
	return lines && f.PerOut > 0 && f.Longest >= 0 && f.Count > 0
}

func (r *Records) find(service string, origin uint32) *row {
	for _, x := range r.rows {
		if x.Service == service && x.Origin == origin {
			return x
		}
	}
	return nil
}

// forget drops old records, and of each service those beyond the newest.
func (r *Records) forget(now time.Duration) {
	slices.SortStableFunc(r.rows, func(a, b *row) int { return cmp.Compare(b.from, a.from) })
	seen := make(map[string]int)
	r.rows = slices.DeleteFunc(r.rows, func(x *row) bool {
		seen[x.Service]++
		return now-x.from >= recordLife || seen[x.Service] > mostOrigins
	})
}

// Differs reports whether figures changed so much that others should know.
func (f *Figures) Differs(from *Figures) bool {
	return differ(f.Usual.Base, from.Usual.Base, noticeable) || differ(f.Usual.PerToken, from.Usual.PerToken, noticeable) ||
		differ(f.Likely.Base, from.Likely.Base, noticeable) || differ(f.Likely.PerToken, from.Likely.PerToken, noticeable) ||
		differ(f.PerOut, from.PerOut, rough) || differ(time.Duration(f.Longest), time.Duration(from.Longest), rough)
}

func differ(a, b time.Duration, share float64) bool {
	return math.Abs(float64(a-b)) > share*float64(max(a, b))
}

// Tell returns the records to send in a round: those that are new, and each of
// the others now and then.
func (r *Records) NextMessage(now time.Duration) []Record {
	r.turn++
	var out []Record
	for i, x := range r.rows {
		if now-x.from >= recordLife || x.told >= tellTimes && (r.turn+i)%tellTurn != 0 || len(out) == mostTold {
			continue
		}
		x.told++
		out = append(out, x.at(now))
	}
	return out
}

// All returns all records that count, the newest first, as many as a message holds.
func (r *Records) All(now time.Duration) []Record {
	var out []Record
	for _, x := range r.rows {
		if now-x.from < recordLife && len(out) < mostTold {
			out = append(out, x.at(now))
		}
	}
	return out
}

func (x *row) at(now time.Duration) Record {
	n := x.Record
	n.Age = now - x.from
	return n
}

// Known returns what peers know of a service together: of each figure the
// median by weight, so that one that is mistaken moves little. The count is the
// number of origins.
func (r *Records) Combined(now time.Duration, service string) (Figures, bool) {
	var rows []*row
	var weights []float64
	for _, x := range r.rows {
		if x.Service == service && now-x.from < recordLife {
			rows = append(rows, x)
			weights = append(weights, float64(min(x.Figures.Count, mostCount))*(1-float64(now-x.from)/float64(recordLife)))
		}
	}
	if len(rows) == 0 {
		return Figures{}, false
	}
	middle := func(of func(*Figures) time.Duration) time.Duration { return weightedMedian(rows, weights, of) }
	return Figures{
		Usual: Line{
			Base:     middle(func(f *Figures) time.Duration { return f.Usual.Base }),
			PerToken: middle(func(f *Figures) time.Duration { return f.Usual.PerToken }),
		},
		Likely: Line{
			Base:     middle(func(f *Figures) time.Duration { return f.Likely.Base }),
			PerToken: middle(func(f *Figures) time.Duration { return f.Likely.PerToken }),
		},
		PerOut:  middle(func(f *Figures) time.Duration { return f.PerOut }),
		Longest: int(middle(func(f *Figures) time.Duration { return time.Duration(f.Longest) })),
		Count:   len(rows),
	}, true
}

func weightedMedian(rows []*row, weights []float64, of func(*Figures) time.Duration) time.Duration {
	type item struct {
		value  time.Duration
		weight float64
	}
	items := make([]item, len(rows))
	half := 0.0
	for i, x := range rows {
		items[i] = item{of(&x.Figures), weights[i]}
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
