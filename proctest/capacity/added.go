package main

import (
	"slices"
	"time"

	"quinceroad/cmd/load"
	"quinceroad/protocol/api"
)

// added returns the median and the 99th percentile of what a request took over
// the sum of its stages' times in their slots, as the upstreams journalled
// them, in milliseconds.
func added(res *load.Result, journal []api.Execution) (p50, p99 float64) {
	inSlots := make(map[string]time.Duration)
	for _, x := range journal {
		inSlots[x.Request] += time.Duration(x.EndUS-x.StartUS) * time.Microsecond
	}
	var over []float64
	for i := range res.Responses {
		t := &res.Responses[i]
		if load.IsInTime(t) {
			took := t.Answered.Sub(t.Intended) - inSlots[t.ID]
			over = append(over, float64(took)/float64(time.Millisecond))
		}
	}
	if len(over) == 0 {
		return 0, 0
	}
	slices.Sort(over)
	return over[len(over)/2], over[len(over)*99/100]
}
