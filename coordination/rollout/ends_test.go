package rollout

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// restartingVersion is a version of two replicas that end during requests, observed
// by a judge at every tick.
type restartingVersion struct {
	judge *Judge
	rows  map[RowKey]*Tally
	now   time.Duration
}

func newRestartingVersion() *restartingVersion {
	e := &restartingVersion{judge: NewJudge(), rows: map[RowKey]*Tally{{Route: "a"}: tally(300, 0, 30*time.Millisecond)}}
	for n := range 2 {
		e.rows[replicaKey("a", n)] = tally(8, 0, 30*time.Millisecond)
	}
	e.advance(time.Second)
	return e
}

func (e *restartingVersion) advance(d time.Duration) Judgement {
	for end := e.now + d; e.now < end; {
		e.now += tick
		e.judge.Observe(e.now, e.rows, false)
	}
	return e.judge.Latest()
}

// endReplicas ends replicas during the given number of requests each; -1 is an old replica.
func (e *restartingVersion) endReplicas(requests int, replicas ...int) {
	for _, n := range replicas {
		k := RowKey{Route: "a"}
		if n >= 0 {
			k = replicaKey("a", n)
		}
		for range requests {
			e.rows[k].AddReplicaEnd()
		}
	}
}

// answerWell adds successful answers of each of the version's replicas.
func (e *restartingVersion) answerWell(each int) {
	for n := range 2 {
		for range each {
			e.rows[replicaKey("a", n)].Add(30*time.Millisecond, false)
		}
	}
}

// Replicas restart with their machine, by a power loss in their hall, or because
// requests crash them. An outage that interrupts many requests at once counts as one
// bad answer; a version whose replicas end whenever they get requests is harmful.
func TestEndsOfReplicasDuringRequests(t *testing.T) {
	cases := map[string]struct {
		run  func(e *restartingVersion)
		want Verdict
	}{
		"none": {func(*restartingVersion) {}, Good},
		"all at once, under many requests": {func(e *restartingVersion) {
			e.endReplicas(50, 0, 1)
		}, Good},
		"reported in parts": {func(e *restartingVersion) {
			for range 4 {
				e.endReplicas(2, 0, 1)
				e.advance(tick)
			}
		}, Good},
		"two machines one after the other, with answers in between": {func(e *restartingVersion) {
			for n := range 2 {
				e.endReplicas(5, n)
				e.advance(restartPause)
				e.answerWell(10)
			}
		}, Good},
		"all whenever they get requests": {func(e *restartingVersion) {
			for range 3 {
				e.endReplicas(1, 0, 1)
				e.advance(restartPause)
			}
		}, Harmful},
		"each whenever it gets requests": {func(e *restartingVersion) {
			for n := range 4 {
				e.endReplicas(1, n%2)
				e.advance(restartPause)
			}
		}, Harmful},
		"one faulty replica of two that answer": {func(e *restartingVersion) {
			for range 4 {
				e.endReplicas(1, 0)
				e.advance(restartPause)
			}
		}, Good},
		"rarely, over a long time": {func(e *restartingVersion) {
			for range 12 {
				e.endReplicas(3, 0, 1)
				e.advance(5 * time.Second)
				e.answerWell(20)
			}
		}, Good},
		"with old replicas in each burst": {func(e *restartingVersion) {
			for range 5 {
				e.endReplicas(1, 0, 1, -1)
				e.advance(restartPause)
			}
		}, Good},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := newRestartingVersion()
			c.run(e)
			got := e.advance(time.Second)
			t.Logf("%+v", got.Ends)
			is.New(t).Equal(got.Verdict.String(), c.want.String())
		})
	}
}

// Reports of one burst that arrive before and after the judge was suspended must not
// count as several bursts.
func TestSuspendedJudgeSeesOneBurst(t *testing.T) {
	e := newRestartingVersion()
	for range 3 {
		e.endReplicas(1, 0, 1)
		e.advance(tick)
		e.now += 5 * time.Second
	}
	got := e.advance(time.Second)
	is.New(t).Equal(got.Ends.NewBad, 1)
	is.New(t).Equal(got.Verdict, Good)
}

// Ends of old replicas must not raise the share of bad answers that the new version
// may give; a burst of them once did.
func TestEndsOfOldReplicasDoNotRaiseAllowedRate(t *testing.T) {
	is := is.New(t)
	e := newRestartingVersion()
	e.endReplicas(200, -1)
	for range 8 {
		e.advance(tick)
		for n := range 2 {
			e.rows[replicaKey("a", n)].Add(0, true)
		}
	}
	is.Equal(e.advance(time.Second).Verdict, Harmful)
}

// After the restart of replicas that get requests, their version gets none until
// restartPause has passed since the last restart. Other services and promoted
// versions are not affected.
func TestVersionPausesAfterReplicaRestart(t *testing.T) {
	is := is.New(t)
	v := NewView()
	v.Replace(0, []Order{order("s", "v2", 5), order("t", "v2", 6)}, pointAt(7))
	share := func(service string, now time.Duration) float64 {
		s, _ := v.Current(service)
		return s.Share(now, 0.1)
	}
	v.SetPhase(1, pointAt(5), Canary)
	v.SetPhase(1, pointAt(6), Canary)
	v.RecordRestart(time.Second, "s", "v2")
	v.RecordRestart(time.Second+restartPause/2, "s", "v2")
	v.RecordRestart(time.Second, "t", "v1") // of the old version
	is.Equal(share("s", time.Second+restartPause), 0.0)
	is.True(share("s", time.Second+3*restartPause/2) > 0)
	is.True(share("t", time.Second) > 0)
	v.SetPhase(2*time.Second, pointAt(5), Promoted)
	v.RecordRestart(2*time.Second, "s", "v2")
	is.True(share("s", 2*time.Second) > 0)
	is.Equal(v.Update(3 * time.Second).Orders[1].PausedUntil, time.Duration(0)) // local time, not sent to others
}
