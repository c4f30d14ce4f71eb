package pipeline

import (
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/warmup"
)

// Options are the scheduler's constants.
type Options struct {
	Margin           float64       // share of the objective that a new job's expected end may take
	LateWorth        float64       // of an answer in time that a late one keeps; stated by settings
	ReturnWorth      float64       // the same of one that is in time after a refusal: its caller waited once for nothing
	ServedWorth      float64       // of being served at all, in time or late, beside these; stated by settings
	LastMargin       float64       // share of the deadline, of one that came back or will be late; the engine needs the rest
	LastTimes        float64       // and times of its objective, where nobody is admitted to be late: what ends much later is given up on the way
	LateShare        float64       // of the objective, for which a late job goes on
	OverdueTimes     float64       // a call is overdue after so many times what it should take, beyond what calls vary by
	OverdueSlack     time.Duration // and this
	AtWork           float64       // share of a pool's replicas that arriving work may keep at work before pieces wait for company
	LastFill         float64       // share of a batch that may take the last idle replica, urgent or not
	PressSlack       float64       // calls' fixed times before a piece's latest start, from when it waits for no company
	LeaveHall        float64       // calls' fixed times between a piece's start in its hall and its latest start, under which it goes elsewhere
	Tries            int           // of a piece: more cost others more than a job is worth
	Busy             time.Duration // a replica that refused is left alone for, half of a short call
	PauseFirst       time.Duration // a replica that failed is left alone for, doubled each time, two calls
	PauseMost        time.Duration // at most: who is back is missed for no longer
	Unknown          time.Duration // when a job may come back whose pools are not known or gone, or that was given up
	Cold             warmup.Limit  // of calls to a cold replica
	Turns            pace.Limiter  // nil: none are counted
	SuspectsTogether int           // jobs in a call under which one replica has ended: about the root of the jobs in a full call
	LeastRetry       time.Duration // until a refused job may come back
}

// Option changes the options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{ // the fields say each one's unit and source
		Margin:           1,
		ReturnWorth:      0.5,
		LastMargin:       0.85,
		LastTimes:        1.8,
		LateShare:        0.3,
		OverdueTimes:     1.8,
		OverdueSlack:     200 * time.Millisecond,
		AtWork:           0.85,
		LastFill:         0.5,
		PressSlack:       2,
		LeaveHall:        2,
		Tries:            4,
		Busy:             120 * time.Millisecond,
		PauseFirst:       500 * time.Millisecond,
		PauseMost:        6 * time.Second,
		Unknown:          500 * time.Millisecond,
		SuspectsTogether: 4,
		LeastRetry:       100 * time.Millisecond,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// Cold bounds what replicas get while they are cold.
func Cold(l warmup.Limit) Option { return func(o *Options) { o.Cold = l } }

// Paced has calls counted by turns; a call is one request, whatever it holds.
func Paced(t pace.Limiter) Option { return func(o *Options) { o.Turns = t } }

// Margin sets the share of the objective that a new job's expected end may take.
func Margin(share float64) Option { return func(o *Options) { o.Margin = share } }

// Worth sets what a late answer is worth, of one in time, and what being served
// at all counts beside.
func Worth(late, served float64) Option {
	return func(o *Options) { o.LateWorth, o.ServedWorth = late, served }
}
