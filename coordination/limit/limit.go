// Package limit enforces customers' rate limits with token buckets: each instance fills
// its bucket at its share of the customer's rate over the whole fleet.
package limit

import "time"

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	tokens    float64
	updatedAt time.Duration // when tokens was last updated
	filled    bool          // it was filled at its first use
}

// Take spends one token of a bucket that fills at rate tokens per second up to burst.
// When there is none it returns false and the time until the next one. A rate of zero means
// no limit.
func (b *Bucket) Take(now time.Duration, rate, burst float64) (bool, time.Duration) {
	if rate <= 0 {
		return true, 0
	}
	burst = max(burst, 1)
	if !b.filled {
		b.tokens, b.updatedAt, b.filled = burst, now, true
	}
	b.tokens = min(b.tokens+rate*(now-b.updatedAt).Seconds(), burst)
	b.updatedAt = now
	if b.tokens < 1 {
		return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return true, 0
}
