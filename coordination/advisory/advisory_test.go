package advisory

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

func canSend(tr *Tracker, now time.Duration, incarnation string) bool {
	ok, _ := tr.CanSend(now, incarnation)
	return ok
}

// A drain holds for as long as the incarnation is listed, however long that is, and for
// two more minutes. Other incarnations are not affected.
func TestADrainHoldsForOneIncarnation(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.True(canSend(tr, 0, "r@1"))
	is.True(tr.RecordDrain(0, "r@1"))
	is.True(!tr.RecordDrain(second, "r@1")) // already recorded
	for now := second; now < 3600*second; now += second {
		is.Equal(len(tr.Expire(now, all).Removed), 0)
		ok, from := tr.CanSend(now, "r@1")
		is.True(!ok && from == Never)
	}
	is.True(canSend(tr, 3600*second, "r@2"))
	is.Equal(len(tr.Expire(3599*second+tr.opts.UnlistedRetention, none).Removed), 0) // last listed at 3,599 s
	is.Equal(tr.Expire(3600*second+tr.opts.UnlistedRetention, none).Removed, []string{"r@1"})
	is.Equal(len(tr.entries), 0)
}

// The longest of several backoffs holds, in whatever order the answers arrive.
func TestTheLongestBackoffHolds(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	is.True(tr.RecordBackoff(0, "r", 3*second))
	is.True(!tr.RecordBackoff(second, "r", second)) // shorter: the first one holds
	to, backingOff := tr.BackoffUntil(second, "r")
	is.True(backingOff && to == 3*second)
	tr.RecordBackoff(2*second, "r", 4*second) // longer
	is.True(!canSend(tr, 6*second-1, "r"))
	is.True(canSend(tr, 6*second, "r"))
	is.Equal(tr.Expire(6*second-1, all).BackoffEnded, nil)
	is.Equal(tr.Expire(6*second, all).BackoffEnded, []string{"r"})
	is.Equal(tr.Expire(7*second, all).BackoffEnded, nil) // reported once only
}

// After a backoff one request may be sent, then one more with each answer, then any
// number.
func TestRequestsRampUpAfterABackoff(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBackoff(0, "r", second)
	_, ok := tr.Begin(second-1, "r", "s")
	is.True(!ok)
	first, ok := tr.Begin(second, "r", "s")
	is.True(ok)
	_, ok = tr.Begin(second+1, "r", "s")
	is.True(!ok)
	tr.RecordAnswer(0, first)
	second2, ok := tr.Begin(second+2, "r", "s") // the first may still be streaming
	is.True(ok)
	tr.End(first)
	third, ok := tr.Begin(second+3, "r", "s")
	is.True(ok)
	_, ok = tr.Begin(second+4, "r", "s")
	is.True(!ok)
	for _, attempt := range []Attempt{second2, third} {
		tr.RecordAnswer(0, attempt)
		tr.End(attempt)
	}
	last, ok := tr.Begin(second+5, "r", "s")
	is.True(ok)
	tr.RecordAnswer(0, last) // the fourth answer
	tr.End(last)
	for range 100 {
		_, ok := tr.Begin(second+6, "r", "s")
		is.True(ok)
	}
	tr.Expire(second+7, all)
	is.Equal(len(tr.entries), 0)
}

// An unanswered request blocks the others for RampInterval only.
func TestASlowAnswerDoesNotBlockTheRamp(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBackoff(0, "r", second)
	_, ok := tr.Begin(second, "r", "s")
	is.True(ok)
	ok, from := tr.CanSend(second+1, "r")
	is.True(!ok && from == second+1)
	_, ok = tr.Begin(second+tr.opts.RampInterval, "r", "s")
	is.True(ok)
	_, ok = tr.Begin(second+tr.opts.RampInterval, "r", "s")
	is.True(!ok)
}

// A second backoff restarts the ramp; requests sent before it don't count.
func TestASecondBackoffRestartsTheRamp(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	tr.RecordBackoff(0, "r", second)
	old, _ := tr.Begin(second, "r", "s")
	tr.RecordBackoff(second+1, "r", second)
	tr.RecordAnswer(0, old)
	tr.End(old)
	_, ok := tr.Begin(2*second+1, "r", "s")
	is.True(ok)
	_, ok = tr.Begin(2*second+2, "r", "s")
	is.True(!ok)
}

// Each heartbeat announces fresh drains and some of the older ones in turn, so that
// instances that start later receive all of them.
func TestOldUpdatesAreRepeatedInTurn(t *testing.T) {
	is := is.New(t)
	tr := New(DefaultOptions())
	for i := range 9 {
		tr.RecordDrain(0, fmt.Sprint("old", i))
	}
	tr.RecordDrain(10*second, "new")
	tr.Expire(10*second, all)
	announced := make(map[string]bool)
	for range 5 {
		updates := tr.Updates(10*second, 3*second, 16)
		is.Equal(len(updates), 1+maxRepeated)
		is.Equal(updates[0], "new")
		for _, incarnation := range updates {
			announced[incarnation] = true
		}
	}
	is.Equal(len(announced), 10)
	is.Equal(len(tr.Updates(10*second, 3*second, 1)), 1)
	is.Equal(len(tr.Updates(10*second, 20*second, 4)), 4)
}

// Two instances must not keep a removed incarnation alive by announcing it to each
// other: once neither lists it, both remove it.
func TestARemovedIncarnationIsForgottenByAll(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultOptions()), New(DefaultOptions())
	a.RecordDrain(0, "r@1")
	removed := 0
	for now := time.Duration(0); now < 3600*second; now += 200 * time.Millisecond {
		listedBy := func(until time.Duration) func(string) bool { return func(string) bool { return now < until } }
		for _, pair := range [][2]*Tracker{{a, b}, {b, a}} {
			for _, incarnation := range pair[0].Updates(now, 3*second, 16) {
				pair[1].RecordDrain(now, incarnation)
			}
		}
		// One of the two has an older list.
		removed += len(a.Expire(now, listedBy(60*second)).Removed) + len(b.Expire(now, listedBy(100*second)).Removed)
	}
	is.Equal(removed, 2) // once at each instance
	is.True(a.Empty() && b.Empty())
}

// An instance that doesn't list an incarnation keeps it while others list and announce
// it, for example when it started while the store was unavailable.
func TestAnIncarnationListedByOthersIsKept(t *testing.T) {
	is := is.New(t)
	a, b := New(DefaultOptions()), New(DefaultOptions())
	a.RecordDrain(0, "r@1")
	for now := 4 * second; now < 3600*second; now += second {
		a.Expire(now, all)
		for _, incarnation := range a.Updates(now, 3*second, 16) {
			b.RecordDrain(now, incarnation)
		}
		b.Expire(now, none)
		is.True(b.IsDraining("r@1"))
	}
}

// A peer that announces incarnations which nobody lists must not exhaust the memory.
func TestUnlistedIncarnationsAreBounded(t *testing.T) {
	is := is.New(t)
	tr := New(Options{RampAnswers: 4, RampInterval: second, UnlistedRetention: 100 * second, MaxUnlisted: 10})
	for i := range 50 {
		tr.RecordDrain(time.Duration(i), fmt.Sprint("life", 100+i))
	}
	is.Equal(len(tr.Expire(second, none).Removed), 40)
	is.Equal(tr.Draining()[0], "life140")
}

// In any order of events, nothing is sent to an incarnation that drains or backs off,
// and once all backoffs have ended every other incarnation is used.
func TestAdvisoriesHoldInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := New(DefaultOptions())
		incarnations := []string{"a", "b", "c"}
		draining, backoffUntil := make(map[string]bool), make(map[string]time.Duration)
		var attempts []Attempt
		now := time.Duration(0)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			incarnation := rapid.SampledFrom(incarnations).Draw(t, "incarnation")
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0:
				duration := time.Duration(rapid.IntRange(1, 3000).Draw(t, "backoff")) * time.Millisecond
				tr.RecordBackoff(now, incarnation, duration)
				backoffUntil[incarnation] = max(backoffUntil[incarnation], now+duration)
			case 1:
				if rapid.IntRange(0, 9).Draw(t, "drains") == 0 {
					tr.RecordDrain(now, incarnation)
					draining[incarnation] = true
				}
			case 2, 3:
				attempt, ok := tr.Begin(now, incarnation, "s")
				if ok && (draining[incarnation] || now < backoffUntil[incarnation]) {
					t.Fatalf("sent to %s at %v: draining %t, backoff until %v", incarnation, now, draining[incarnation], backoffUntil[incarnation])
				}
				if ok {
					attempts = append(attempts, attempt)
				}
			case 4:
				if len(attempts) > 0 {
					tr.RecordAnswer(now, attempts[len(attempts)-1])
				}
			case 5:
				if len(attempts) > 0 {
					tr.End(attempts[0])
					attempts = attempts[1:]
				}
			case 6:
				tr.Expire(now, all)
			}
		}
		now += 10 * second
		for _, incarnation := range incarnations {
			if ok := canSend(tr, now, incarnation); ok == draining[incarnation] {
				t.Fatalf("%s: can send %t, draining %t", incarnation, ok, draining[incarnation])
			}
		}
	})
}
