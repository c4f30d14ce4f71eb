package node

import "time"

// longestDeadlines holds, by route, the longest deadline that a client has stated. In a
// first attempt, clients state about this deadline, less the time to connect; in a retry
// they state the time that is left of it.
type longestDeadlines map[string]time.Duration

// minDeadlineGap is the minimum difference between the route's longest deadline and the
// deadline of a retry. A refused client waits 100 ms or more (MinRetryAfter
// of the pipeline scheduler), and a first connection takes 10 to 30 ms.
const minDeadlineGap = 70 * time.Millisecond

// isRetry records the deadline that a client states, and reports whether it is that
// of a retry.
func (d longestDeadlines) isRetry(route string, stated time.Duration) bool {
	d[route] = max(d[route], stated)
	return d[route]-stated >= minDeadlineGap
}
