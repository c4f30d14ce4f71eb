package node

import (
	"time"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/history"
	"quinceroad/coordination/origin"
	"quinceroad/coordination/rollout"
	"quinceroad/platform"
)

// store is the interface of the platform's store that a node uses. Tests replace it to
// simulate an unresponsive store under a fake clock.
type store interface {
	Probe(timeout time.Duration) error
	Era() uint64
	Intent() (platform.Intent, error)
	Replicas() (items map[string][]byte, at history.Point, err error)
	Watch(t platform.Topic, after history.Point, wait time.Duration) (items []platform.Entry, at history.Point, err error)
	Instances() (items map[string][]byte, err error)
	GrantLease(ttl time.Duration) (lease uint64, err error)
	RenewLease(lease uint64) error
	Register(name string, entry []byte, lease uint64) error
	RolloutStatus(o rollout.Order) (rollout.Status, error)
	BuildLogs() (buildlog.Snapshot, error)
	WriteBuildLogs(logs map[string]buildlog.Entry) error
	StreamRecords(shard origin.Shard) ([]origin.Record, error)
	WriteStreamRecords(name string, batches []platform.RecordBatch, lease uint64) error
	GrantRecordsLease() (uint64, error)
	WriteRolloutStatus(o rollout.OrderState, last rollout.Status, state rollout.State) error
}
