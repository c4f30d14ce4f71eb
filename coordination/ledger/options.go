package ledger

import "time"

// Options are the settings of a Ledger; they bound its memory.
type Options struct {
	Horizon    time.Duration // time after the issue of a prefix in which its numbers may start
	Grace      time.Duration // additional time for which answers are kept for retries
	MaxRecords int           // limit above which new numbers are refused as not run
}

// Option sets one of the Options.
type Option func(*Options)

func newOptions(opts []Option) Options {
	o := Options{Horizon: 2 * time.Minute, Grace: 2 * time.Minute, MaxRecords: 200_000}
	for _, f := range opts {
		f(&o)
	}
	return o
}

// WithHorizon sets the time after the issue of a prefix in which its numbers may start.
func WithHorizon(d time.Duration) Option { return func(o *Options) { o.Horizon = d } }

// WithMaxRecords sets the maximum number of records.
func WithMaxRecords(n int) Option { return func(o *Options) { o.MaxRecords = n } }
