package origins

import (
	"context"
	"errors"
	"sync"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/origin"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	sendInterval  = 50 * time.Millisecond // time in which an instance's records are collected before they are sent
	maxCollectors = 2                     // instances that are asked to write or read a shard before this one does so itself
	searchTimeout = storeTimeout / 2      // for a collector to search a shard
	maxStoreDelay = 1 * time.Second       // pause after writes that failed
	maxUnwritten  = origin.MaxRecords     // records that wait for the store; of more, the newest are dropped
)

// storedRecords has the store hold records of streams. Each instance sends those of its
// streams to the collector of their shard, which writes them together. No other lock is
// acquired under its own.
type storedRecords struct {
	keeper *Keeper
	opts   *Options
	shards int
	wake   chan struct{} // there are records to be sent or written

	mu        sync.Mutex
	unsent    []origin.Record                            // of this instance's streams
	unwritten map[origin.Shard][]origin.Record           // collected for the store
	waiting   int                                        // number of those
	searches  map[origin.Shard]*freshReads[shardRecords] // of shards that were searched
	lease     recordsLease                               // used by the writing goroutine only
	writes    uint64                                     // number of them; by the writing goroutine only

	written, dropped, searched metrics.Counter
}

// recordsLease is a lease of the store under which records are written.
type recordsLease struct {
	id    uint64 // 0: none
	until time.Duration
}

// shardRecords are the records of a shard, as read from the store, but for those of an ID that
// was used for streams of two builds.
type shardRecords map[origin.Key]origin.Record

func newStoredRecords(k *Keeper) *storedRecords {
	counter := func(name string) metrics.Counter {
		return metrics.NewRegisteredCounter("node.origins."+name, k.opts.Registry)
	}
	return &storedRecords{
		keeper:    k,
		opts:      &k.opts,
		shards:    origin.Shards(k.opts.StoreRates.Writes),
		wake:      make(chan struct{}, 1),
		unwritten: make(map[origin.Shard][]origin.Record),
		searches:  make(map[origin.Shard]*freshReads[shardRecords]),
		written:   counter("stored"),   // records that the store has taken
		dropped:   counter("unstored"), // records that it has not
		searched:  counter("searched"), // shards that were read for streams taken up again
	}
}

// send has records of this instance's streams written to the store, without waiting for it.
func (s *storedRecords) send(records ...origin.Record) {
	if len(records) == 0 {
		return
	}
	s.mu.Lock()
	room := max(0, maxUnwritten-len(s.unsent))
	s.unsent = append(s.unsent, records[:min(room, len(records))]...)
	s.mu.Unlock()
	s.dropped.Inc(int64(max(0, len(records)-room)))
	s.signal()
}

func (s *storedRecords) signal() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run sends and writes records while there are any.
func (s *storedRecords) run(ctx context.Context) {
	lastWrite, delay := time.Duration(0), origin.StoreInterval
	for {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		process.Sleep(ctx, sendInterval)
		s.sendToCollectors()
		if s.opts.Now()-lastWrite >= delay {
			lastWrite = s.opts.Now()
			delay = origin.StoreInterval
			if err := s.write(); err != nil {
				event.NodeSideCallFailed.Log(s.opts.Log, "what", "records of streams", "to", "store", "error", err)
				delay = maxStoreDelay
			}
		}
		if s.hasWork() {
			s.signal()
		}
	}
}

func (s *storedRecords) hasWork() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.unsent) > 0 || s.waiting > 0
}

// sendToCollectors sends the collected records to the collectors of their shards, all at once.
func (s *storedRecords) sendToCollectors() {
	s.mu.Lock()
	records := s.unsent
	s.unsent = nil
	s.mu.Unlock()
	byShard := make(map[origin.Shard][]origin.Record)
	for _, r := range records {
		shard := origin.ShardOf(r.Key, s.shards)
		byShard[shard] = append(byShard[shard], r)
	}
	var group sync.WaitGroup
	for shard, records := range byShard {
		group.Go(func() { s.sendShard(shard, records) })
	}
	group.Wait()
}

// sendShard sends records to the collector of their shard, or to the next one. If none takes
// them, this instance collects them.
func (s *storedRecords) sendShard(shard origin.Shard, records []origin.Record) {
	message := &pb.OriginRecords{}
	for _, r := range records {
		message.Records = append(message.Records, encodeRecord(r))
	}
	for _, i := range s.collectors(shard) {
		if i.Name == s.opts.Name {
			break
		}
		err := s.opts.Peers.Call(i.PeerAddress, frame.CollectOrigins, message, &pb.OriginReply{}, recordTimeout)
		if err == nil {
			return
		}
		event.NodeSideCallFailed.Log(s.opts.Log, "what", "records of streams", "to", i.Name, "error", err)
	}
	s.collect(records)
}

// collectors returns the instances that should collect the records of a shard, this one
// included, in order.
func (s *storedRecords) collectors(shard origin.Shard) []*gossip.Instance {
	all := origin.Holders(s.opts.Live(), s.opts.Region, shard.HolderKey(), collectorRole, knowsLogs)
	return all[:min(len(all), maxCollectors)]
}

// collect keeps records until they are written.
func (s *storedRecords) collect(records []origin.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range records {
		if s.waiting >= maxUnwritten {
			s.dropped.Inc(1)
			continue
		}
		shard := origin.ShardOf(r.Key, s.shards)
		s.unwritten[shard] = append(s.unwritten[shard], r)
		s.waiting++
	}
	s.signal()
}

// ServeCollect collects the records that a peer sends.
func (k *Keeper) ServeCollect(message []byte) proto.Message {
	m := &pb.OriginRecords{}
	if err := proto.Unmarshal(message, m); err != nil {
		event.NodeMessageInvalid.Log(k.opts.Log, "what", "records of streams", "from", "", "error", err)
		return &pb.OriginReply{}
	}
	records := make([]origin.Record, 0, len(m.Records))
	for _, r := range m.Records {
		if record := decodeRecord(r); record.IsValid() {
			records = append(records, record)
		}
	}
	k.stored.collect(records)
	return &pb.OriginReply{}
}

// write writes the collected records. Those that the store does not take wait for the next
// write.
func (s *storedRecords) write() error {
	for {
		batches := s.takeBatches()
		if len(batches) == 0 {
			return nil
		}
		if err := s.writeBatches(batches); err != nil {
			for _, b := range batches {
				s.collect(b.Records)
			}
			return err
		}
	}
}

// takeBatches takes the collected records of as many shards as one write can hold.
func (s *storedRecords) takeBatches() []platform.RecordBatch {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []platform.RecordBatch
	for shard, records := range s.unwritten {
		if len(out) == platform.MaxTxnEntries {
			break
		}
		out = append(out, platform.RecordBatch{Shard: shard, Records: records})
		s.waiting -= len(records)
		delete(s.unwritten, shard)
	}
	return out
}

func (s *storedRecords) writeBatches(batches []platform.RecordBatch) error {
	if s.lease.id == 0 || s.opts.Now() >= s.lease.until {
		id, err := s.opts.Store.GrantRecordsLease()
		if err != nil {
			return err
		}
		s.lease = recordsLease{id, s.opts.Now() + platform.RecordsLeaseUse}
	}
	s.writes++
	name := platform.StreamRecordsName(s.opts.Name, s.opts.Incarnation, s.writes)
	err := s.opts.Store.WriteStreamRecords(name, batches, s.lease.id)
	if errors.Is(err, platform.ErrNoLease) {
		s.lease = recordsLease{}
	}
	if err != nil {
		return err
	}
	for _, b := range batches {
		s.written.Inc(int64(len(b.Records)))
	}
	return nil
}

// search looks for the record of a stream in the store: the first collector of its shard that
// can does so, or else this instance.
func (s *storedRecords) search(ctx context.Context, t TakeUp) (origin.Record, bool) {
	for _, i := range s.collectors(origin.ShardOf(t.Key, s.shards)) {
		if i.Name == s.opts.Name {
			break
		}
		reply := s.keeper.askOne(i, t, true, searchTimeout)
		if reply.GetKnown() {
			return origin.Record{Key: t.Key, Service: reply.Service, Build: reply.Build}, true
		}
		if reply.GetSearched() || ctx.Err() != nil {
			return origin.Record{}, false
		}
	}
	r, ok, _ := s.readShard(ctx, t.Key)
	return r, ok
}

// readShard reads the shard of a stream from the store and returns the stream's record.
// searched reports whether the store has answered.
func (s *storedRecords) readShard(ctx context.Context, key origin.Key) (r origin.Record, ok, searched bool) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	records, err := s.searchOf(origin.ShardOf(key, s.shards)).get(ctx)
	if r, ok = records[key]; ok {
		s.keeper.table.put(s.opts.Now(), r)
		r, ok = s.keeper.table.get(s.opts.Now(), key) // not if another build is known as well
	}
	return r, ok, err == nil
}

// searchOf returns the shared reads of a shard.
func (s *storedRecords) searchOf(shard origin.Shard) *freshReads[shardRecords] {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.searches[shard]
	if f == nil {
		read := func() (shardRecords, error) { return s.read(shard) }
		f = &freshReads[shardRecords]{read: read, gap: s.keeper.readGap, now: s.opts.Now}
		s.searches[shard] = f
	}
	return f
}

// read reads the records of a shard.
func (s *storedRecords) read(shard origin.Shard) (shardRecords, error) {
	s.searched.Inc(1)
	records, err := s.opts.Store.StreamRecords(shard)
	if err != nil {
		event.NodeSideCallFailed.Log(s.opts.Log, "what", "records of streams", "to", "store", "error", err)
		return nil, err
	}
	out := make(shardRecords, len(records))
	ambiguous := make(map[origin.Key]bool)
	for _, r := range records {
		if old, known := out[r.Key]; known && old != r {
			ambiguous[r.Key] = true
		}
		out[r.Key] = r
	}
	for key := range ambiguous {
		delete(out, key)
	}
	return out, nil
}
