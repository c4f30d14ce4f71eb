package node

import (
	"time"

	"quinceroad/coordination/rollout"
	"quinceroad/platform"
)

// store is what a node asks of the platform's store. It stands between them so
// that tests can let a store fall silent in their own time.
type store interface {
	Answers(within time.Duration) error
	Intent() (platform.Intent, error)
	Replicas() (items map[string][]byte, at uint64, err error)
	Watch(t platform.Topic, after uint64, wait time.Duration) (items []platform.Entry, at uint64, err error)
	Instances() (items map[string][]byte, err error)
	Lease(life time.Duration) (lease uint64, err error)
	Keep(lease uint64) error
	Register(name string, entry []byte, lease uint64) error
	RolloutStatus(o rollout.Order) (rollout.Status, error)
	WriteRollout(o rollout.OrderState, read rollout.Status, state rollout.State) error
}
