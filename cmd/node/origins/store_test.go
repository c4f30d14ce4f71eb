package origins

import (
	"maps"
	"sync"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/origin"
	"quinceroad/platform"
)

// memoryStore is a stand-in for the store that counts its calls.
type memoryStore struct {
	mu       sync.Mutex
	down     bool
	lose     bool // writes are done and not answered
	era      uint64
	revision uint64
	logs     map[string]buildlog.Entry
	records  map[origin.Shard][]origin.Record
	reads    int
	writes   int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{logs: make(map[string]buildlog.Entry), records: make(map[origin.Shard][]origin.Record)}
}

func (s *memoryStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

// calls returns the number of calls.
func (s *memoryStore) calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads + s.writes
}

// Era implements Store.
func (s *memoryStore) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// BuildLogs implements Store.
func (s *memoryStore) BuildLogs() (buildlog.Snapshot, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return buildlog.Snapshot{}, errDead
	}
	return buildlog.Snapshot{Entries: maps.Clone(s.logs), Era: s.era}, nil
}

// WriteBuildLogs implements Store.
func (s *memoryStore) WriteBuildLogs(logs map[string]buildlog.Entry) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return errDead
	}
	for service, e := range logs {
		if s.logs[service].Revision != e.Revision {
			return platform.ErrConflict
		}
	}
	s.revision++
	for service, e := range logs {
		e.Revision = s.revision
		s.logs[service] = e
	}
	if s.lose {
		return errDead
	}
	return nil
}

// StreamRecords implements Store.
func (s *memoryStore) StreamRecords(shard origin.Shard) ([]origin.Record, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.down {
		return nil, errDead
	}
	return s.records[shard], nil
}

// WriteStreamRecords implements Store.
func (s *memoryStore) WriteStreamRecords(_ string, batches []platform.RecordBatch, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return errDead
	}
	for _, b := range batches {
		s.records[b.Shard] = append(s.records[b.Shard], b.Records...)
	}
	return nil
}

// GrantRecordsLease implements Store.
func (s *memoryStore) GrantRecordsLease() (uint64, error) { return 1, nil }
