package placement

import (
	"time"

	"quinceroad/coordination/speed"
)

// Options are the costs and times that decide, costs against a usual request's worth.
type Options struct {
	FirstEventSecondCost float64       // cost of a second until the first event
	LateCost             float64       // of a first event after the objective
	StallCost            float64       // of holding one stream up for long
	StallMin             time.Duration // a hold-up begins to cost
	StallMax             time.Duration // and costs all
	InterferenceCost     float64       // of generating for a second beside an engine's usual reading
	TransferTokenCost    float64       // of moving a token of a prompt from one engine to another; a setting
	CrossHallByteCost    float64       // of a byte of results that crosses halls; a setting
	Speed                speed.Options // of what is learnt of the engines
	PrefillShareWindow   time.Duration // over which an engine's usual reading is averaged
	CacheShare           float64       // of an engine's memory that is taken to keep parts
	CacheTTL             time.Duration // after which a part is taken for gone
	CacheReportTTL       time.Duration // for which what an engine said that it keeps is believed
	HighOccupancy        float64       // share of an engine's slots from which more streams cost
	HighOccupancyCost    float64
}

// Standard returns the constants in use.
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
		CacheReportTTL:       30 * time.Second, // half of KeptFor: a part not asked for since is the first to give way
		HighOccupancy:        0.6,
		HighOccupancyCost:    2,
	}
}
