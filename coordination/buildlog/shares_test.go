package buildlog

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// playDay has a release, then the loss of all, with the store up.
func playDay(seed uint64, off mechanism, instances int) *world {
	w := newWorld(rand.New(rand.NewPCG(seed, 3)), off, instances, 0)
	w.advance(2 * time.Minute)
	w.dutyOfMost()
	w.beginAnywhere(40)
	w.release(llm, "v2", w.chance(2))
	w.pass(time.Duration(w.rng.IntN(30)) * time.Second)
	w.dutyOfMost()
	w.beginAnywhere(60)
	if w.chance(3) {
		w.leave(llm, "v1")
	}
	w.pass(time.Duration(1+w.rng.IntN(10)) * time.Second)
	w.killAll()
	for _, in := range w.instances {
		in.sync()
	}
	for _, s := range w.streams {
		w.takeUp(s, w.pick())
	}
	w.beginAnywhere(60)
	w.score.schedules++
	return w
}

// dutyOfMost lets all but a few instances learn the newest.
func (w *world) dutyOfMost() {
	for _, in := range w.instances {
		if !in.hasList || !w.chance(20) {
			in.duty(false)
		}
	}
}

func (w *world) beginAnywhere(n int) {
	for range n {
		w.begin(w.pick(), routeA)
	}
}

func playDays(t *testing.T, off mechanism, instances int) score {
	var sum score
	for seed := range uint64(max(3, 60/instances) * factor(t)) {
		sum.add(&playDay(seed, off, instances).score)
	}
	t.Logf("%.2f of %d go on, %.2f of %d new ones begin; bound by the log %d, by the store's records %d; %d joined",
		sum.goesOn(), sum.soundTakeUps, sum.begins(), sum.began+sum.refused, sum.byLog, sum.byStore, sum.joined)
	return sum
}

// goesOn returns the share of the streams whose build is still served that go on.
func (s *score) goesOn() float64 { return float64(s.wentOn) / float64(s.soundTakeUps) }

// begins returns the share of new streams that begin.
func (s *score) begins() float64 { return float64(s.began) / float64(s.began+s.refused) }

func TestShareThatGoesOn(t *testing.T) {
	for _, instances := range []int{2, 6, 100, 985} {
		t.Run(strconv.Itoa(instances), func(t *testing.T) {
			is := is.New(t)
			sum := playDays(t, allOn, instances)
			is.Equal(sum.joined, 0)
			is.True(sum.goesOn() >= sum.begins()/2)
		})
	}
}

// Streams that began before the log had several builds are found by their records, too.
func TestEarlierRecordsRaiseTheShare(t *testing.T) {
	is := is.New(t)
	with, without := playDays(t, allOn, 2), playDays(t, persistEarlier, 2)
	is.True(float64(with.byStore)/float64(with.takeUps) > 1.2*float64(without.byStore)/float64(without.takeUps))
}

// growth counts what is done for streams and for a release.
type growth struct{ perStream, takeUps, release, herd score }

const grownStreams = 200

func measureGrowth(instances int) growth {
	var g growth
	w := newWorld(rand.New(rand.NewPCG(1, 4)), allOn, instances, 0)
	for _, in := range w.instances {
		in.duty(false)
	}
	g.perStream = w.count(func() { w.beginAnywhere(grownStreams) })
	w.killAll()
	for _, in := range w.instances {
		in.sync()
	}
	g.takeUps = w.count(func() { w.takeUpAll(w.pick()) })
	w.release(llm, "v2", true)
	g.release = w.count(func() {
		for _, in := range w.instances {
			in.duty(false)
		}
	})
	w.release(llm, "v3", true)
	g.herd = w.count(w.dutyAtOnce)
	return g
}

// dutyAtOnce lets all instances add to the logs on the strength of the same answer.
func (w *world) dutyAtOnce() {
	var answers []*Snapshot
	for _, in := range w.instances {
		in.sync()
		s, _ := in.read()
		answers = append(answers, s)
	}
	for i, in := range w.instances {
		in.add(answers[i], llm)
	}
}

func (w *world) count(what func()) score {
	w.score = score{}
	what()
	return w.score
}

func TestGrowth(t *testing.T) {
	is := is.New(t)
	small, large := measureGrowth(100), measureGrowth(2000)
	for _, g := range []growth{small, large} {
		t.Logf("a stream begins: %d reads, %d writes, %.2f messages, %.1f bytes between instances",
			g.perStream.reads, g.perStream.writes, float64(g.perStream.peer)/grownStreams, float64(g.perStream.peerBytes)/grownStreams)
		t.Logf("%d taken up, no records: %.2f reads, %.1f bytes, %d writes, %.2f messages a stream", g.takeUps.takeUps, float64(g.takeUps.reads)/grownStreams,
			float64(g.takeUps.readBytes)/grownStreams, g.takeUps.writes, float64(g.takeUps.peer)/grownStreams)
		t.Logf("a release, one instance after the other: %d reads, %d writes; all at once: %d reads, %d writes, %d of them refused",
			g.release.reads, g.release.writes, g.herd.reads, g.herd.writes, g.herd.refusedWrites)
		is.Equal([]int{g.perStream.reads, g.perStream.writes, g.perStream.peer}, []int{0, 0, 2 * grownStreams})
		is.Equal(g.takeUps.reads, g.takeUps.takeUps) // one each
		is.Equal(g.release.writes, 1)
	}
	is.True(large.takeUps.peer <= small.takeUps.peer+grownStreams)
	is.Equal(large.perStream.peerBytes, small.perStream.peerBytes)
}
