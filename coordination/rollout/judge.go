package rollout

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Constants of the judgement. The test is Wald's sequential probability ratio
// test (A. Wald, Sequential Tests of Statistical Hypotheses, 1945) of the share
// of bad answers, route by route: that of the old version in the same seconds,
// against leastHarm more. As a version may turn bad later, what speaks against
// it is summed as by Page's cumulative sum (E. S. Page, Continuous Inspection
// Schemes, 1954), which forgets what spoke for it before.
const (
	falseAlarm = 0.001 // that a good version is taken for a bad one, in one run of the sum
	missed     = 0.05  // that a bad one is trusted
	leastRate  = 0.02  // of bad answers, that a good version is granted however good the old one is
	granted    = 1.5   // times the old version's rate
	leastHarm  = 0.25  // more bad answers than that make a bad version: "a part of them"; chosen, a smaller part takes longer
	mostRate   = 0.7   // the highest rate that a version is granted
	slowSteps  = 3     // buckets above the old version's median: 2.8 times as slow
	knownFrom  = 5     // answers of the old version, from which its median counts
	priorSeen  = 10.0  // answers at leastRate, that the old version is taken to have given before
	halfLife   = 4 * time.Second
	mostBad    = 25  // bad answers, of 50 that may be seen: heartbeats and the way of the word take part of the rest
	alone      = 40  // bad answers after which even those of one replica count
	thinPart   = 0.1 // of the service's requests, beneath which a route needs no verdict of its own
	doubt      = 2.0 // in a thin route's sum, above which the version isn't trusted
	seenFrom   = 5   // answers, from which a replica can speak for the others
	sickRate   = 0.1 // of its answers bad: a replica that speaks against the version
	twice      = 2   // bad answers, at least, of such a replica
)

// Bounds of the sum: beyond accuse the version is bad, below acquit it is good.
var (
	accuse = math.Log((1 - missed) / falseAlarm)
	acquit = math.Log(missed / (1 - falseAlarm))
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
	Against, Accepted   float64 // the sums: accuse and beyond is bad, acquit and below is good
	GrantedRate, Median float64 // of bad answers; of the old version's times, ms
}

// Judgement is a verdict and what it rests on.
type Judgement struct {
	Verdict Verdict
	Bad     int // answers of the new version
	Why     string
	Routes  []Finding
}

// Judge follows the sums of one order.
type Judge struct {
	last   map[Row]Tally
	routes map[string]*route
	at     time.Duration
	latest Judgement
}

type route struct {
	Finding
	against, accepted  float64
	oldSeen, oldFailed float64 // lately
}

// NewJudge returns a judge that has seen nothing.
func NewJudge() *Judge { return &Judge{last: make(map[Row]Tally), routes: make(map[string]*route)} }

// Look takes in the sums as they are now.
func (j *Judge) Look(now time.Duration, rows map[Row]*Tally) Judgement {
	fade := math.Exp2(-float64(now-j.at) / float64(halfLife))
	j.at = now
	slow := make(map[string]int)
	for k, t := range rows {
		if k.Replica == "" {
			slow[k.Route] = j.old(k.Route, t, fade)
		}
	}
	by := make(map[string][2]int) // answers and bad ones, by new replica
	for _, r := range j.routes {
		r.New, r.NewBad = 0, 0
	}
	fresh := make(map[string][2]int) // the same, by route, since the last look
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
		f, b := fresh[k.Route], by[k.Replica]
		fresh[k.Route] = [2]int{f[0] + t.Answers() - before.Answers(), f[1] + t.bad(limit) - before.bad(limit)}
		by[k.Replica] = [2]int{b[0] + t.Answers(), b[1] + t.bad(limit)}
	}
	for name, f := range fresh {
		j.routes[name].weigh(f[0], f[1])
	}
	for k, t := range rows {
		j.last[k] = *t
	}
	j.latest = j.judge(by)
	return j.latest
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
	before := j.last[Row{Route: name}]
	r.oldSeen = r.oldSeen*fade + float64(t.Answers()-before.Answers())
	r.oldFailed = r.oldFailed*fade + float64(t.bad(limit)-before.bad(limit))
	r.Old, r.OldBad = t.Answers(), t.bad(limit)
	return limit
}

// weigh takes in new answers of the new version.
func (r *route) weigh(answers, bad int) {
	good := (r.oldFailed + leastRate*priorSeen) / (r.oldSeen + priorSeen)
	good = min(max(granted*good, leastRate), mostRate)
	harm := min(good+leastHarm, (1+good)/2)
	step := float64(bad)*math.Log(harm/good) + float64(answers-bad)*math.Log((1-harm)/(1-good))
	r.against = max(r.against+step, 0)
	r.accepted = min(r.accepted+step, accuse)
	r.GrantedRate, r.Against, r.Accepted = good, r.against, r.accepted
}

func (j *Judge) judge(by map[string][2]int) Judgement {
	out := Judgement{}
	total, old, oldBad := 0, 0, 0
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		f := j.routes[name].Finding
		out.Routes = append(out.Routes, f)
		out.Bad += f.NewBad
		total += f.New
		old += f.Old
		oldBad += f.OldBad
	}
	oldRate := float64(oldBad) / float64(max(old, 1))
	worse := float64(out.Bad) > (2*oldRate+leastRate)*float64(total)
	widely := spread(by)
	switch {
	case worse && out.Bad >= mostBad && widely, worse && out.Bad >= alone:
		out.Verdict, out.Why = Harmful, "bad answers"
		return out
	}
	out.Verdict, out.Why = Good, ""
	for _, f := range out.Routes {
		thin := float64(f.Old+f.New) < thinPart*float64(old+total)
		switch {
		case f.Against >= accuse && widely:
			out.Verdict, out.Why = Harmful, "route "+f.Route
			return out
		case f.Accepted <= acquit, thin && f.Against < doubt:
		default:
			out.Verdict, out.Why = Undecided, "route "+f.Route
		}
	}
	if total == 0 {
		out.Verdict, out.Why = Undecided, "no answers"
	}
	return out
}

// spread reports whether what speaks against a version comes from several of its
// replicas, where several have answered: one ill replica is left alone by those
// that judge replicas.
func spread(by map[string][2]int) bool {
	speak, against := 0, 0
	for _, n := range by {
		if n[0] >= seenFrom {
			speak++
		}
		if n[1] >= twice && float64(n[1]) >= sickRate*float64(n[0]) {
			against++
		}
	}
	return speak <= 1 || against > 1
}

// Worst returns the route that most speaks against the version.
func (j *Judgement) Worst() Finding {
	if len(j.Routes) == 0 {
		return Finding{}
	}
	return slices.MaxFunc(j.Routes, func(a, b Finding) int { return cmp.Compare(a.Against, b.Against) })
}
