package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"quinceroad/state/catalog"
)

// Verdict is the result of judging a version by its answers.
type Verdict int

// The verdicts.
const (
	Undecided Verdict = iota
	Good
	Harmful
)

// String returns the verdict's name for logs.
func (v Verdict) String() string { return [...]string{"undecided", "good", "harmful"}[v] }

// Finding holds the counts and scores of one route.
type Finding struct {
	Route               string
	New, NewBad         int
	Old, OldBad         int
	Against, Accepted   float64 // cumulative scores: harmful above harmThreshold, good below acceptThreshold
	GrantedRate, Median float64 // share of bad answers that a good version may give; response time of the old version in milliseconds
}

// Judgement is a verdict with the evidence for it.
type Judgement struct {
	Verdict      Verdict
	Bad          int           // bad answers of the new version
	WatchedSince time.Duration `json:"From"` // start of the current period of observation without a gap
	Against      float64       // score over all routes together
	Reason       string        `json:"Why"`
	Routes       []Finding
	Ends         Finding // ends of replicas during requests, counted like answers
}

// Judge compares the new version with the old one for the duration of an order.
type Judge struct {
	last         map[RowKey]Tally
	routes       map[string]*routeScore
	replicas     map[RowKey]*replicaScore
	pending      []pendingAnswers
	endMonitor   *endMonitor
	shifting     bool    // requests shift to the version: the canary phase is over
	harmScore    float64 // score over all routes together: finds a version that is bad everywhere sooner where each route has little traffic
	observedAt   time.Duration
	watchedSince time.Duration // start of the current period of observation without a gap
	latest       Judgement
}

// pendingAnswers are answers of a replica on a route that are not scored yet.
type pendingAnswers struct {
	key      RowKey
	seenAt   time.Duration
	all, bad int
}

// NewJudge returns a judge without observations.
func NewJudge() *Judge {
	return &Judge{last: make(map[RowKey]Tally), routes: make(map[string]*routeScore), replicas: make(map[RowKey]*replicaScore), endMonitor: newEndMonitor()}
}

// Observe compares the current totals with the previous ones and returns the new
// judgement. Once requests shift to the version, good answers from the canary phase
// no longer count: it is completed only by its answers under the full load.
func (j *Judge) Observe(now time.Duration, rows map[RowKey]*Tally, shifting bool) Judgement {
	if shifting && !j.shifting {
		j.shifting = true
		for _, r := range j.routes {
			r.Accepted = max(r.Accepted, 0)
		}
		for _, r := range j.replicas {
			r.acceptScore = max(r.acceptScore, 0)
		}
	}
	decay := math.Exp2(-float64(now-j.observedAt) / float64(baselineHalfLife))
	if now-j.observedAt > maxObservationGap {
		j.watchedSince = now
	}
	j.endMonitor.observe(now-j.observedAt, rows, j.last)
	j.observedAt = now
	slow := make(map[string]int)
	for k, t := range rows {
		if k.Replica == "" {
			slow[k.Route] = j.updateBaseline(k.Route, t, decay)
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
		r := j.routeFor(k.Route)
		r.New += t.Answers()
		r.NewBad += t.countBad(limit)
		before := j.last[k]
		if n := t.Answers() - before.Answers(); n > 0 {
			j.replicaFor(k).answers += n
			j.pending = append(j.pending, pendingAnswers{key: k, seenAt: now, all: n, bad: t.countBad(limit) - before.countBad(limit)})
		}
	}
	j.scoreSettled(now)
	for k, t := range rows {
		j.last[k] = *t
	}
	j.latest = j.evaluate()
	return j.latest
}

// scoreSettled scores the answers that are at least settleTime old.
func (j *Judge) scoreSettled(now time.Duration) {
	settled := make(map[string]pendingAnswers) // by route
	j.pending = slices.DeleteFunc(j.pending, func(a pendingAnswers) bool {
		if now-a.seenAt < settleTime {
			return false
		}
		r := j.routeFor(a.key.Route)
		j.replicaFor(a.key).addScore(r.logLikelihoodRatio(a.all, a.bad), r.countsForAcceptance())
		s := settled[a.key.Route]
		settled[a.key.Route] = pendingAnswers{all: s.all + a.all, bad: s.bad + a.bad}
		return true
	})
	step := 0.0
	for _, name := range slices.Sorted(maps.Keys(settled)) {
		step += j.routes[name].addAnswers(settled[name].all, settled[name].bad)
	}
	j.harmScore = max(j.harmScore+step, 0)
}

// Latest returns the last judgement.
func (j *Judge) Latest() Judgement { return j.latest }

func (j *Judge) routeFor(name string) *routeScore {
	r := j.routes[name]
	if r == nil {
		r = &routeScore{Finding: Finding{Route: name}}
		j.routes[name] = r
	}
	return r
}

// updateBaseline records the old version's answers on a route and returns the
// latency bucket from which an answer counts as slow.
func (j *Judge) updateBaseline(name string, t *Tally, decay float64) int {
	r := j.routeFor(name)
	limit := Buckets
	if t.countFrom(0) >= minMedianAnswers {
		limit = t.medianBucket() + slowBuckets
		r.Median = math.Exp2(float64(t.medianBucket()) / 2)
	}
	before := j.last[RowKey{Route: name}]
	r.decayedOldAnswers = r.decayedOldAnswers*decay + float64(t.Answers()-before.Answers())
	r.decayedOldBad = r.decayedOldBad*decay + float64(t.countBad(limit)-before.countBad(limit))
	r.Old, r.OldBad = t.Answers(), t.countBad(limit)
	return limit
}

// replicaFor returns the score of a replica on a route over all its incarnations, so
// that a single faulty replica counts as one however often it restarts.
func (j *Judge) replicaFor(k RowKey) *replicaScore {
	k.Replica = catalog.ReplicaName(k.Replica)
	r := j.replicas[k]
	if r == nil {
		r = &replicaScore{}
		j.replicas[k] = r
	}
	return r
}

// evaluate derives a judgement from the current scores.
func (j *Judge) evaluate() Judgement {
	out := Judgement{WatchedSince: j.watchedSince, Against: j.harmScore, Ends: j.endMonitor.score.Finding}
	total, old, oldBad := 0, 0, 0
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		f := j.routes[name].Finding
		if !j.isWidespread(name) {
			f.Against, f.Accepted = j.scoresOfHealthy(name)
		}
		out.Routes = append(out.Routes, f)
		out.Bad += f.NewBad
		total += f.New
		old += f.Old
		oldBad += f.OldBad
	}
	widespread := j.isWidespread("")
	if !widespread {
		out.Against = 0
	}
	oldRate := float64(oldBad) / float64(max(old, 1))
	worse := float64(out.Bad) > (2*oldRate+minAllowedRate)*float64(total)
	switch {
	case worse && out.Bad >= maxBadAnswers && widespread, worse && out.Bad >= maxBadOfOneReplica:
		out.Verdict, out.Reason = Harmful, "bad answers"
		return out
	case j.harmScore >= harmThreshold && widespread:
		out.Verdict, out.Reason = Harmful, "all routes together"
		return out
	case j.endMonitor.isHarmful(j.countAnswering()):
		out.Verdict, out.Reason = Harmful, out.Ends.Route
		return out
	}
	out.Verdict, out.Reason = Good, ""
	for _, f := range out.Routes {
		minor := float64(f.Old+f.New) < minorRouteShare*float64(old+total)
		switch {
		case f.Against >= harmThreshold:
			out.Verdict, out.Reason = Harmful, "route "+f.Route
			return out
		case f.Accepted <= acceptThreshold, minor && f.Against < doubtThreshold:
		default:
			out.Verdict, out.Reason = Undecided, "route "+f.Route
		}
	}
	if total == 0 {
		out.Verdict, out.Reason = Undecided, "no answers"
	}
	return out
}

// isWidespread reports whether the evidence against a version on a route, or on all
// routes (""), comes from more than one replica if more than one has answered. A
// single faulty replica is ejected by outlier detection (package health) instead.
func (j *Judge) isWidespread(route string) bool {
	answering, against := make(map[string]bool), make(map[string]bool)
	for k, r := range j.replicas {
		if route != "" && k.Route != route {
			continue
		}
		if r.answers >= minReplicaAnswers {
			answering[k.Replica] = true
		}
		if r.isFaulty() {
			against[k.Replica] = true
		}
	}
	return len(answering) <= 1 || len(against) != 1
}

// countAnswering returns how many of the version's replicas have at least
// minReplicaAnswers answers.
func (j *Judge) countAnswering() int {
	answers := make(map[string]int)
	for k, r := range j.replicas {
		answers[k.Replica] += r.answers
	}
	n := 0
	for _, a := range answers {
		if a >= minReplicaAnswers {
			n++
		}
	}
	return n
}

// scoresOfHealthy returns the scores on a route without its faulty replicas.
func (j *Judge) scoresOfHealthy(route string) (against, accepted float64) {
	for k, r := range j.replicas {
		if k.Route == route && !r.isFaulty() {
			against = max(against, r.harmScore)
			accepted += r.acceptScore
		}
	}
	return against, accepted
}

// inDoubt reports whether there is evidence against the version, even if too little
// for a verdict.
func (j *Judgement) inDoubt() bool { return max(j.Against, j.Worst().Against) >= doubtThreshold }

// Worst returns the finding with the most evidence against the version: that of a
// route, or of the ends of its replicas.
func (j *Judgement) Worst() Finding {
	return slices.MaxFunc(append(slices.Clone(j.Routes), j.Ends), func(a, b Finding) int { return cmp.Compare(a.Against, b.Against) })
}
