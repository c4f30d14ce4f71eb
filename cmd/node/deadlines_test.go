package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The connection time of a first attempt shortens its deadline by some ms. When a few ms
// less than the longest deadline sufficed to detect a retry, two thirds of all first
// attempts were taken for retries and admitted as such.
func TestConnectionTimeOfFirstAttemptIsNoRetry(t *testing.T) {
	is := is.New(t)
	d := make(longestDeadlines)
	const full = 6 * time.Second
	is.True(!d.isRetry("r", full))
	is.True(!d.isRetry("r", full-30*time.Millisecond))
	is.True(d.isRetry("r", full-120*time.Millisecond)) // refused, and retried after the minimum wait
	is.True(!d.isRetry("other", full/2))               // clients of another route state shorter deadlines
}
