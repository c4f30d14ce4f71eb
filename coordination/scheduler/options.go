package scheduler

import "time"

// Policy names how a replica is chosen and whether asks queue.
type Policy string

// The policies. RoundRobin and LeastInflight are baselines: they never queue
// and leave all waiting to the replicas.
const (
	Exact         Policy = "permits"        // least loaded by exact counts; asks queue here
	Local         Policy = "local"          // least loaded by own counts, within a share of the slots; asks queue here
	RoundRobin    Policy = "round_robin"    // baseline
	LeastInflight Policy = "least_inflight" // baseline
)

// Policies are the names a declaration may use.
var Policies = []string{string(Exact), string(Local), string(RoundRobin), string(LeastInflight)}

// Options are a scheduler's settings.
type Options struct {
	Policy        Policy
	Shed          float64       // give up a queued ask once slack < Shed x expected time; 0 never
	MinRetryAfter time.Duration // least time a refused caller is told to wait
	EjectionTime  time.Duration // how long a failing replica gets nothing
	ProbeInterval time.Duration // between tries of a slow replica
	SlowRatio     float64       // a replica this many times slower than the service is slow; 0 never
	SlowStart     time.Duration // slow start of a replica that appears later
	Share         float64       // of all slots that this scheduler may fill; 1 for an owner
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{
		Policy:        Exact,
		Shed:          2,
		MinRetryAfter: 100 * time.Millisecond,
		EjectionTime:  5 * time.Second,
		ProbeInterval: 2 * time.Second,
		SlowRatio:     3,
		SlowStart:     3 * time.Second,
		Share:         1,
	}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithPolicy sets the policy.
func WithPolicy(p Policy) Option { return func(o *Options) { o.Policy = p } }

// Shed sets when a queued ask is given up, in expected stage times.
func Shed(f float64) Option { return func(o *Options) { o.Shed = f } }

// SlowRatio sets from when a replica counts as slow; 0 turns it off.
func SlowRatio(f float64) Option { return func(o *Options) { o.SlowRatio = f } }

// Share sets the part of all slots that this scheduler may fill: one of n that
// don't know of each other takes a little more than 1/n.
func Share(f float64) Option { return func(o *Options) { o.Share = min(f, 1) } }
