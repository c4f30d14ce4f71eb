package buildlog

import (
	"math/rand/v2"
	"slices"
	"time"
)

// door is a schedule that leads up to one way in which a build may be mistaken.
type door struct {
	name  string
	older int // instances of an older landing among those at the start
	run   func(w *world)
}

var doors = []door{
	{"a new build begins before others know of it, and all are lost", 0, doorUnknownBuild},
	{"the taker's knowledge is old", 0, doorOldKnowledge},
	{"the store comes back from a copy", 0, doorCopy},
	{"the store comes back from a copy without logs", 0, doorEmptyCopy},
	{"the log begins after streams did", 1, doorCreatedLate},
	{"an older instance joins", 0, doorOlderJoins},
	{"a build returns", 0, doorReturn},
	{"a build returns while it leaves the log late", 0, doorLateSettle},
	{"a route moves", 0, doorRouteMoves},
	{"a route moves, and leaves the log while a list is old", 0, doorRouteLeaves},
	{"a build retires twice, and a stand-still hides that it was back", 0, doorGap},
	{"a revision comes twice", 1, doorSameRevision},
	{"two instances start at once", 0, doorTwoAtFirst},
}

func playDoor(d door, seed uint64, off mechanism, instances int) *world {
	w := newWorld(rand.New(rand.NewPCG(seed, 1)), off, instances, d.older)
	d.run(w)
	w.score.schedules++
	return w
}

// beginSome begins streams at an instance.
func (w *world) beginSome(in *instance, route Route) {
	for range 6 {
		w.begin(in, route)
	}
}

// loseAll kills all instances and has all streams taken up at one that has just started.
func (w *world) loseAll() {
	w.killAll()
	in := w.pick()
	in.sync()
	w.takeUpAll(in)
}

func (w *world) leave(service, build string) {
	for _, r := range w.replicas {
		if r.service == service && r.build == build {
			w.unlist(r)
		}
	}
}

func doorUnknownBuild(w *world) {
	w.advance(3 * time.Minute)
	w.addReplica(llm, "v2")
	x := w.instances[0]
	x.sync()
	w.beginSome(x, routeA)
	w.loseAll()
}

func doorOldKnowledge(w *world) {
	w.advance(3 * time.Minute)
	x, y := w.instances[0], w.instances[1]
	w.addReplica(llm, "v2")
	x.sync()
	w.beginSome(x, routeA)
	y.cutIn = true
	w.takeUpAll(y)
}

func doorCopy(w *world) {
	w.advance(3 * time.Minute)
	w.store.takeCopy()
	w.addReplica(llm, "v2")
	x := w.instances[0]
	x.sync()
	w.beginSome(x, routeA)
	w.store.rewind(len(w.store.copies) - 1)
	w.loseAll()
}

func doorEmptyCopy(w *world) {
	w.advance(3 * time.Minute)
	w.beginSome(w.instances[0], routeA)
	w.release(llm, "v2", true)
	w.store.rewind(0)
	w.killAll()
	y := w.pick()
	y.sync()
	y.ensure(llm)
	w.takeUpAll(y)
}

func doorCreatedLate(w *world) {
	x, y := w.instances[0], w.instances[1] // x is older
	v2 := w.addReplica(llm, "v2")
	x.sync()
	w.beginSome(x, routeA)
	w.unlist(v2)
	w.kill(x)
	y.duty(true)
	w.takeUpAll(y)
}

func doorOlderJoins(w *world) {
	w.advance(3 * time.Minute)
	x := w.start(true)
	y := w.instances[0]
	y.sync()
	w.addReplica(llm, "v2")
	x.sync()
	w.beginSome(x, routeA)
	w.takeUpAll(y)
}

func doorReturn(w *world) {
	w.advance(3 * time.Minute)
	w.release(llm, "v2", true)
	w.advance(3 * SettleTime)
	w.addReplica(llm, "v1")
	x := w.instances[0]
	x.sync()
	w.beginSome(x, routeA)
	w.loseAll()
}

// awaitDrop lets minutes pass until a late write drops a build or route.
func (w *world) awaitDrop(isDropped func(e *Entry) bool) bool {
	for range 3 * int(SettleTime/time.Minute) {
		w.advance(time.Minute)
		for _, l := range w.store.late {
			if l.service == llm && isDropped(&l.entry) {
				return true
			}
		}
	}
	return false
}

func doorLateSettle(w *world) {
	w.advance(3 * time.Minute)
	w.release(llm, "v2", true)
	for _, in := range w.instances {
		in.delaysWrites = true
	}
	if !w.awaitDrop(func(e *Entry) bool { return !slices.Contains(e.Builds, "v1") }) {
		return
	}
	for range 3 {
		w.addReplica(llm, "v1")
	}
	x := w.instances[1]
	x.delaysWrites = false
	x.sync()
	w.beginSome(x, routeA)
	w.pass(time.Minute)
	w.loseAll()
}

func doorRouteMoves(w *world) {
	w.advance(3 * time.Minute)
	w.beginSome(w.instances[0], routeA)
	w.routes[routeA] = other
	if w.chance(2) {
		w.instances[1].sync()
		w.instances[1].ensure(other)
		w.takeUpAll(w.instances[1])
	}
	w.killAll()
	y := w.pick()
	y.sync()
	y.ensure(other)
	w.takeUpAll(y)
}

func doorRouteLeaves(w *world) {
	w.advance(3 * time.Minute)
	w.routes[routeA] = other
	for _, in := range w.instances {
		in.delaysWrites = true
	}
	if !w.awaitDrop(func(e *Entry) bool { return !slices.Contains(e.Routes, routeA) }) {
		return
	}
	x := w.instances[1] // the route is back for it
	x.delaysWrites = false
	w.routes[routeA] = llm
	x.sync()
	w.beginSome(x, routeA)
	w.pass(time.Minute)
	w.routes[routeA] = other
	w.loseAll()
}

func doorGap(w *world) {
	y, z, x := w.instances[0], w.instances[1], w.instances[2]
	w.advance(3 * time.Minute)
	w.release(llm, "v2", true)
	w.advance(SettleTime + 5*time.Minute)
	y.standsUntil = w.now + 2*SettleTime
	w.advance(time.Hour)
	v1 := w.addReplica(llm, "v1")
	w.advance(2 * time.Minute)
	x.oldList, v1.isCut = true, true
	w.advance(SettleTime - time.Minute)
	x.cutStore, x.cutIn, x.cutOut = true, true, true
	w.advance(3 * time.Minute)
	y.standsUntil, z.standsUntil = 0, w.now+2*time.Minute
	y.duty(true)
	w.beginSome(x, routeA)
	w.loseAll()
}

func doorSameRevision(w *world) {
	w.kill(w.instances[0]) // the older one
	y, x := w.instances[0], w.instances[1]
	w.advance(SettleTime + time.Minute)
	v2 := w.addReplica(llm, "v2")
	x.sync()
	x.ensure(llm)
	x.cutStore, x.cutIn, x.cutOut, v2.isCut = true, true, true, true
	w.store.rewind(0)
	y.duty(true)
	y.duty(true)
	w.beginSome(x, routeA)
	w.takeUpAll(y)
}

func limitBlindSettler(w *world) {
	x, y := w.instances[0], w.instances[1] // x is older
	y.isBlind = true
	w.advance(SettleTime + 5*time.Minute)
	v2 := w.addReplica(llm, "v2")
	x.sync()
	w.beginSome(x, routeA)
	w.unlist(v2)
	w.takeUpAll(y)
}

func limitLongCut(w *world) {
	w.advance(3 * time.Minute)
	x := w.instances[0]
	x.isBeyondLimits = true
	for _, r := range w.replicas {
		r.isCut = r.service == llm
	}
	x.cutStore, x.cutIn, x.cutOut = true, true, true
	w.addReplica(llm, "v2")
	w.advance(3 * SettleTime)
	x.cutStore, x.cutIn, x.cutOut = false, false, false
	w.beginSome(x, routeA)
	w.loseAll()
}

// doorTwoAtFirst has two instances create logs from the same answer.
func doorTwoAtFirst(w *world) {
	x, y := w.instances[0], w.instances[1]
	x.sync()
	v2 := w.addReplica(llm, "v2")
	y.sync()
	sx, _ := x.read()
	sy, _ := y.read()
	for _, in := range []*instance{x, y} {
		s := sx
		if in == y {
			s = sy
		}
		if e, ok := s.Missing(llm, in.wanted(llm), in.mayBeFirst(s)); ok {
			if done, ok := in.write(llm, e); ok {
				in.observe(&Snapshot{Entries: map[string]Entry{llm: done}, Era: firstEra})
			}
		}
	}
	w.beginSome(x, routeA)
	w.beginSome(y, routeA)
	w.unlist(v2)
	w.loseAll()
}

// limits are the doors that stay open.
var limits = []door{
	{"an older instance joins late, and is gone", 0, limitOlderGone},
	{"one that sees no other instances settles the log while an older one lives", 1, limitBlindSettler},
	{"a hall is cut off for longer than a log takes to settle", 0, limitLongCut},
	{"a stream is taken up after SettleTime at a build that nobody lists", 0, limitOldStream},
}

func limitOlderGone(w *world) {
	w.advance(3 * time.Minute)
	x := w.start(true)
	v2 := w.addReplica(llm, "v2")
	x.sync()
	w.beginSome(x, routeA)
	w.unlist(v2)
	w.loseAll()
}

func limitOldStream(w *world) {
	w.advance(3 * time.Minute)
	w.beginSome(w.instances[0], routeA)
	streams := slices.Clone(w.streams)
	w.release(llm, "v2", true)
	w.advance(2*SettleTime + 15*time.Minute)
	w.streams = streams
	w.loseAll()
}
