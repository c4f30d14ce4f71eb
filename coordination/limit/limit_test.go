package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestBucket(t *testing.T) {
	is := is.New(t)
	var b Bucket
	for range 5 {
		ok, _ := b.Take(0, 10, 5)
		is.True(ok)
	}
	ok, after := b.Take(0, 10, 5)
	is.True(!ok)
	is.Equal(after, 100*time.Millisecond)
	ok, _ = b.Take(100*time.Millisecond, 10, 5)
	is.True(ok)
	ok, _ = b.Take(0, 0, 0) // no limit
	is.True(ok)
}

func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	a := NewAllocator()
	is.Equal(a.Share(0, "a", 300, 400), 400.0) // a single holder gets all of it
	is.Equal(a.Share(0, "b", 0, 400), 50.0)    // half of the unused rate
	is.Equal(a.Share(0, "c", 500, 400), 250.0) // 500 of 800
	is.Equal(a.Share(time.Second, "a", 300, 400), 150.0)
	is.Equal(a.Share(10*time.Second, "b", 0, 400), 400.0) // the other reports have expired
}

// Shares assigned in one round never add up to more than the rate.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := rapid.SliceOfN(rapid.Float64Range(0, 1000), 1, 20).Draw(t, "wants")
		rate := rapid.Float64Range(1, 2000).Draw(t, "rate")
		a := NewAllocator()
		name := func(i int) string { return string(rune('a' + i)) }
		for i, demand := range demands {
			a.Share(0, name(i), demand, rate)
		}
		sum := 0.0
		for i, demand := range demands {
			sum += a.Share(0, name(i), demand, rate)
		}
		if sum > rate*1.000001 {
			t.Fatalf("shares add up to %g of %g", sum, rate)
		}
	})
}
