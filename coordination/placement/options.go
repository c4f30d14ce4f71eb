package placement

import (
	"time"

	"quinceroad/coordination/speed"
)

// Options are the weights of the placement costs, in units of the value of a
// typical request, and the time constants of the engine state.
type Options struct {
	FirstEventSecondCost float64       // per second until the first event
	LateCost             float64       // of a first event later than its objective (Request.Slack)
	StallCost            float64       // of pausing one running stream for StallMax
	StallMin             time.Duration // shortest pause that costs anything
	StallMax             time.Duration // pause at which the full StallCost applies
	InterferenceCost     float64       // per second of generation on an engine that prefills all the time
	TransferTokenCost    float64       // per prompt token transferred between engines; configurable
	CrossHallByteCost    float64       // per byte of results read from another hall; configurable
	Speed                speed.Options // of the speed estimator
	PrefillShareWindow   time.Duration // averaging window of an engine's prefill share
	CacheShare           float64       // share of an engine's memory assumed to hold cached parts
	CacheTTL             time.Duration // time since its last use after which a part is assumed evicted
	CacheReportTTL       time.Duration // time for which an engine's own cache report is trusted
	HighOccupancy        float64       // slot occupancy above which HighOccupancyCost applies, rising to its full value at 1
	HighOccupancyCost    float64       // of a stream on an engine without free slots
}

// DefaultOptions returns the options used in production.
func DefaultOptions() Options {
	return Options{
		FirstEventSecondCost: 0.15,
		LateCost:             0.8,
		StallCost:            0.3,
		StallMin:             150 * time.Millisecond,
		StallMax:             600 * time.Millisecond,
		InterferenceCost:     0.3,
		TransferTokenCost:    25e-6,
		CrossHallByteCost:    82e-9,
		Speed:                speed.DefaultOptions(),
		PrefillShareWindow:   8 * time.Second,
		CacheShare:           0.7,
		CacheTTL:             60 * time.Second,
		CacheReportTTL:       30 * time.Second, // half of CacheTTL: a part that was not requested since is evicted first
		HighOccupancy:        0.6,
		HighOccupancyCost:    2,
	}
}
