package node

import "time"

// deadlines is, by route, the longest deadline that a client has stated: what
// clients state at their first attempt, less a connection's time.
type deadlines map[string]time.Duration

// cameAfter is how much shorter than its route's longest the deadline is of a
// client that came back: one that was refused waits 100 ms at least (the
// scheduler's LeastRetry), and a first connection takes some 10 to 30 ms.
const cameAfter = 70 * time.Millisecond

// cameBack takes in the deadline that a client states, and reports whether it
// is that of a later attempt.
func (d deadlines) cameBack(route string, stated time.Duration) bool {
	d[route] = max(d[route], stated)
	return d[route]-stated >= cameAfter
}
