package limit

import "time"

// forgetAfter is how long a holder counts after its last report.
const forgetAfter = 3 * time.Second

// Budget divides a customer's one fleet-wide rate among the entries that see
// its requests, by what each sees. It lives at the customer's soft owner; two
// owners for a moment let a little more through. Not safe for concurrent use.
type Budget struct{ holders map[string]demand }

type demand struct {
	want float64 // requests a second
	at   time.Duration
}

// NewBudget returns a budget that nobody draws on.
func NewBudget() *Budget { return &Budget{holders: make(map[string]demand)} }

// Share takes in what a holder sees, in requests a second, and returns the rate
// it may let through: what it wants and a part of what is over, or its part of
// what there is.
func (b *Budget) Share(now time.Duration, holder string, want, rate float64) float64 {
	b.holders[holder] = demand{want, now}
	total := 0.0
	for h, d := range b.holders {
		if now-d.at > forgetAfter {
			delete(b.holders, h)
			continue
		}
		total += d.want
	}
	if total <= rate {
		return want + (rate-total)/float64(len(b.holders))
	}
	return rate * want / total
}

// Idle reports whether no holder has reported lately.
func (b *Budget) Idle(now time.Duration) bool {
	for _, d := range b.holders {
		if now-d.at <= forgetAfter {
			return false
		}
	}
	return true
}
