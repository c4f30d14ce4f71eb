package membership

import "time"

// Options are the times of a view.
type Options struct {
	SuspectTimeout time.Duration // how long a suspect may refute
	ForgetAfter    time.Duration // how long the dead are kept, above the longest partition
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

// SuspectFor sets how long a suspect may refute.
func SuspectTimeout(d time.Duration) Option { return func(o *Options) { o.SuspectTimeout = d } }
