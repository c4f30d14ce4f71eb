package rollout

import (
	"math"
	"time"

	"quinceroad/state/catalog"
)

const (
	waveFor     = 500 * time.Millisecond // from a replica's end under a request, within which others are told too: two heartbeats
	mostBetween = 200 * time.Millisecond // between two looks, that counts: a judge that was suspended has not seen that all was quiet
	endsGood    = leastRate              // share of bad answers, a wave being one, that a version is granted
	endsHarm    = leastRate + leastHarm  // the same of a bad one
)

// ends judges a version by how often lives of its replicas are over under
// requests. What cuts off many at once, as a machine that restarts or a hall that
// loses power, is one wave and one bad answer, however many requests ran there;
// requests that end their replicas do so again whenever they are let in, in wave
// after wave. A wave that old replicas are in as well says nothing of the version.
type ends struct {
	sums     route
	watched  time.Duration // time between looks, each bounded
	wave     *wave
	oldAt    time.Duration // watched, when an old replica last ended under a request
	oldEnded bool
	names    map[string]bool // replicas in the waves that speak against the version
}

// wave is what ended of a version within waveFor.
type wave struct {
	at    time.Duration // watched, when it began
	names map[string]bool
}

func newEnds() *ends { return &ends{sums: route{Finding: Finding{Route: "ends of replicas"}}} }

// look takes in the rows as they are now and as they were.
func (e *ends) look(since time.Duration, rows map[RowKey]*Tally, last map[RowKey]Tally) {
	e.watched += min(since, mostBetween)
	good := 0
	for k, t := range rows {
		before := last[k]
		ended := t.ReplicaEnds > before.ReplicaEnds
		switch {
		case k.Replica != "":
			good += t.from(0) - before.from(0)
			if ended {
				e.join(catalog.NameOf(k.Replica))
			}
		case ended:
			e.oldAt, e.oldEnded = e.watched, true
		}
	}
	e.add(good, 0)
	if e.wave != nil && e.watched-e.wave.at >= waveFor {
		e.close()
	}
}

// join takes a replica's end into the wave that goes on, or begins one.
func (e *ends) join(name string) {
	if e.wave == nil {
		e.wave = &wave{at: e.watched, names: make(map[string]bool)}
	}
	e.wave.names[name] = true
}

// close weighs the wave.
func (e *ends) close() {
	w := e.wave
	e.wave = nil
	if e.oldEnded && e.oldAt >= w.at-waveFor {
		return
	}
	if e.sums.Against == 0 {
		e.names = make(map[string]bool)
	}
	for name := range w.names {
		e.names[name] = true
	}
	e.add(0, 1)
}

func (e *ends) add(good, waves int) {
	step := float64(waves)*math.Log(endsHarm/endsGood) + float64(good)*math.Log((1-endsHarm)/(1-endsGood))
	e.sums.New += good + waves
	e.sums.NewBad += waves
	e.sums.Against = max(e.sums.Against+step, 0)
	e.sums.GrantedRate = endsGood
}

// harmful reports whether the version's replicas end under requests too often, and
// not one of several alone.
func (e *ends) harmful(answering int) bool {
	return e.sums.Against >= accuse && (len(e.names) > 1 || answering <= 1)
}
