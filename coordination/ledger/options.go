package ledger

import "time"

// Options bound a ledger's memory.
type Options struct {
	Horizon    time.Duration // how long a prefix may start numbers
	Grace      time.Duration // how much longer answers are kept for retries
	MaxRecords int           // above it new numbers are refused as not run
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

// Horizon sets how long a prefix may start numbers.
func Horizon(d time.Duration) Option { return func(o *Options) { o.Horizon = d } }

// MaxRecords sets the most records held.
func MaxRecords(n int) Option { return func(o *Options) { o.MaxRecords = n } }
