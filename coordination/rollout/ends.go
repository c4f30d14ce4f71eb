package rollout

import (
	"math"
	"time"

	"quinceroad/state/catalog"
)

const (
	// Ends of replicas within this time count as one burst: their reports may arrive up
	// to two heartbeats apart.
	burstWindow = 500 * time.Millisecond
	// The longest time counted between two observations: a suspended judge can't tell
	// whether replicas ended meanwhile.
	maxObservedInterval = 200 * time.Millisecond
	allowedEndRate      = minAllowedRate           // tolerated bursts per answer, a burst counting as one bad answer
	harmfulEndRate      = minAllowedRate + minHarm // bursts per answer of a harmful version
)

// endMonitor judges a version by how often its replicas end while they serve
// requests. Ends close together, as after the restart of a machine or a power loss
// in a hall, form one burst and count as one bad answer, however many requests were
// running. Requests that crash their replicas cause a new burst each time the
// version gets traffic. A burst that includes old replicas doesn't count.
type endMonitor struct {
	score       routeScore
	watchedTime time.Duration // sum of the times between observations, each at most maxObservedInterval
	burst       *endBurst
	lastOldEnd  time.Duration // watchedTime when an old replica last ended during a request
	hasOldEnd   bool
	replicas    map[string]bool // replicas in the bursts counted against the version
}

// endBurst holds the replicas of a version that ended within burstWindow.
type endBurst struct {
	startedAt time.Duration // watchedTime at its first end
	replicas  map[string]bool
}

func newEndMonitor() *endMonitor {
	return &endMonitor{score: routeScore{Finding: Finding{Route: "ends of replicas"}}}
}

// observe compares the current rows with those of the previous observation.
func (e *endMonitor) observe(since time.Duration, rows map[RowKey]*Tally, last map[RowKey]Tally) {
	e.watchedTime += min(since, maxObservedInterval)
	good := 0
	for k, t := range rows {
		before := last[k]
		ended := t.ReplicaEnds > before.ReplicaEnds
		switch {
		case k.Replica != "":
			good += t.countFrom(0) - before.countFrom(0)
			if ended {
				e.addToBurst(catalog.ReplicaName(k.Replica))
			}
		case ended:
			e.lastOldEnd, e.hasOldEnd = e.watchedTime, true
		}
	}
	e.updateScore(good, 0)
	if e.burst != nil && e.watchedTime-e.burst.startedAt >= burstWindow {
		e.closeBurst()
	}
}

// addToBurst adds a replica's end to the open burst, or opens one.
func (e *endMonitor) addToBurst(name string) {
	if e.burst == nil {
		e.burst = &endBurst{startedAt: e.watchedTime, replicas: make(map[string]bool)}
	}
	e.burst.replicas[name] = true
}

// closeBurst ends the open burst. It counts against the version unless an old replica
// ended during it or up to burstWindow before it.
func (e *endMonitor) closeBurst() {
	burst := e.burst
	e.burst = nil
	if e.hasOldEnd && e.lastOldEnd >= burst.startedAt-burstWindow {
		return
	}
	if e.score.Against == 0 {
		e.replicas = make(map[string]bool)
	}
	for name := range burst.replicas {
		e.replicas[name] = true
	}
	e.updateScore(0, 1)
}

// updateScore adds answers and bursts to the cumulative score (see score.go).
func (e *endMonitor) updateScore(good, bursts int) {
	step := float64(bursts)*math.Log(harmfulEndRate/allowedEndRate) + float64(good)*math.Log((1-harmfulEndRate)/(1-allowedEndRate))
	e.score.New += good + bursts
	e.score.NewBad += bursts
	e.score.Against = max(e.score.Against+step, 0)
	e.score.GrantedRate = allowedEndRate
}

// isHarmful reports whether the version's replicas end during requests too often.
// If several replicas answer, ends of a single one don't count: that replica may be
// faulty by itself.
func (e *endMonitor) isHarmful(answering int) bool {
	return e.score.Against >= harmThreshold && (len(e.replicas) > 1 || answering <= 1)
}
