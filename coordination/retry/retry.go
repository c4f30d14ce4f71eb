// Package retry holds the one budget for all retries of a process: a share of
// the successes, so that a failing service is not hit by a multiple of its load.
package retry

// Budget is not safe for concurrent use.
type Budget struct {
	share  float64
	most   float64
	tokens float64
}

// NewBudget returns a budget that earns share of a retry per success and
// holds at most that many.
func NewBudget(share, most float64) *Budget {
	return &Budget{share: share, most: most, tokens: most}
}

// Success earns its share of a retry.
func (b *Budget) RecordSuccess() {
	b.tokens = min(b.tokens+b.share, b.most)
}

// Take spends one retry if there is one.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
