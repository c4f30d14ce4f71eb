package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func incarnation(n int) Incarnation { return IncarnationOf(fmt.Sprint("r", n)) }

// crash records the end of a replica while it ran some requests.
func crash(tr *Tracker, now time.Duration, n int, requests ...Fingerprint) {
	for _, f := range requests {
		tr.RecordBroken(now, f, incarnation(n))
	}
	tr.RecordEnd(now, incarnation(n))
}

func TestThreeEndsQuarantine(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	for n, want := range []Verdict{Unsuspected, Suspect, Suspect, Quarantined} {
		is.Equal(tr.Check(0, 7), want)
		crash(tr, time.Duration(n)*time.Second, n, 7, 7)
		crash(tr, time.Duration(n)*time.Second, n, 7) // the same end counts once
	}
	is.Equal(tr.Check(0, 8), Unsuspected)
}

func TestBrokenAnswerWithoutEnd(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	tr.RecordBroken(0, 7, incarnation(1))
	tr.RecordConnection(incarnation(1))
	tr.RecordRemoval(time.Second, incarnation(1)) // ended later, for another reason
	is.Equal(tr.Check(0, 7), Unsuspected)
	tr.RecordBroken(0, 8, incarnation(3))
	tr.RecordConnection(incarnation(3)) // it had restarted already
	tr.RecordEnd(time.Second, incarnation(3))
	is.Equal(tr.Check(0, 8), Suspect)
	tr.RecordBroken(0, 7, incarnation(2))
	tr.RecordEnd(6*time.Second, incarnation(2)) // too late to be the cause of the broken answer
	is.Equal(tr.Check(0, 7), Unsuspected)
}

func TestEndRecordedBeforeBrokenAnswer(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	tr.RecordEnd(0, incarnation(1))
	tr.RecordBroken(time.Millisecond, 7, incarnation(1))
	is.Equal(tr.Check(0, 7), Suspect)
}

func TestSuccessReleases(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	crash(tr, 0, 1, 7)
	crash(tr, 0, 2, 7)
	tr.RecordSuccess(0, 7)
	is.Equal(tr.Check(0, 7), Unsuspected)
	crash(tr, time.Second, 3, 7) // a frequent request that also ran there
	is.Equal(tr.Check(time.Second, 7), Unsuspected)
	late := DefaultOptions().SuccessTTL + 2*time.Second
	crash(tr, late, 4, 7) // a new version of the replicas may crash on a request that the old one answered
	is.Equal(tr.Check(late, 7), Suspect)
}

// An old entry of another instance must not undo a release.
func TestReleaseSurvivesOldUpdate(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultOptions(), 0), New(DefaultOptions(), 0)
	crash(a, 0, 1, 7)
	old, _ := a.Lookup(0, 7)
	b.Merge(0, old)
	b.RecordSuccess(0, 7)
	released, _ := b.Lookup(0, 7)
	a.Merge(0, released)
	is.Equal(a.Check(0, 7), Unsuspected)
	a.Merge(0, old)
	b.Merge(0, old)
	is.Equal(a.Check(0, 7), Unsuspected)
	is.Equal(b.Check(0, 7), Unsuspected)
}

// Two instances that send each other an old case must not keep it alive forever.
func TestTwoInstancesExpireCases(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.QuarantineTTL = 2 * time.Minute
	a, b := New(o, 0), New(o, 0)
	crash(a, 0, 1, 7)
	for n := range 3 {
		crash(a, 0, n, 8)
	}
	for now := time.Duration(0); now < 10*time.Minute; now += 200 * time.Millisecond {
		announce(now, a, b)
		announce(now, b, a)
		a.Expire(now)
		if now%time.Second == 0 {
			b.Expire(now) // at other times than a
		}
	}
	is.Equal(len(a.All(0))+len(b.All(0)), 0)
}

func announce(now time.Duration, from, to *Tracker) {
	for _, e := range from.Updates(now) {
		to.Merge(now, e)
	}
}

// However many different requests become suspect, at most MaxCases cases are kept, and
// quarantined ones are not evicted.
func TestFloodOfCasesKeepsQuarantined(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.MaxCases = 100
	tr := New(o, 0)
	for n := range 3 {
		crash(tr, 0, n, 1)
	}
	for n := range 10_000 {
		crash(tr, time.Duration(n)*time.Millisecond, 10+n, Fingerprint(100+n))
	}
	is.True(len(tr.All(0)) <= 100)
	is.Equal(tr.Check(0, 1), Quarantined)
}

// An instance that has just started learns of a hundred quarantined requests at once.
// One that was suspended learns of nearly all within three seconds, although half of
// the messages are lost.
func TestLateInstancesLearnQuarantined(t *testing.T) {
	is := is.New(t)
	const quarantined, peers = 100, 4
	var informed []*Tracker
	for p := range peers {
		tr := New(DefaultOptions(), 251*p)
		for f := range quarantined {
			for n := range 3 {
				crash(tr, 0, 3*f+n, Fingerprint(f))
			}
		}
		for range 200 {
			tr.Updates(0) // all cases have been announced often enough
		}
		informed = append(informed, tr)
	}
	countQuarantined := func(b *Tracker) (count int) {
		for f := range quarantined {
			if b.Check(time.Minute, Fingerprint(f)) == Quarantined {
				count++
			}
		}
		return count
	}
	started := New(DefaultOptions(), 0)
	for _, e := range informed[0].Snapshot(time.Minute) {
		started.Merge(time.Minute, e)
	}
	is.Equal(countQuarantined(started), quarantined)

	suspended, random := New(DefaultOptions(), 0), rand.New(rand.NewPCG(1, 2))
	for round := range 15 { // rounds of heartbeats, five a second, from four peers each
		now := time.Minute + time.Duration(round)*200*time.Millisecond
		for _, b := range informed {
			if entries := b.Updates(now); random.IntN(2) == 0 {
				for _, e := range entries {
					suspended.Merge(now, e)
				}
			}
		}
	}
	t.Logf("%d of %d", countQuarantined(suspended), quarantined)
	is.True(countQuarantined(suspended) >= 80)
}

// Quarantined requests are announced first, however many requests that ran
// concurrently have changed too.
func TestQuarantinedAreAnnouncedFirst(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions(), 0)
	concurrent := make([]Fingerprint, 0, 300)
	for f := range Fingerprint(300) {
		concurrent = append(concurrent, 100+f)
	}
	crash(tr, 0, 1, append(concurrent, 7)...)
	tr.Updates(0)
	crash(tr, 0, 2, 7)
	crash(tr, 0, 3, 7)
	is.Equal(tr.Updates(0)[0].Fingerprint, Fingerprint(7))
	announced := make(map[Fingerprint]bool)
	for range 20 {
		for _, e := range tr.Updates(0) {
			announced[e.Fingerprint] = true
		}
	}
	is.True(len(announced) > 250) // each of the others once before any is repeated
}

// Instances converge to the same cases whatever events they see and in whatever order
// they exchange them. A request is blamed only for replicas that ended after its last
// complete answer.
func TestInstancesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests, instances = 4, 3
		o := DefaultOptions()
		o.SuccessTTL = 0 // so that an answer clears only earlier ends
		var trackers []*Tracker
		for range instances {
			trackers = append(trackers, New(o, 0))
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "events") {
			now := time.Duration(n) * time.Second
			b := trackers[rapid.IntRange(0, instances-1).Draw(t, "at")]
			f := Fingerprint(rapid.IntRange(0, requests-1).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				crash(b, now, rapid.IntRange(0, 6).Draw(t, "replica"), f)
			case 2:
				b.RecordSuccess(now, f)
			case 3:
				announce(now, b, trackers[rapid.IntRange(0, instances-1).Draw(t, "to")])
			}
		}
		end := 20 * time.Second
		for range 8 {
			for _, x := range rapid.Permutation(trackers).Draw(t, "order") {
				for _, y := range trackers {
					for _, e := range x.All(end) {
						y.Merge(end, e)
					}
				}
			}
		}
		for f := range Fingerprint(requests) {
			first, _ := trackers[0].Lookup(end, f)
			slices.Sort(first.Ended)
			for i, b := range trackers {
				e, _ := b.Lookup(end, f)
				slices.Sort(e.Ended)
				if !slices.Equal(e.Ended, first.Ended) {
					t.Fatalf("request %d: instance %d has %v, the first %v", f, i, e.Ended, first.Ended)
				}
			}
		}
	})
}
