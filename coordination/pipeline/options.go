package pipeline

import (
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/warmup"
)

// Options are the settings of a Scheduler.
type Options struct {
	ObjectiveMargin      float64       // share of the objective that a new job may be expected to take
	LateWorth            float64       // worth of a late answer, with 1 for one in time; from the settings
	RetryWorth           float64       // worth of an answer that is in time after a refusal; below 1 because its caller waited in vain once
	ServedWorth          float64       // extra worth of any answer, in time or late; from the settings
	DeadlineMargin       float64       // share of the deadline that a retried or late job may be expected to take; the engine needs the rest
	RetryObjectiveFactor float64       // also limits a retried job to this multiple of its objective if late jobs are not admitted; one that takes much longer is given up before it ends
	LateGrace            float64       // share of the objective for which a late job continues
	OverdueFactor        float64       // multiple of the expected time after which a call is overdue; above the usual variation of calls
	OverdueSlack         time.Duration // added to OverdueFactor times the expected time
	TargetUtilization    float64       // share of a pool's replicas that arriving work may keep busy before items wait for fuller calls
	LastReplicaFill      float64       // share of a full batch that may take the last idle replica even if it is not urgent
	UrgentSlack          float64       // multiple of a call's fixed time; an item this close to its latest start does not wait for a fuller call
	HallSlack            float64       // multiple of a call's fixed time; an item that would start in its hall closer than this to its latest start may go elsewhere
	MaxAttempts          int           // of an item; more would cost others more than the job is worth
	RefusalPause         time.Duration // for a replica that refused a call; half of a short call
	InitialPause         time.Duration // for a replica that failed, doubled with each failure; two calls
	MaxPause             time.Duration // upper bound of the pause, so that a recovered replica is soon used again
	DefaultRetryAfter    time.Duration // for jobs whose pools are unknown or have no replicas, and for jobs that were given up
	WarmUpLimit          warmup.Limit  // for calls to warming replicas
	SendGrants           pace.Limiter  // nil: rate limits of replicas are ignored
	MaxSuspectsPerCall   int           // jobs during which one replica has ended that may share a call; about the square root of the jobs in a full call
	MinRetryAfter        time.Duration // lower bound for the retry time of a refused job
}

// Option sets some of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{
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

// WithWarmUpLimit limits the calls to replicas that are warming up.
func WithWarmUpLimit(l warmup.Limit) Option { return func(o *Options) { o.WarmUpLimit = l } }

// WithSendGrants applies the rate limits of replicas to calls; a call counts as one request
// whatever it holds.
func WithSendGrants(t pace.Limiter) Option { return func(o *Options) { o.SendGrants = t } }

// WithObjectiveMargin sets the share of the objective that a new job may be expected to take.
func WithObjectiveMargin(share float64) Option { return func(o *Options) { o.ObjectiveMargin = share } }

// WithWorth sets the worth of a late answer, with 1 for one in time, and the extra worth of
// any answer.
func WithWorth(late, served float64) Option {
	return func(o *Options) { o.LateWorth, o.ServedWorth = late, served }
}
