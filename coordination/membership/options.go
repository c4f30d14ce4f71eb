package membership

import "time"

// Options are the times of a view.
type Options struct {
	SuspectFor time.Duration // how long a suspect may refute
	Forget     time.Duration // how long the dead are kept, above the longest partition
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{SuspectFor: 2 * time.Second, Forget: 2 * time.Hour}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// SuspectFor sets how long a suspect may refute.
func SuspectFor(d time.Duration) Option { return func(o *Options) { o.SuspectFor = d } }
