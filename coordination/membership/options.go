package membership

import "time"

// Options are the timeouts of a View.
type Options struct {
	SuspectTimeout time.Duration // time that a suspect has to refute
	ForgetAfter    time.Duration // time that dead members are kept; must exceed the longest partition
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{SuspectTimeout: 2 * time.Second, ForgetAfter: 2 * time.Hour}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithSuspectTimeout sets the time that a suspect has to refute.
func WithSuspectTimeout(d time.Duration) Option { return func(o *Options) { o.SuspectTimeout = d } }
