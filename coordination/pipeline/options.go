package pipeline

import (
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/warmup"
)

// Options are the scheduler's constants.
type Options struct {
	ObjectiveMargin      float64       // share of the objective that a new job's expected end may take
	LateWorth            float64       // of an answer in time that a late one keeps; stated by settings
	RetryWorth           float64       // the same of one that is in time after a refusal: its caller waited once for nothing
	ServedWorth          float64       // of being served at all, in time or late, beside these; stated by settings
	DeadlineMargin       float64       // share of the deadline, of one that came back or will be late; the engine needs the rest
	RetryObjectiveFactor float64       // and times of its objective, where nobody is admitted to be late: what ends much later is given up on the way
	LateGrace            float64       // of the objective, for which a late job goes on
	OverdueFactor        float64       // a call is overdue after so many times what it should take, beyond what calls vary by
	OverdueSlack         time.Duration // and this
	TargetUtilization    float64       // share of a pool's replicas that arriving work may keep at work before pieces wait for company
	LastReplicaFill      float64       // share of a batch that may take the last idle replica, urgent or not
	UrgentSlack          float64       // calls' fixed times before a piece's latest start, from when it waits for no company
	HallSlack            float64       // calls' fixed times between a piece's start in its hall and its latest start, under which it goes elsewhere
	MaxAttempts          int           // of a piece: more cost others more than a job is worth
	RefusalPause         time.Duration // a replica that refused is left alone for, half of a short call
	InitialPause         time.Duration // a replica that failed is left alone for, doubled each time, two calls
	MaxPause             time.Duration // at most: who is back is missed for no longer
	DefaultRetryAfter    time.Duration // when a job may come back whose pools are not known or gone, or that was given up
	WarmUpLimit          warmup.Limit  // of calls to a cold replica
	SendGrants           pace.Turns    // nil: none are counted
	MaxSuspectsPerCall   int           // jobs in a call under which one replica has ended: about the root of the jobs in a full call
	MinRetryAfter        time.Duration // until a refused job may come back
}

// Option changes the options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{ // the fields say each one's unit and source
		ObjectiveMargin:      1,
		RetryWorth:           0.5,
		DeadlineMargin:       0.85,
		RetryObjectiveFactor: 1.8,
		LateGrace:            0.3,
		OverdueFactor:        1.8,
		OverdueSlack:         200 * time.Millisecond,
		TargetUtilization:    0.85,
		LastReplicaFill:      0.5,
		UrgentSlack:          2,
		HallSlack:            2,
		MaxAttempts:          4,
		RefusalPause:         120 * time.Millisecond,
		InitialPause:         500 * time.Millisecond,
		MaxPause:             6 * time.Second,
		DefaultRetryAfter:    500 * time.Millisecond,
		MaxSuspectsPerCall:   4,
		MinRetryAfter:        100 * time.Millisecond,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// Cold bounds what replicas get while they are cold.
func WithWarmUpLimit(l warmup.Limit) Option { return func(o *Options) { o.WarmUpLimit = l } }

// Paced has calls counted by turns; a call is one request, whatever it holds.
func WithSendGrants(t pace.Turns) Option { return func(o *Options) { o.SendGrants = t } }

// Margin sets the share of the objective that a new job's expected end may take.
func WithObjectiveMargin(share float64) Option { return func(o *Options) { o.ObjectiveMargin = share } }

// Worth sets what a late answer is worth, of one in time, and what being served
// at all counts beside.
func WithWorth(late, served float64) Option {
	return func(o *Options) { o.LateWorth, o.ServedWorth = late, served }
}
