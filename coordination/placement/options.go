package placement

import (
	"time"

	"quinceroad/coordination/speed"
)

// Options are the costs and times that decide, costs against a usual request's worth.
type Options struct {
	Second       float64       // cost of a second until the first event
	Late         float64       // of a first event after the objective
	Stall        float64       // of holding one stream up for long
	StallFrom    time.Duration // a hold-up begins to cost
	StallTo      time.Duration // and costs all
	Beside       float64       // of generating for a second beside an engine's usual reading
	Moved        float64       // of moving a token of a prompt from one engine to another; a setting
	FarByte      float64       // of a byte of results that crosses halls; a setting
	Speeds       speed.Options // of what is learnt of the engines
	UsualFor     time.Duration // over which an engine's usual reading is averaged
	KeptShare    float64       // of an engine's memory that is taken to keep parts
	KeptFor      time.Duration // after which a part is taken for gone
	ToldFor      time.Duration // for which what an engine said that it keeps is believed
	Crowded      float64       // share of an engine's slots from which more streams cost
	CrowdedCosts float64
}

// Standard returns the constants in use.
func Standard() Options {
	return Options{
		Second:       0.15,
		Late:         0.8,
		Stall:        0.3,
		StallFrom:    150 * time.Millisecond,
		StallTo:      600 * time.Millisecond,
		Beside:       0.3,
		Moved:        25e-6,
		FarByte:      82e-9,
		Speeds:       speed.Standard(),
		UsualFor:     8 * time.Second,
		KeptShare:    0.7,
		KeptFor:      60 * time.Second,
		ToldFor:      30 * time.Second, // half of KeptFor: a part not asked for since is the first to give way
		Crowded:      0.6,
		CrowdedCosts: 2,
	}
}
