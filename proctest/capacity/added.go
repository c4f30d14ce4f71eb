package main

import (
	"slices"
	"time"

	"quinceroad/cmd/load"
)

// added returns the median and the 99th percentile of what a request took over
// the sum of its stages' times in their slots, in milliseconds.
func added(res *load.Result) (p50, p99 float64) {
	const stageMS = 2 // see quick
	var over []float64
	for i := range res.Told {
		t := &res.Told[i]
		if load.Whole(t) {
			took := float64(t.Answered.Sub(t.Intended)) / float64(time.Millisecond)
			over = append(over, took-float64(stageMS*len(t.Stages)))
		}
	}
	if len(over) == 0 {
		return 0, 0
	}
	slices.Sort(over)
	return over[len(over)/2], over[len(over)*99/100]
}
