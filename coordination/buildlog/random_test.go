package buildlog

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// playRandom plays a schedule of random steps.
func playRandom(seed uint64, off mechanism, instances, steps int) *world {
	rng := rand.New(rand.NewPCG(seed, 2))
	older := 0
	if rng.IntN(4) == 0 {
		older = rng.IntN(instances) // at least one is not
	}
	w := newWorld(rng, off, instances, older)
	w.advance(time.Minute)
	for range steps {
		w.step()
	}
	w.score.schedules++
	return w
}

func (w *world) step() {
	switch n := w.rng.IntN(100); {
	case n < 1:
		w.calm()
	case n < 6:
		w.storm()
	case n < 30:
		w.begin(w.pick(), w.pickRoute())
	case n < 55:
		w.takeUpOne()
	case n < 63:
		w.pass(time.Duration(1+w.rng.IntN(20)) * time.Second)
	case n < 70:
		w.advance(time.Duration(1+w.rng.IntN(8)) * time.Minute)
	case n < 71:
		w.advance(time.Duration(10+w.rng.IntN(80)) * time.Minute)
	case n < 78:
		w.pick().sync()
	case n < 82:
		w.pick().duty(w.chance(2))
	case n < 87:
		w.change()
	default:
		w.fault()
	}
}

// calm lets the logs come down to one build.
func (w *world) calm() {
	w.mend()
	w.release(llm, fmt.Sprint("v", 1+w.rng.IntN(4)), true)
	w.advance(2*SettleTime + time.Duration(5+w.rng.IntN(10))*time.Minute)
}

// storm has streams begin at an instance that may be ahead of the others, or behind, and taken
// up at one that has seen little.
func (w *world) storm() {
	x := w.pick()
	w.change()
	if w.chance(2) {
		x.sync()
	}
	for range 3 {
		w.begin(x, w.pickRoute())
	}
	for range w.rng.IntN(3) {
		w.change()
		w.fault()
	}
	if w.chance(2) {
		w.killAll()
	}
	y := w.pick()
	if !y.hasList || w.chance(2) {
		y.sync()
	}
	w.takeUpAll(y)
}

func (w *world) pickRoute() Route {
	if w.chance(4) {
		return routeB
	}
	return routeA
}

func (w *world) takeUpOne() {
	if len(w.streams) == 0 {
		return
	}
	s := w.streams[w.rng.IntN(len(w.streams))]
	in := w.pick()
	if w.chance(5) { // within an answer
		in = s.at
	}
	if in.isDead {
		return
	}
	if !in.hasList {
		in.sync()
	}
	w.takeUp(s, in)
}

// change is one of the operator's, or of the replicas.
func (w *world) change() {
	switch w.rng.IntN(6) {
	case 0, 1, 2:
		w.release(w.pickService(), fmt.Sprint("v", 1+w.rng.IntN(4)), w.chance(2))
	case 3:
		w.unlist(w.replicas[w.rng.IntN(len(w.replicas))])
		w.addReplica(w.pickService(), "v1")
	case 4:
		w.replicas[w.rng.IntN(len(w.replicas))].endsAt = w.now // crashes
		w.addReplica(w.pickService(), fmt.Sprint("v", 1+w.rng.IntN(2)))
	case 5:
		w.routes[routeA] = w.pickService()
	}
}

func (w *world) pickService() string {
	if w.chance(3) {
		return other
	}
	return llm
}

func (w *world) fault() {
	in := w.pick()
	switch w.rng.IntN(14) {
	case 0:
		w.killSome()
	case 1:
		w.killAll()
	case 2, 3:
		in.cutStore = !in.cutStore
	case 4:
		in.cutIn, in.cutOut = w.chance(2), w.chance(2)
	case 5:
		in.standStill(w.rng.IntN(2) == 0, time.Duration(w.rng.IntN(20*60))*time.Second)
	case 6:
		in.standStill(true, time.Duration(w.rng.IntN(120))*time.Minute)
	case 7:
		w.store.isDown = !w.store.isDown
	case 8:
		w.store.takeCopy()
	case 9:
		w.store.rewind(w.rng.IntN(len(w.store.copies)))
	case 10:
		in.isSlow, in.losesAnswers, in.delaysWrites, in.oldList = w.chance(2), w.chance(2), w.chance(2), w.chance(3)
	case 11:
		w.cutHall()
	case 12, 13:
		w.mend()
	}
}

// standStill stops an instance, and with it its clock or not.
func (in *instance) standStill(clockRuns bool, d time.Duration) {
	if !in.acts() {
		return
	}
	in.standsUntil = in.w.now + d
	if !clockRuns {
		in.stoppedClock += d
	}
}

func (w *world) killSome() {
	for range w.rng.IntN(len(w.instances)) {
		w.kill(w.pick())
	}
}

// cutHall cuts replicas and instances from the store; their entries go, and they serve on.
func (w *world) cutHall() {
	for _, r := range w.replicas {
		r.isCut = w.chance(2)
	}
	for _, in := range w.instances {
		if w.chance(3) {
			in.cutStore, in.cutIn, in.cutOut = true, w.chance(2), w.chance(2)
		}
	}
}

func (w *world) mend() {
	w.store.isDown = false
	for _, r := range w.replicas {
		r.isCut = false
	}
	for _, in := range w.instances {
		in.cutStore, in.cutIn, in.cutOut = false, false, false
		in.isSlow, in.losesAnswers, in.delaysWrites, in.oldList = false, false, false, false
	}
	for range 2 {
		w.addReplica(w.pickService(), "v1")
	}
}
