package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"quinceroad/state/catalog"
)

// Verdict is what the answers say.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Harmful
)

// String returns the verdict's name for logs.
func (v Verdict) String() string { return [...]string{"undecided", "good", "harmful"}[v] }

// Finding is what was seen of one route.
type Finding struct {
	Route               string
	New, NewBad         int
	Old, OldBad         int
	Against, Accepted   float64 // cumulative scores: harmful above harmThreshold, good below acceptThreshold
	GrantedRate, Median float64 // share of bad answers that a good version may give; response time of the old version in milliseconds
}

// Judgement is a verdict and what it rests on.
type Judgement struct {
	Verdict      Verdict
	Bad          int           // bad answers of the new version
	WatchedSince time.Duration `json:"From"` // start of the current period of observation without a gap
	Against      float64       // score over all routes together
	Reason       string        `json:"Why"`
	Routes       []Finding
	Ends         Finding // ends of replicas under requests, counted like answers
}

// Judge follows the sums of one order.
type Judge struct {
	last      map[RowKey]Tally
	routes    map[string]*route
	replicas  map[RowKey]*replica
	unweighed []answers
	ends      *ends
	moving    bool
	against   float64 // as of a route, of all together: where each sees little, what is bad everywhere shows sooner
	at        time.Duration
	from      time.Duration // since when it looks without a gap
	latest    Judgement
}

// answers are new ones of a replica on a route that are not weighed yet.
type answers struct {
	row      RowKey
	at       time.Duration
	all, bad int
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge {
	return &Judge{last: make(map[RowKey]Tally), routes: make(map[string]*route), replicas: make(map[RowKey]*replica), ends: newEnds()}
}

// Look takes in the sums as they are now. What spoke for the version while it got
// a small part counts no more from the moment that requests move to it: it is
// completed by what it does under the whole load.
func (j *Judge) Observe(now time.Duration, rows map[RowKey]*Tally, moving bool) Judgement {
	if moving && !j.moving {
		j.moving = true
		for _, r := range j.routes {
			r.Accepted = max(r.Accepted, 0)
		}
		for _, r := range j.replicas {
			r.accepted = max(r.accepted, 0)
		}
	}
	fade := math.Exp2(-float64(now-j.at) / float64(halfLife))
	if now-j.at > gap {
		j.from = now
	}
	j.ends.look(now-j.at, rows, j.last)
	j.at = now
	slow := make(map[string]int)
	for k, t := range rows {
		if k.Replica == "" {
			slow[k.Route] = j.old(k.Route, t, fade)
		}
	}
	for _, r := range j.routes {
		r.New, r.NewBad = 0, 0
	}
	for k, t := range rows {
		if k.Replica == "" {
			continue
		}
		limit, known := slow[k.Route]
		if !known {
			limit = Buckets
		}
		r := j.route(k.Route)
		r.New += t.Answers()
		r.NewBad += t.bad(limit)
		before := j.last[k]
		if n := t.Answers() - before.Answers(); n > 0 {
			j.replica(k).answers += n
			j.unweighed = append(j.unweighed, answers{row: k, at: now, all: n, bad: t.bad(limit) - before.bad(limit)})
		}
	}
	j.weigh(now)
	for k, t := range rows {
		j.last[k] = *t
	}
	j.latest = j.judge()
	return j.latest
}

// weigh takes in the answers that have settled.
func (j *Judge) weigh(now time.Duration) {
	settled := make(map[string]answers) // by route
	j.unweighed = slices.DeleteFunc(j.unweighed, func(a answers) bool {
		if now-a.at < settleFor {
			return false
		}
		r := j.route(a.row.Route)
		j.replica(a.row).weigh(r.step(a.all, a.bad), r.speaks())
		s := settled[a.row.Route]
		settled[a.row.Route] = answers{all: s.all + a.all, bad: s.bad + a.bad}
		return true
	})
	step := 0.0
	for _, name := range slices.Sorted(maps.Keys(settled)) {
		step += j.routes[name].weigh(settled[name].all, settled[name].bad)
	}
	j.against = max(j.against+step, 0)
}

// Latest returns the last judgement.
func (j *Judge) Latest() Judgement { return j.latest }

func (j *Judge) route(name string) *route {
	r := j.routes[name]
	if r == nil {
		r = &route{Finding: Finding{Route: name}}
		j.routes[name] = r
	}
	return r
}

// old takes in what the old version has answered on a route, and returns the
// bucket from which an answer is slow.
func (j *Judge) old(name string, t *Tally, fade float64) int {
	r := j.route(name)
	limit := Buckets
	if t.from(0) >= knownFrom {
		limit = t.median() + slowSteps
		r.Median = math.Exp2(float64(t.median()) / 2)
	}
	before := j.last[RowKey{Route: name}]
	r.oldSeen = r.oldSeen*fade + float64(t.Answers()-before.Answers())
	r.oldFailed = r.oldFailed*fade + float64(t.bad(limit)-before.bad(limit))
	r.Old, r.OldBad = t.Answers(), t.bad(limit)
	return limit
}

// replica returns what was seen of a replica on a route, in all its lives: one that
// is ill alone stays one.
func (j *Judge) replica(k RowKey) *replica {
	k.Replica = catalog.NameOf(k.Replica)
	r := j.replicas[k]
	if r == nil {
		r = &replica{}
		j.replicas[k] = r
	}
	return r
}

func (j *Judge) judge() Judgement {
	out := Judgement{WatchedSince: j.from, Against: j.against, Ends: j.ends.sums.Finding}
	total, old, oldBad := 0, 0, 0
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		f := j.routes[name].Finding
		if !j.spread(name) {
			f.Against, f.Accepted = j.ofOthers(name)
		}
		out.Routes = append(out.Routes, f)
		out.Bad += f.NewBad
		total += f.New
		old += f.Old
		oldBad += f.OldBad
	}
	widely := j.spread("")
	if !widely {
		out.Against = 0
	}
	oldRate := float64(oldBad) / float64(max(old, 1))
	worse := float64(out.Bad) > (2*oldRate+leastRate)*float64(total)
	switch {
	case worse && out.Bad >= mostBad && widely, worse && out.Bad >= alone:
		out.Verdict, out.Reason = Harmful, "bad answers"
		return out
	case j.against >= accuse && widely:
		out.Verdict, out.Reason = Harmful, "all routes together"
		return out
	case j.ends.harmful(j.answering()):
		out.Verdict, out.Reason = Harmful, out.Ends.Route
		return out
	}
	out.Verdict, out.Reason = Good, ""
	for _, f := range out.Routes {
		thin := float64(f.Old+f.New) < thinPart*float64(old+total)
		switch {
		case f.Against >= accuse:
			out.Verdict, out.Reason = Harmful, "route "+f.Route
			return out
		case f.Accepted <= acquit, thin && f.Against < doubt:
		default:
			out.Verdict, out.Reason = Undecided, "route "+f.Route
		}
	}
	if total == 0 {
		out.Verdict, out.Reason = Undecided, "no answers"
	}
	return out
}

// spread reports whether what speaks against a version on a route, or on all
// ("") taken together, comes from several of its replicas, where several have
// answered: one ill replica is left alone by those that judge replicas.
func (j *Judge) spread(route string) bool {
	speak, against := make(map[string]bool), make(map[string]bool)
	for k, r := range j.replicas {
		if route != "" && k.Route != route {
			continue
		}
		if r.answers >= seenFrom {
			speak[k.Replica] = true
		}
		if r.sick() {
			against[k.Replica] = true
		}
	}
	return len(speak) <= 1 || len(against) != 1
}

// answering returns how many of the version's replicas have answered often enough
// to speak for the others.
func (j *Judge) answering() int {
	answers := make(map[string]int)
	for k, r := range j.replicas {
		answers[k.Replica] += r.answers
	}
	n := 0
	for _, a := range answers {
		if a >= seenFrom {
			n++
		}
	}
	return n
}

// ofOthers returns the sums on a route of all replicas but the ill one.
func (j *Judge) ofOthers(route string) (against, accepted float64) {
	for k, r := range j.replicas {
		if k.Route == route && !r.sick() {
			against = max(against, r.against)
			accepted += r.accepted
		}
	}
	return against, accepted
}

// inDoubt reports whether something speaks against the version, although not
// enough for a verdict.
func (j *Judgement) inDoubt() bool { return max(j.Against, j.Worst().Against) >= doubt }

// Worst returns the route that most speaks against the version, or the ends of its
// replicas.
func (j *Judgement) Worst() Finding {
	return slices.MaxFunc(append(slices.Clone(j.Routes), j.Ends), func(a, b Finding) int { return cmp.Compare(a.Against, b.Against) })
}
