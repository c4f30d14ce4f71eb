package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Two thirds of all first attempts were taken for clients that came back, and
// admitted as such: their connections had taken a few ms of long deadlines.
func TestAFirstAttemptsConnectionIsNotAReturn(t *testing.T) {
	is := is.New(t)
	d := make(deadlines)
	const full = 6 * time.Second
	is.True(!d.cameBack("r", full))
	is.True(!d.cameBack("r", full-30*time.Millisecond))
	is.True(d.cameBack("r", full-120*time.Millisecond)) // refused, and back after the least time
	is.True(!d.cameBack("other", full/2))               // another route's clients state less
}
