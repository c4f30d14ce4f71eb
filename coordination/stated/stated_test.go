package stated

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const second = time.Second

func all(string) bool { return true }

func none(string) bool { return false }

func may(b *Tracker, now time.Duration, life string) bool {
	ok, _ := b.CanSend(now, life)
	return ok
}

// Leaving holds for as long as the life is listed, however long it drains, and
// two minutes beyond; another life is not concerned.
func TestLeavingHoldsForItsLife(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	is.True(may(b, 0, "r@1"))
	is.True(b.RecordDrain(0, "r@1"))
	is.True(!b.RecordDrain(second, "r@1")) // said already
	for now := second; now < 3600*second; now += second {
		is.Equal(len(b.Sweep(now, all).Removed), 0)
		ok, from := b.CanSend(now, "r@1")
		is.True(!ok && from == Never)
	}
	is.True(may(b, 3600*second, "r@2"))
	is.Equal(len(b.Sweep(3599*second+b.opts.UnlistedRetention, none).Removed), 0) // it was listed last at 3,599 s
	is.Equal(b.Sweep(3600*second+b.opts.UnlistedRetention, none).Removed, []string{"r@1"})
	is.Equal(len(b.rows), 0)
}

// The longest of several rests holds, in whatever order their answers come.
func TestTheLongestRestHolds(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	is.True(b.RecordBackoff(0, "r", 3*second))
	is.True(!b.RecordBackoff(second, "r", second)) // shortened
	to, rests := b.BackoffUntil(second, "r")
	is.True(rests && to == 3*second)
	b.RecordBackoff(2*second, "r", 4*second) // extended
	is.True(!may(b, 6*second-1, "r"))
	is.True(may(b, 6*second, "r"))
	is.Equal(b.Sweep(6*second-1, all).BackoffEnded, nil)
	is.Equal(b.Sweep(6*second, all).BackoffEnded, []string{"r"})
	is.Equal(b.Sweep(7*second, all).BackoffEnded, nil) // said once
}

// After a rest one request goes, then one more at once after each answer, then all.
func TestAfterARestOneThenAFew(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	b.RecordBackoff(0, "r", second)
	_, ok := b.Begin(second-1, "r")
	is.True(!ok)
	first, ok := b.Begin(second, "r")
	is.True(ok)
	_, ok = b.Begin(second+1, "r")
	is.True(!ok)
	b.RecordAnswer(first)
	second2, ok := b.Begin(second+2, "r") // the first may go on, a stream
	is.True(ok)
	b.End(first)
	third, ok := b.Begin(second+3, "r")
	is.True(ok)
	_, ok = b.Begin(second+4, "r")
	is.True(!ok)
	for _, turn := range []Attempt{second2, third} {
		b.RecordAnswer(turn)
		b.End(turn)
	}
	last, ok := b.Begin(second+5, "r")
	is.True(ok)
	b.RecordAnswer(last) // the fourth
	b.End(last)
	for range 100 {
		_, ok := b.Begin(second+6, "r")
		is.True(ok)
	}
	b.Sweep(second+7, all)
	is.Equal(len(b.rows), 0)
}

// One that is not answered keeps the others away for a moment only.
func TestASlowAnswerKeepsNobodyAway(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	b.RecordBackoff(0, "r", second)
	_, ok := b.Begin(second, "r")
	is.True(ok)
	ok, from := b.CanSend(second+1, "r")
	is.True(!ok && from == second+1)
	_, ok = b.Begin(second+b.opts.RampInterval, "r")
	is.True(ok)
	_, ok = b.Begin(second+b.opts.RampInterval, "r")
	is.True(!ok)
}

// Another rest begins anew; what was sent before it says nothing of it.
func TestARestAfterARest(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	b.RecordBackoff(0, "r", second)
	old, _ := b.Begin(second, "r")
	b.RecordBackoff(second+1, "r", second)
	b.RecordAnswer(old)
	b.End(old)
	_, ok := b.Begin(2*second+1, "r")
	is.True(ok)
	_, ok = b.Begin(2*second+2, "r")
	is.True(!ok)
}

// Fresh news is told by each heartbeat, older news in turn, so that who starts
// later hears of all of it.
func TestNewsIsToldInTurn(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	for i := range 9 {
		b.RecordDrain(0, fmt.Sprint("old", i))
	}
	b.RecordDrain(10*second, "new")
	b.Sweep(10*second, all)
	heard := make(map[string]bool)
	for range 5 {
		news := b.Updates(10*second, 3*second, 16)
		is.Equal(len(news), 1+olderTold)
		is.Equal(news[0], "new")
		for _, life := range news {
			heard[life] = true
		}
	}
	is.Equal(len(heard), 10)
	is.Equal(len(b.Updates(10*second, 3*second, 1)), 1)
	is.Equal(len(b.Updates(10*second, 20*second, 4)), 4)
}

// Two instances that tell each other of a life don't remind each other of it for
// ever: once nobody lists it, both forget it.
func TestALifeThatIsGoneIsForgottenByAll(t *testing.T) {
	is := is.New(t)
	a, b := New(Standard()), New(Standard())
	a.RecordDrain(0, "r@1")
	forgotten := 0
	for now := time.Duration(0); now < 3600*second; now += 200 * time.Millisecond {
		listedBy := func(until time.Duration) func(string) bool { return func(string) bool { return now < until } }
		for _, pair := range [][2]*Tracker{{a, b}, {b, a}} {
			for _, life := range pair[0].Updates(now, 3*second, 16) {
				pair[1].RecordDrain(now, life)
			}
		}
		forgotten += len(a.Sweep(now, listedBy(60*second)).Removed) + len(b.Sweep(now, listedBy(100*second)).Removed) // a cut from the store
	}
	is.Equal(forgotten, 2) // each once
	is.True(a.Empty() && b.Empty())
}

// Who does not list a life hears of it from who does, for as long as that lasts:
// it starts while the store is away, say.
func TestALifeThatOthersListIsKept(t *testing.T) {
	is := is.New(t)
	a, b := New(Standard()), New(Standard())
	a.RecordDrain(0, "r@1")
	for now := 4 * second; now < 3600*second; now += second {
		a.Sweep(now, all)
		for _, life := range a.Updates(now, 3*second, 16) {
			b.RecordDrain(now, life)
		}
		b.Sweep(now, none)
		is.True(b.IsDraining("r@1"))
	}
}

// A peer that names lives which nobody lists does not fill the book.
func TestUnlistedLivesAreBounded(t *testing.T) {
	is := is.New(t)
	b := New(Options{RampAnswers: 4, RampInterval: second, UnlistedRetention: 100 * second, MaxUnlisted: 10})
	for i := range 50 {
		b.RecordDrain(time.Duration(i), fmt.Sprint("life", 100+i))
	}
	is.Equal(len(b.Sweep(second, none).Removed), 40)
	is.Equal(b.Draining()[0], "life140")
}

// Whatever is said and sent in whatever order: nothing is sent to a life that has
// left, nor in a rest, and after all rests everybody that has not left is used.
func TestAnyOrderKeepsStatements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Standard())
		lives := []string{"a", "b", "c"}
		left, restTo := make(map[string]bool), make(map[string]time.Duration)
		var turns []Attempt
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			life := rapid.SampledFrom(lives).Draw(t, "life")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				length := time.Duration(rapid.IntRange(1, 3000).Draw(t, "rest")) * time.Millisecond
				b.RecordBackoff(now, life, length)
				restTo[life] = max(restTo[life], now+length)
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "leaves") == 0 {
					b.RecordDrain(now, life)
					left[life] = true
				}
			case 2, 3:
				turn, ok := b.Begin(now, life)
				if ok && (left[life] || now < restTo[life]) {
					t.Fatalf("sent to %s at %v: left %t, rests to %v", life, now, left[life], restTo[life])
				}
				if ok {
					turns = append(turns, turn)
				}
			case 4:
				if len(turns) > 0 {
					b.RecordAnswer(turns[len(turns)-1])
				}
			case 5:
				if len(turns) > 0 {
					b.End(turns[0])
					turns = turns[1:]
				}
			case 6:
				b.Sweep(now, all)
			}
		}
		now += 10 * second
		for _, life := range lives {
			if ok := may(b, now, life); ok == left[life] {
				t.Fatalf("%s: may %t, left %t", life, ok, left[life])
			}
		}
	})
}
