package liveness

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"quinceroad/coordination/answerend"
	"quinceroad/state/catalog"
)

// asked is a question that a test answers.
type asked struct {
	incarnation string
	answer      chan answerend.Life
}

// newProber returns a prober at a clock that a test sets, and its questions.
func newProber() (*Prober, *time.Duration, chan asked) {
	now := new(time.Duration)
	questions := make(chan asked)
	p := New(Options{Now: func() time.Duration { return *now }, Ask: func(_ *catalog.Replica, incarnation string) answerend.Life {
		q := asked{incarnation: incarnation, answer: make(chan answerend.Life)}
		questions <- q
		return <-q.answer
	}})
	return p, now, questions
}

// Guards against MIXED: an answer that ended was vouched for by a probe that had asked before its
// end. Those that end meanwhile share the next one.
func TestProbeBegunBeforeAnEndDoesNotAnswerForIt(t *testing.T) {
	is := is.New(t)
	p, _, questions := newProber()
	r := &catalog.Replica{ID: "r"}
	early := p.After(r, "r")
	first := <-questions // it is being asked; the replica ends now
	next, shared := p.After(r, "r"), p.After(r, "r")
	is.True(next != early)
	is.Equal(next, shared)
	is.Equal(next.Life(), answerend.Unknown)
	first.answer <- answerend.Runs
	<-early.Done()
	is.Equal(early.Life(), answerend.Runs)
	second := <-questions
	later := p.After(r, "r") // the second has begun
	is.True(later != next)
	second.answer <- answerend.Ended
	<-next.Done()
	is.Equal(next.Life(), answerend.Ended)
	third := <-questions
	third.answer <- answerend.Ended
	<-later.Done()
}

// However many answers end at a time, two probes of a replica are made; those of another one don't
// wait for them.
func TestEndsAtATimeShareProbes(t *testing.T) {
	for _, ends := range []int{10, 1000} {
		is := is.New(t)
		p, _, questions := newProber()
		probes := make(map[*Probe]bool)
		for range ends {
			probes[p.After(&catalog.Replica{ID: "r"}, "r")] = true
		}
		is.Equal(len(probes), 2)
		other := p.After(&catalog.Replica{ID: "other"}, "other")
		for range 3 {
			q := <-questions
			q.answer <- answerend.Runs
		}
		<-other.Done()
		for probe := range probes {
			<-probe.Done()
		}
	}
}

// A probe of a moment ago answers for what breaks off, and is forgotten afterwards.
func TestRecentProbeIsShared(t *testing.T) {
	is := is.New(t)
	p, now, questions := newProber()
	r := &catalog.Replica{ID: "r"}
	first := p.Recent(r, "r")
	(<-questions).answer <- answerend.Ended
	<-first.Done()
	*now += recentFor - 1
	is.Equal(p.Recent(r, "r"), first)
	*now += 2
	p.Prune()
	is.Equal(len(p.begun), 0)
	again := p.Recent(r, "r")
	is.True(again != first)
	p.Prune() // one that runs is kept
	is.Equal(len(p.begun), 1)
	(<-questions).answer <- answerend.Runs
	<-again.Done()
}
