package main

import (
	"slices"
	"time"

	"quinceroad/cmd/load"
	"quinceroad/protocol/api"
)

// addedLatency returns the median and the 99th percentile, in milliseconds, of the
// latency that the path adds to a request: its total latency less the time its
// stages spent in upstream slots according to the upstreams' journal.
func addedLatency(res *load.Result, journal []api.Execution) (p50, p99 float64) {
	slotTime := make(map[string]time.Duration)
	for _, x := range journal {
		slotTime[x.Request] += time.Duration(x.EndUS-x.StartUS) * time.Microsecond
	}
	var addedMS []float64
	for i := range res.Responses {
		resp := &res.Responses[i]
		if load.IsInTime(resp) {
			added := resp.Answered.Sub(resp.Intended) - slotTime[resp.ID]
			addedMS = append(addedMS, float64(added)/float64(time.Millisecond))
		}
	}
	if len(addedMS) == 0 {
		return 0, 0
	}
	slices.Sort(addedMS)
	return addedMS[len(addedMS)/2], addedMS[len(addedMS)*99/100]
}
