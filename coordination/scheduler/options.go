package scheduler

import "time"

// Policy is the way a replica is chosen, and determines whether tasks queue.
type Policy string

// The policies. RoundRobin and LeastInflight are baselines that never queue and leave
// all waiting to the replicas.
const (
	Exact         Policy = "permits"        // least loaded by exact counts; tasks queue here
	Local         Policy = "local"          // least loaded by own counts, within a share of the slots; tasks queue here
	RoundRobin    Policy = "round_robin"    // baseline
	LeastInflight Policy = "least_inflight" // baseline
)

// Policies are the names allowed in a declaration.
var Policies = []string{string(Exact), string(Local), string(RoundRobin), string(LeastInflight)}

// Options are the settings of a Scheduler.
type Options struct {
	Policy          Policy
	ShedSlackFactor float64       // drop a queued task once slack < ShedSlackFactor x expected time; 0: never
	MinRetryAfter   time.Duration // minimum retry delay given to a refused caller
	EjectionTime    time.Duration // how long a failing replica gets no tasks
	ProbeInterval   time.Duration // between two probes of a slow replica
	SlowRatio       float64       // a replica this many times slower than the service is slow; 0: never
	SlowStart       time.Duration // ramp-up time of a replica that is added later
	Share           float64       // fraction of all slots that this scheduler may fill; 1 for an owner
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{
		Policy:          Exact,
		ShedSlackFactor: 2,
		MinRetryAfter:   100 * time.Millisecond,
		EjectionTime:    5 * time.Second,
		ProbeInterval:   2 * time.Second,
		SlowRatio:       3,
		SlowStart:       3 * time.Second,
		Share:           1,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithPolicy sets the policy.
func WithPolicy(p Policy) Option { return func(o *Options) { o.Policy = p } }

// WithShedSlackFactor sets the slack at which a queued task is dropped, as a multiple of
// its expected time.
func WithShedSlackFactor(f float64) Option { return func(o *Options) { o.ShedSlackFactor = f } }

// WithSlowRatio sets how many times slower than the service a slow replica is; 0 disables
// the check.
func WithSlowRatio(f float64) Option { return func(o *Options) { o.SlowRatio = f } }

// WithShare sets the fraction of all slots that this scheduler may fill. Each of n
// schedulers that don't know of each other takes slightly more than 1/n.
func WithShare(f float64) Option { return func(o *Options) { o.Share = min(f, 1) } }
