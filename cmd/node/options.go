package node

import (
	"quinceroad/transport/clock"
	"quinceroad/transport/upstream"
)

// Option changes how a node is built.
type Option func(*options)

type options struct {
	clock         *clock.Clock
	dialReplicaBy upstream.Dialer
}

// WithClock has the node use the given clock instead of the machine's.
func WithClock(c *clock.Clock) Option { return func(o *options) { o.clock = c } }

// WithReplicaDialer has the node connect to replicas by the given function instead of TCP
// directly, so that a test can put a faulty link between them.
func WithReplicaDialer(dial upstream.Dialer) Option {
	return func(o *options) { o.dialReplicaBy = dial }
}

func buildOptions(list []Option) options {
	o := options{clock: clock.New(), dialReplicaBy: upstream.DialTCP}
	for _, apply := range list {
		apply(&o)
	}
	return o
}
