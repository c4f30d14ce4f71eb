package retry

import (
	"testing"

	"github.com/matryer/is"
)

// However many fail, retries stay a share of the successes and a few at once.
func TestBudgetIsAShareOfSuccesses(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.1, 3)
	taken := 0
	for range 1000 {
		b.RecordSuccess()
		for b.Take() {
			taken++
		}
	}
	is.True(taken <= 103)
	for range 5 {
		is.True(!b.Take()) // nothing earned, nothing given
	}
}
