package node

import (
	"errors"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/origin"
	"quinceroad/platform"
)

// noStreams is the part of a store that keeps what is known of streams, for tests that have
// none.
type noStreams struct{}

var errNoStreams = errors.New("the store keeps no streams")

func (noStreams) BuildLogs() (buildlog.Snapshot, error) { return buildlog.Snapshot{}, errNoStreams }

func (noStreams) WriteBuildLogs(map[string]buildlog.Entry) error { return errNoStreams }

func (noStreams) StreamRecords(origin.Shard) ([]origin.Record, error) { return nil, errNoStreams }

func (noStreams) WriteStreamRecords(string, []platform.RecordBatch, uint64) error {
	return errNoStreams
}

func (noStreams) GrantRecordsLease() (uint64, error) { return 0, errNoStreams }
