package origin

import (
	"maps"
	"slices"
	"time"
)

// maxGoneBuilds is the number of builds of a service that a History keeps. Two suffice to
// know that there were several.
const maxGoneBuilds = 4

// History keeps the builds of the replicas that have gone, for as long as a stream that one
// of them began may be taken up again. It is not safe for concurrent use.
type History struct {
	gone map[string]map[string]time.Duration // by service and build: when the last one went
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{gone: make(map[string]map[string]time.Duration)} }

// RecordGone records that a replica of a build has gone.
func (h *History) RecordGone(now time.Duration, service, build string) {
	builds := h.gone[service]
	if builds == nil {
		builds = make(map[string]time.Duration)
		h.gone[service] = builds
	}
	if _, known := builds[build]; known || len(builds) < maxGoneBuilds {
		builds[build] = now
	}
}

// Sole returns the only build that the replicas of a service have had within RecordTTL, given
// the builds of those listed now. It returns false if there were several or none.
func (h *History) Sole(now time.Duration, service string, listed []string) (string, bool) {
	builds := h.gone[service]
	maps.DeleteFunc(builds, func(_ string, at time.Duration) bool { return now-at >= RecordTTL })
	all := slices.AppendSeq(slices.Clone(listed), maps.Keys(builds))
	for _, build := range all {
		if build != all[0] {
			return "", false
		}
	}
	if len(listed) == 0 {
		return "", false
	}
	return listed[0], true
}
