package pipeline

import (
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/warmup"
)

// Options are the settings of a Scheduler.
type Options struct {
	// Share of the objective that a new job may be expected to take.
	ObjectiveMargin float64
	// Worth of a late answer, with 1 for one in time; from the settings.
	LateWorth float64
	// Worth of an answer that is in time after a refusal; below 1 because its caller waited in
	// vain once.
	RetryWorth float64
	// Extra worth of any answer, in time or late; from the settings.
	ServedWorth float64
	// Share of the deadline that a retried or late job may be expected to take; the engine needs
	// the rest.
	DeadlineMargin float64
	// Multiple of its objective that a retried job may also be expected to take at most if late
	// jobs are not admitted; a job that takes much longer is given up before it ends.
	RetryObjectiveFactor float64
	// Share of the objective for which a late job continues.
	LateGrace float64
	// Multiple of the expected time after which a call is overdue; above the usual variation of
	// calls.
	OverdueFactor float64
	// Added to OverdueFactor times the expected time.
	OverdueSlack time.Duration
	// Share of a pool's replicas that arriving work may keep busy before items wait for fuller
	// calls.
	TargetUtilization float64
	// Share of a full batch that may take the last idle replica even if it is not urgent.
	LastReplicaFill float64
	// Multiple of a call's fixed time; an item this close to its latest start does not wait for
	// a fuller call.
	UrgentSlack float64
	// Multiple of a call's fixed time; an item that would start in its preferred hall closer
	// than this to its latest start may run in another one.
	HallSlack float64
	// Attempts to run an item; more would cost others more than the job is worth.
	MaxAttempts int
	// Pause of a replica that refused a call; half of a short call.
	RefusalPause time.Duration
	// Pause of a replica that failed, doubled with each failure; two calls.
	InitialPause time.Duration
	// Upper bound of the pause, so that a recovered replica is soon used again.
	MaxPause time.Duration
	// Retry time of jobs whose pools are unknown or have no replicas, and of jobs that were
	// given up.
	DefaultRetryAfter time.Duration
	// Limits the calls to warming replicas.
	WarmUpLimit warmup.Limit
	// Rate limits of replicas; they are ignored if it is nil.
	SendGrants pace.Limiter
	// Upper bound of the jobs that may share a call although one replica has ended during each;
	// about the square root of the jobs in a full call.
	MaxSuspectsPerCall int
	// Lower bound of the retry time of a refused job.
	MinRetryAfter time.Duration
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
