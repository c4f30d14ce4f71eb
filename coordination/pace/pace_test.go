package pace

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

func stated(perSecond float64) Limit { return Limit{PerSecond: perSecond, Stated: true} }

func TestGrantsAreSpaced(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.True(tr.TryGrant(0, "r")) // no limit
	is.Equal(tr.Record(0, Report{Incarnation: "r", Limit: stated(2)}), Added)
	is.True(!tr.TryGrant(time.Hour, "r")) // another instance is the grantor
	tr.SetGrantor(0, "r", true)
	granted := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if tr.TryGrant(now, "r") {
			granted++
		} else {
			is.True(tr.NextGrant(now, "r") > now)
		}
	}
	is.True(granted >= 18 && granted <= 20)
}

// Unused grants accumulate for 250 ms only.
func TestUnusedGrantsDoNotAccumulate(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.Record(0, Report{Incarnation: "r", Limit: stated(20)})
	tr.SetGrantor(0, "r", true)
	granted := 0
	for tr.TryGrant(time.Hour, "r") {
		granted++
	}
	is.True(granted <= 1+5) // one due grant and those of 250 ms
}

// A new grantor doesn't know what its predecessor granted and waits for one interval.
func TestANewGrantorWaitsOneInterval(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.Record(0, Report{Incarnation: "r", Limit: stated(1)})
	for now := time.Duration(0); now < 100*time.Second; now += 500 * time.Millisecond {
		tr.SetGrantor(now, "r", true)
		is.True(!tr.TryGrant(now, "r")) // the wait starts again with each change of grantor
		tr.SetGrantor(now, "r", false)
	}
}

// The newest report wins, in whatever order reports arrive.
func TestTheNewestReportWins(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.Equal(tr.Record(5*time.Second, Report{Incarnation: "r"}), Unchanged) // no limit was ever stated
	is.Equal(tr.Record(5*time.Second, Report{Incarnation: "r", Limit: stated(1), Age: time.Second}), Added)
	is.Equal(tr.Record(5*time.Second, Report{Incarnation: "r", Age: 2 * time.Second}), Unchanged)
	is.True(tr.HasLimits())
	is.Equal(tr.Record(6*time.Second, Report{Incarnation: "r"}), Removed)
	is.Equal(tr.Record(7*time.Second, Report{Incarnation: "r", Limit: stated(1), Age: 2 * time.Second}), Unchanged)
	is.True(!tr.HasLimits())
	is.Equal(tr.Record(8*time.Second, Report{Incarnation: "r", Limit: stated(3)}), Added)
	is.Equal(tr.Record(9*time.Second, Report{Incarnation: "r", Limit: stated(4)}), Updated)
	is.Equal(tr.Limit("r"), stated(4))
}

// A replica may state a different limit in each answer, or one in every second answer.
// Not every change is logged.
func TestLimitChangesAreLoggedAtALimitedRate(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.True(!tr.ShouldLog(0, "r")) // no limit stated
	logged := 0
	for now := time.Duration(0); now < 20*time.Second; now += 10 * time.Millisecond {
		limit := stated(1)
		if now%(20*time.Millisecond) != 0 {
			limit = Limit{}
		}
		if tr.Record(now, Report{Incarnation: "r", Limit: limit}) != Unchanged && tr.ShouldLog(now, "r") {
			logged++
		}
	}
	is.Equal(logged, 4)
}

// A replica with a limit of 0 still gets a request from time to time: without one
// nobody would learn that the limit has been removed.
func TestAZeroLimitIsProbed(t *testing.T) {
	is := is.New(t)
	for _, perSecond := range []float64{0, 0.001} {
		tr := New(DefaultOptions())
		tr.Record(0, Report{Incarnation: "r", Limit: stated(perSecond)})
		tr.SetGrantor(0, "r", true)
		granted := 0
		for now := time.Duration(0); now < 100*time.Second; now += 100 * time.Millisecond {
			if tr.TryGrant(now, "r") {
				granted++
			}
		}
		is.True(granted >= 8 && granted <= 10)
	}
}

func TestStaleLimitsAreRemoved(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	all, none := func(string) bool { return true }, func(string) bool { return false }
	tr.Record(0, Report{Incarnation: "r", Limit: stated(1)})
	tr.Expire(time.Hour, all)
	is.True(tr.HasLimits()) // limits of listed incarnations don't expire
	tr.Expire(time.Hour+tr.opts.UnlistedRetention, none)
	is.True(tr.HasLimits())
	tr.Expire(time.Hour+tr.opts.UnlistedRetention+1, none)
	is.Equal(len(tr.entries), 0)
	is.True(!tr.HasLimits())
	tr.Record(0, Report{Incarnation: "r", Limit: stated(1)})
	tr.Record(1, Report{Incarnation: "r"})
	tr.Expire(tr.opts.RemovedRetention+2, all)
	is.Equal(len(tr.entries), 0)
}

func TestOldReportsAreRepeatedInTurn(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	for i := range 20 {
		tr.Record(0, Report{Incarnation: string(rune('a' + i)), Limit: stated(1)})
	}
	is.Equal(len(tr.Updates(0, time.Second, 16)), 16)
	seen := make(map[string]bool)
	for range 5 {
		for _, w := range tr.Updates(2*time.Second, time.Second, 16) {
			seen[w.Incarnation] = true
			is.Equal(w.Age, 2*time.Second)
		}
	}
	is.Equal(len(seen), 20)
}

func TestIsValidRate(t *testing.T) {
	is := is.New(t)
	for _, x := range []float64{0, 0.01, 1e300} {
		is.True(IsValidRate(x))
	}
	for _, x := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		is.True(!IsValidRate(x))
	}
}
