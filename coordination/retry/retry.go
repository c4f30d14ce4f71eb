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

// SetCapacity changes the capacity. A budget that may hold more has to earn it.
func (b *Budget) SetCapacity(capacity float64) {
	b.capacity = capacity
	b.tokens = min(b.tokens, capacity)
}

// Fill raises the capacity and fills the budget, less what was spent since it was new.
func (b *Budget) Fill(capacity float64) {
	b.tokens = max(b.tokens+capacity-b.capacity, 0)
	b.capacity = capacity
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
