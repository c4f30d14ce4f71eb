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

func life(n int) Incarnation { return IncarnationOf(fmt.Sprint("r", n)) }

// crash is a replica's end under some requests.
func crash(b *Tracker, now time.Duration, n int, under ...Fingerprint) {
	for _, f := range under {
		b.RecordBroken(now, f, life(n))
	}
	b.RecordEnd(now, life(n))
}

func TestThreeEndsCondemn(t *testing.T) {
	is := is.New(t)
	b := New(DefaultOptions(), 0)
	for n, want := range []Verdict{Unsuspected, Suspect, Suspect, Quarantined} {
		is.Equal(b.Check(0, 7), want)
		crash(b, time.Duration(n)*time.Second, n, 7, 7)
		crash(b, time.Duration(n)*time.Second, n, 7) // the same end again counts once
	}
	is.Equal(b.Check(0, 8), Unsuspected)
}

func TestAnAnswerThatBreaksOffIsNoEnd(t *testing.T) {
	is := is.New(t)
	b := New(DefaultOptions(), 0)
	b.RecordBroken(0, 7, life(1))
	b.RecordConnection(life(1))
	b.RecordRemoval(time.Second, life(1)) // later, of something else
	is.Equal(b.Check(0, 7), Unsuspected)
	b.RecordBroken(0, 8, life(3))
	b.RecordConnection(life(3)) // it was back already
	b.RecordEnd(time.Second, life(3))
	is.Equal(b.Check(0, 8), Suspect)
	b.RecordBroken(0, 7, life(2))
	b.RecordEnd(6*time.Second, life(2)) // too late to have broken it off
	is.Equal(b.Check(0, 7), Unsuspected)
}

func TestAnEndIsTakenInBeforeTheBreak(t *testing.T) {
	is := is.New(t)
	b := New(DefaultOptions(), 0)
	b.RecordEnd(0, life(1))
	b.RecordBroken(time.Millisecond, 7, life(1))
	is.Equal(b.Check(0, 7), Suspect)
}

func TestAWholeAnswerAcquits(t *testing.T) {
	is := is.New(t)
	b := New(DefaultOptions(), 0)
	crash(b, 0, 1, 7)
	crash(b, 0, 2, 7)
	b.RecordSuccess(0, 7)
	is.Equal(b.Check(0, 7), Unsuspected)
	crash(b, time.Second, 3, 7) // many ask for it, and one of them was there
	is.Equal(b.Check(time.Second, 7), Unsuspected)
	late := DefaultOptions().SuccessTTL + 2*time.Second
	crash(b, late, 4, 7) // a new version of the replicas may crash on what the old one answered
	is.Equal(b.Check(late, 7), Suspect)
}

// Another instance's old word does not take an acquittal back.
func TestAnAcquittalIsNotTakenBackByAnOldWord(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultOptions(), 0), New(DefaultOptions(), 0)
	crash(a, 0, 1, 7)
	old, _ := a.Lookup(0, 7)
	b.Merge(0, old)
	b.RecordSuccess(0, 7)
	now, _ := b.Lookup(0, 7)
	a.Merge(0, now)
	is.Equal(a.Check(0, 7), Unsuspected)
	a.Merge(0, old)
	b.Merge(0, old)
	is.Equal(a.Check(0, 7), Unsuspected)
	is.Equal(b.Check(0, 7), Unsuspected)
}

// What two instances tell each other of an old case does not keep it for ever.
func TestTwoInstancesForgetTogether(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.QuarantineTTL = 2 * time.Minute
	a, b := New(o, 0), New(o, 0)
	crash(a, 0, 1, 7)
	for n := range 3 {
		crash(a, 0, n, 8)
	}
	for now := time.Duration(0); now < 10*time.Minute; now += 200 * time.Millisecond {
		tell(now, a, b)
		tell(now, b, a)
		a.Expire(now)
		if now%time.Second == 0 {
			b.Expire(now) // not at the same moment
		}
	}
	is.Equal(len(a.All(0))+len(b.All(0)), 0)
}

func tell(now time.Duration, from, to *Tracker) {
	for _, e := range from.Announce(now) {
		to.Merge(now, e)
	}
}

// A million different requests take no more room than the most cases, and what
// is condemned stays.
func TestAFloodOfCasesLeavesTheCondemned(t *testing.T) {
	is := is.New(t)
	o := DefaultOptions()
	o.MaxCases = 100
	b := New(o, 0)
	for n := range 3 {
		crash(b, 0, n, 1)
	}
	for n := range 10_000 {
		crash(b, time.Duration(n)*time.Millisecond, 10+n, Fingerprint(100+n))
	}
	is.True(len(b.All(0)) <= 100)
	is.Equal(b.Check(0, 1), Quarantined)
}

// An instance that has just started is told of a hundred condemned requests at
// once; one that was suspended hears of nearly all within three seconds,
// although half of the messages are lost.
func TestWhoWasAwayHearsOfAllThatIsCondemned(t *testing.T) {
	is := is.New(t)
	const condemned, peers = 100, 4
	var known []*Tracker
	for p := range peers {
		b := New(DefaultOptions(), 251*p)
		for f := range condemned {
			for n := range 3 {
				crash(b, 0, 3*f+n, Fingerprint(f))
			}
		}
		for range 200 {
			b.Announce(0) // all has been told often enough
		}
		known = append(known, b)
	}
	heard := func(b *Tracker) (count int) {
		for f := range condemned {
			if b.Check(time.Minute, Fingerprint(f)) == Quarantined {
				count++
			}
		}
		return count
	}
	started := New(DefaultOptions(), 0)
	for _, e := range known[0].Snapshot(time.Minute) {
		started.Merge(time.Minute, e)
	}
	is.Equal(heard(started), condemned)

	suspended, random := New(DefaultOptions(), 0), rand.New(rand.NewPCG(1, 2))
	for round := range 15 { // of heartbeats, five a second, four heard in each
		now := time.Minute + time.Duration(round)*200*time.Millisecond
		for _, b := range known {
			if entries := b.Announce(now); random.IntN(2) == 0 {
				for _, e := range entries {
					suspended.Merge(now, e)
				}
			}
		}
	}
	t.Logf("%d of %d", heard(suspended), condemned)
	is.True(heard(suspended) >= 80)
}

// What is condemned is told at once, however many ran beside it and are news too.
func TestWhatIsCondemnedIsToldFirst(t *testing.T) {
	is := is.New(t)
	b := New(DefaultOptions(), 0)
	beside := make([]Fingerprint, 0, 300)
	for f := range Fingerprint(300) {
		beside = append(beside, 100+f)
	}
	crash(b, 0, 1, append(beside, 7)...)
	b.Announce(0)
	crash(b, 0, 2, 7)
	crash(b, 0, 3, 7)
	is.Equal(b.Announce(0)[0].Fingerprint, Fingerprint(7))
	told := make(map[Fingerprint]bool)
	for range 20 {
		for _, e := range b.Announce(0) {
			told[e.Fingerprint] = true
		}
	}
	is.True(len(told) > 250) // each of the others once before any of them again
}

// Whatever instances see, and in whatever order they hear of it, they end with
// the same; only what ended under a request without an answer of its own since
// speaks against it.
func TestInstancesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const requests, instances = 4, 3
		o := DefaultOptions()
		o.SuccessTTL = 0 // so that an answer speaks for what has ended before it alone
		var books []*Tracker
		for range instances {
			books = append(books, New(o, 0))
		}
		for n := range rapid.IntRange(1, 12).Draw(t, "events") {
			now := time.Duration(n) * time.Second
			b := books[rapid.IntRange(0, instances-1).Draw(t, "at")]
			f := Fingerprint(rapid.IntRange(0, requests-1).Draw(t, "request"))
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				crash(b, now, rapid.IntRange(0, 6).Draw(t, "replica"), f)
			case 2:
				b.RecordSuccess(now, f)
			case 3:
				tell(now, b, books[rapid.IntRange(0, instances-1).Draw(t, "to")])
			}
		}
		end := 20 * time.Second
		for range 8 {
			for _, x := range rapid.Permutation(books).Draw(t, "order") {
				for _, y := range books {
					for _, e := range x.All(end) {
						y.Merge(end, e)
					}
				}
			}
		}
		for f := range Fingerprint(requests) {
			first, _ := books[0].Lookup(end, f)
			slices.Sort(first.Ended)
			for i, b := range books {
				e, _ := b.Lookup(end, f)
				slices.Sort(e.Ended)
				if !slices.Equal(e.Ended, first.Ended) {
					t.Fatalf("request %d: instance %d has %v, the first %v", f, i, e.Ended, first.Ended)
				}
			}
		}
	})
}
