package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func stated(perSecond float64) Limit { return Limit{PerSecond: perSecond, Stated: true} }

func TestTurnsAreSpaced(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	is.True(b.TryGrant(0, "r")) // any number
	is.Equal(b.Record(0, Report{Incarnation: "r", Limit: stated(2)}), Added)
	is.True(!b.TryGrant(time.Hour, "r")) // another one keeps it
	b.SetGrantor(0, "r", true)
	given := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if b.TryGrant(now, "r") {
			given++
		} else {
			is.True(b.NextGrant(now, "r") > now)
		}
	}
	is.True(given >= 18 && given <= 20)
}

// What was not used is kept for a moment only.
func TestTurnsAreNotSavedUp(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	b.Record(0, Report{Incarnation: "r", Limit: stated(20)})
	b.SetGrantor(0, "r", true)
	given := 0
	for b.TryGrant(time.Hour, "r") {
		given++
	}
	is.True(given <= 1+5) // a quarter of a second's
}

// Who begins to give turns does not know what the last one gave.
func TestANewKeeperBeginsWithNothing(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	b.Record(0, Report{Incarnation: "r", Limit: stated(1)})
	for now := time.Duration(0); now < 100*time.Second; now += 500 * time.Millisecond {
		b.SetGrantor(now, "r", true)
		is.True(!b.TryGrant(now, "r")) // each time it begins anew
		b.SetGrantor(now, "r", false)
	}
}

// The newest word counts, in whatever order words come.
func TestTheNewestWordCounts(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	is.Equal(b.Record(5*time.Second, Report{Incarnation: "r"}), Unchanged) // it never stated any
	is.Equal(b.Record(5*time.Second, Report{Incarnation: "r", Limit: stated(1), Age: time.Second}), Added)
	is.Equal(b.Record(5*time.Second, Report{Incarnation: "r", Age: 2 * time.Second}), Unchanged)
	is.True(b.HasLimits())
	is.Equal(b.Record(6*time.Second, Report{Incarnation: "r"}), Removed)
	is.Equal(b.Record(7*time.Second, Report{Incarnation: "r", Limit: stated(1), Age: 2 * time.Second}), Unchanged)
	is.True(!b.HasLimits())
	is.Equal(b.Record(8*time.Second, Report{Incarnation: "r", Limit: stated(3)}), Added)
	is.Equal(b.Record(9*time.Second, Report{Incarnation: "r", Limit: stated(4)}), Updated)
	is.Equal(b.Limit("r"), stated(4))
}

// A replica that states another limit in each answer, or one in each second answer,
// is not worth a line each time.
func TestChangesOfALimitAreNotedNowAndThen(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	is.True(!b.ShouldLog(0, "r")) // it stated nothing
	noted := 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		limit := stated(1)
		if now%(20*time.Millisecond) != 0 {
			limit = Limit{}
		}
		if b.Record(now, Report{Incarnation: "r", Limit: limit}) != Unchanged && b.ShouldLog(now, "r") {
			noted++
		}
	}
	is.Equal(noted, 4)
}

// A replica that takes nothing is asked now and then, as nobody else would tell
// that it does again.
func TestALimitOfNothingIsAskedAfter(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{0, 0.001} {
		b := New(Standard())
		b.Record(0, Report{Incarnation: "r", Limit: stated(perSecond)})
		b.SetGrantor(0, "r", true)
		given := 0
		for now := time.Duration(0); now < 100*time.Second; now += 100 * time.Millisecond {
			if b.TryGrant(now, "r") {
				given++
			}
		}
		is.True(given >= 8 && given <= 10)
	}
}

func TestWhatWasSaidIsForgotten(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	all, none := func(string) bool { return true }, func(string) bool { return false }
	b.Record(0, Report{Incarnation: "r", Limit: stated(1)})
	b.Sweep(time.Hour, all)
	is.True(b.HasLimits()) // for as long as it says so
	b.Sweep(time.Hour+b.opts.UnlistedRetention, none)
	is.True(b.HasLimits())
	b.Sweep(time.Hour+b.opts.UnlistedRetention+1, none)
	is.Equal(len(b.rows), 0)
	is.True(!b.HasLimits())
	b.Record(0, Report{Incarnation: "r", Limit: stated(1)})
	b.Record(1, Report{Incarnation: "r"})
	b.Sweep(b.opts.RemovedRetention+2, all)
	is.Equal(len(b.rows), 0)
}

func TestNewsIsToldInTurn(t *testing.T) {
	is := is.New(t)
	b := New(Standard())
	for i := range 20 {
		b.Record(0, Report{Incarnation: string(rune('a' + i)), Limit: stated(1)})
	}
	is.Equal(len(b.Updates(0, time.Second, 16)), 16)
	seen := make(map[string]bool)
	for range 5 {
		for _, w := range b.Updates(2*time.Second, time.Second, 16) {
			seen[w.Incarnation] = true
			is.Equal(w.Age, 2*time.Second)
		}
	}
	is.Equal(len(seen), 20)
}

func TestWhatCanBeALimit(t *testing.T) {
	is := is.New(t)
	for _, x := range []float64{0, 0.01, 1e300} {
		is.True(IsValidRate(x))
	}
	for _, x := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		is.True(!IsValidRate(x))
	}
}
