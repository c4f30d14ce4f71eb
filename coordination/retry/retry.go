// Package retry limits all retries of a process by one retry budget, a fraction of its
// successes, so that a failing service doesn't get a multiple of its load.
package retry

// Budget is a retry budget. It is not safe for concurrent use.
type Budget struct {
	ratio    float64 // retries earned per success
	capacity float64 // maximum of tokens
	tokens   float64 // retries left
}

// NewBudget returns a full budget that earns ratio retries per success and holds at
// most capacity of them.
func NewBudget(ratio, capacity float64) *Budget {
	return &Budget{ratio: ratio, capacity: capacity, tokens: capacity}
}

// RecordSuccess earns a fraction of a retry.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+b.ratio, b.capacity)
}

// Take spends one retry if there is one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
