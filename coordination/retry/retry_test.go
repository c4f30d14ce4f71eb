package retry

import (
	"testing"

	"github.com/matryer/is"
)

// However many requests fail, the number of retries stays within the budget's capacity
// and its fraction of the successes.
func TestRetriesAreBoundedBySuccesses(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 3)
	retries := 0
	for range 1000 {
		b.RecordSuccess()
		for b.Take() {
			retries++
		}
	}
	is.True(retries <= 103)
	for range 5 {
		is.True(!b.Take()) // nothing earned since
	}
}

// A budget that is cut gives up what is above, one that grows has to earn it, and one that is
// filled has its capacity less what was spent.
func TestCapacityChanges(t *testing.T) {
	is := is.New(t)
	count := func(b *Budget) (taken int) {
		for b.Take() {
			taken++
		}
		return taken
	}
	b := NewBudget(0.1, 30)
	b.SetCapacity(3)
	is.Equal(count(b), 3)
	b.SetCapacity(30)
	is.Equal(count(b), 0)
	b = NewBudget(0.1, 1)
	is.True(b.Take())
	b.Fill(3)
	is.Equal(count(b), 2)
}
