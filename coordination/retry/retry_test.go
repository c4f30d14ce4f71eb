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
