package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// ending is a version of two replicas whose lives are over under requests, seen by
// a judge that looks every tick.
type endingVersion struct {
	judge *Judge
	rows  map[RowKey]*Tally
	now   time.Duration
}

func newEndingVersion() *endingVersion {
	e := &endingVersion{judge: NewJudge(), rows: map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*time.Millisecond)}}
	for n := range 2 {
		e.rows[at("a", n)] = tally(8, 0, 30*time.Millisecond)
	}
	e.passes(time.Second)
	return e
}

func (e *endingVersion) passes(d time.Duration) Judgement {
	for end := e.now + d; e.now < end; {
		e.now += tick
		e.judge.Observe(e.now, e.rows, false)
	}
	return e.judge.Latest()
}

// end has the lives of replicas be over under so many requests each; -1 is an old one.
func (e *endingVersion) end(requests int, replicas ...int) {
	for _, n := range replicas {
		k := RowKey{Route: "a"}
		if n >= 0 {
			k = at("a", n)
		}
		for range requests {
			e.rows[k].AddReplicaEnd()
		}
	}
}

// answers has the version's replicas answer well.
func (e *endingVersion) answers(each int) {
	for n := range 2 {
		for range each {
			e.rows[at("a", n)].Add(30*time.Millisecond, false)
		}
	}
}

// Replicas that start again (a machine's restart, a hall's loss of power, a loop of
// crashes on each request): what cuts off many requests at once is one bad answer,
// what ends the replicas whenever they are used is a bad version.
func TestEndsOfReplicasUnderRequests(t *testing.T) {
	cases := map[string]struct {
		play func(e *endingVersion)
		want Verdict
	}{
		"none": {func(*endingVersion) {}, Good},
		"all at once, under many requests": {func(e *endingVersion) {
			e.end(50, 0, 1)
		}, Good},
		"told in parts": {func(e *endingVersion) {
			for range 4 {
				e.end(2, 0, 1)
				e.passes(tick)
			}
		}, Good},
		"two machines one after the other, answers between": {func(e *endingVersion) {
			for n := range 2 {
				e.end(5, n)
				e.passes(calmFor)
				e.answers(10)
			}
		}, Good},
		"again whenever they are used": {func(e *endingVersion) {
			for range 3 {
				e.end(1, 0, 1)
				e.passes(calmFor)
			}
		}, Harmful},
		"each whenever it is used": {func(e *endingVersion) {
			for n := range 4 {
				e.end(1, n%2)
				e.passes(calmFor)
			}
		}, Harmful},
		"one ill replica of two that answer": {func(e *endingVersion) {
			for range 4 {
				e.end(1, 0)
				e.passes(calmFor)
			}
		}, Good},
		"rarely, over a long time": {func(e *endingVersion) {
			for range 12 {
				e.end(3, 0, 1)
				e.passes(5 * time.Second)
				e.answers(20)
			}
		}, Good},
		"with old replicas in each wave": {func(e *endingVersion) {
			for range 5 {
				e.end(1, 0, 1, -1)
				e.passes(calmFor)
			}
		}, Good},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newEndingVersion()
			c.play(e)
			got := e.passes(time.Second)
			t.Logf("%+v", got.Ends)
			is.New(t).Equal(got.Verdict.String(), c.want.String())
		})
	}
}

// A judge that is suspended between two reports of one wave has not seen a second.
func TestASuspendedJudgeSeesOneWave(t *testing.T) {
	e := newEndingVersion()
	for range 3 {
		e.end(1, 0, 1)
		e.passes(tick)
		e.now += 5 * time.Second
	}
	got := e.passes(time.Second)
	is.New(t).Equal(got.Ends.NewBad, 1)
	is.New(t).Equal(got.Verdict, Good)
}

// Whatever old replicas do, what ends of a new version is granted no more for it: a
// burst of ends there raised the share of bad answers that a version may give.
func TestEndsOfOldReplicasGrantNothing(t *testing.T) {
	is := is.New(t)
	e := newEndingVersion()
	e.end(200, -1)
	for range 8 {
		e.passes(tick)
		for n := range 2 {
			e.rows[at("a", n)].Add(0, true)
		}
	}
	is.Equal(e.passes(time.Second).Verdict, Harmful)
}

// After a restart of replicas that get requests their version gets none for a
// moment, from the last of them on; another service's and a trusted version's goes on.
func TestAVersionRestsAfterItsReplicasStartAgain(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(0, []Order{order("s", "v2", 5), order("t", "v2", 6)}, 7)
	share := func(service string, now time.Duration) float64 {
		s, _ := v.Current(service)
		return s.Share(now, 0.1)
	}
	v.SetPhase(1, 5, Canary)
	v.SetPhase(1, 6, Canary)
	v.RecordRestart(time.Second, "s", "v2")
	v.RecordRestart(time.Second+calmFor/2, "s", "v2")
	v.RecordRestart(time.Second, "t", "v1") // the old one
	is.Equal(share("s", time.Second+calmFor), 0.0)
	is.True(share("s", time.Second+3*calmFor/2) > 0)
	is.True(share("t", time.Second) > 0)
	v.SetPhase(2*time.Second, 5, Promoted)
	v.RecordRestart(2*time.Second, "s", "v2")
	is.True(share("s", 2*time.Second) > 0)
	is.Equal(v.Update(3 * time.Second).Orders[1].PausedUntil, time.Duration(0)) // its own clock, of use to nobody else
}
