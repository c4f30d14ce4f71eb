// Package origins keeps which build began a stream, so that a client may take the stream up
// again at any instance, also after the loss of the one that served it, or of all. An instance
// gives the record of a stream to others when the first event arrives (see package origin for
// which), and asks them for the record of a stream that it did not serve. The logs of builds
// (package buildlog) tell for which services a record is needed at all, and for these the
// records are written to the platform's store, too.
//
// Records are soft state. One that is lost costs the stream, as it can't be continued then,
// but never mixes two builds.
package origins

import (
	"context"
	"sync/atomic"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/buildlog"
	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/origin"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	recordTimeout = 300 * time.Millisecond // for a peer to take a record; then another peer gets it
	findTimeout   = 250 * time.Millisecond // for peers to answer from memory; a fraction of the time for which clients wait
	storeTimeout  = 1 * time.Second        // for the store to answer, itself or through a peer
	maxFindTime   = 2 * time.Second        // until a stream of which nothing was found is refused
	maxSending    = 1024                   // records that are being given to peers at a time
	maxFinding    = 256                    // streams whose records are asked for at a time
)

// Keeper holds the records of this instance.
type Keeper struct {
	opts   Options
	table  lockedTable
	logs   *logs
	stored *storedRecords

	sending, finding atomic.Int64 // current numbers

	sent, unsent, found, asked, unknown metrics.Counter
}

// New returns a keeper without records.
func New(o Options) *Keeper {
	counter := func(name string) metrics.Counter {
		return metrics.NewRegisteredCounter("node.origins."+name, o.Registry)
	}
	k := &Keeper{
		opts:    o,
		table:   lockedTable{table: origin.NewTable()},
		sent:    counter("sent"),    // records that a peer has taken
		unsent:  counter("unsent"),  // records of which a copy is missing
		found:   counter("found"),   // streams taken up again whose record was found
		asked:   counter("asked"),   // of the streams taken up again, those for which peers were asked
		unknown: counter("unknown"), // streams taken up again without a record
	}
	k.logs = newLogs(k)
	k.stored = newStoredRecords(k)
	metrics.NewRegisteredFunctionalGauge("node.origins.kept", o.Registry, k.table.len)
	return k
}

// Run keeps the logs of builds up to date and writes records to the store until the context
// ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.stored.run(ctx)
	k.logs.run(ctx)
}

// Expire drops the records whose time is over, and has logs settle. It has to be called every
// few seconds.
func (k *Keeper) Expire() {
	k.table.expire(k.opts.Now())
	k.Refresh()
	k.logs.settle()
}

// Record keeps the record of a stream whose first event has arrived, and gives it to other
// instances without waiting for them.
func (k *Keeper) Record(r origin.Record) {
	k.table.putOwn(k.opts.Now(), r)
	if k.logs.hasSeveral(r.Service) {
		k.stored.send(r)
	}
	candidates := k.candidates(r.Key)
	copies := min(origin.Copies, len(candidates))
	if k.sending.Add(int64(copies)) > maxSending {
		k.sending.Add(int64(-copies))
		k.unsent.Inc(int64(copies))
		return
	}
	var next atomic.Int64
	for range copies {
		go func() {
			defer k.sending.Add(-1)
			k.sendCopy(r, candidates, &next)
		}()
	}
}

// sendCopy gives a record to the next candidate that takes it.
func (k *Keeper) sendCopy(r origin.Record, candidates []*gossip.Instance, next *atomic.Int64) {
	message := encodeRecord(r)
	for {
		i := int(next.Add(1) - 1)
		if i >= len(candidates) {
			k.unsent.Inc(1)
			return
		}
		err := k.opts.Peers.Call(candidates[i].PeerAddress, frame.RecordOrigin, message, &pb.OriginReply{}, recordTimeout)
		if err == nil {
			k.sent.Inc(1)
			return
		}
		event.NodeSideCallFailed.Log(k.opts.Log, "what", "record of a stream's build", "to", candidates[i].Name, "error", err)
	}
}

func encodeRecord(r origin.Record) *pb.OriginRecord {
	return &pb.OriginRecord{Key: uint64(r.Key), Service: r.Service, Build: r.Build}
}

func decodeRecord(m *pb.OriginRecord) origin.Record {
	return origin.Record{Key: origin.Key(m.Key), Service: m.Service, Build: m.Build}
}

// candidates returns the other instances that should hold a record, in order.
func (k *Keeper) candidates(key origin.Key) []*gossip.Instance {
	all := origin.Holders(k.opts.Live(), k.opts.Region, key, holderRole, holdsRecords)
	return k.withoutSelf(all)
}

// withoutSelf returns the other ones of some instances.
func (k *Keeper) withoutSelf(all []*gossip.Instance) []*gossip.Instance {
	out := make([]*gossip.Instance, 0, len(all))
	for _, i := range all {
		if i.Name != k.opts.Name {
			out = append(out, i)
		}
	}
	return out
}

// The roles of the instances that hold records, and of those that collect them for the store.
const (
	holderRole    = "origins"
	collectorRole = "stored origins"
)

// holdsRecords reports whether an instance's build knows records of streams.
func holdsRecords(i *gossip.Instance) bool { return i.Level >= featurelevel.StreamOrigins }

// knowsLogs reports whether an instance's build knows logs of builds.
func knowsLogs(i *gossip.Instance) bool { return i.Level >= featurelevel.BuildLogs }

// hasOlderPeers reports whether a live instance begins streams without the logs of builds.
func (k *Keeper) hasOlderPeers() bool {
	live := k.opts.Live()
	return live.Derive(olderPeersKey{}, func() any {
		for i := range live.Instances {
			if !knowsLogs(&live.Instances[i]) {
				return true
			}
		}
		return false
	}).(bool)
}

// olderPeersKey is the key of what live instances determine about older ones.
type olderPeersKey struct{}

// TakeUp identifies a stream that a client takes up again.
type TakeUp struct {
	Key     origin.Key // of the record
	IsNamed bool       // the client names the request that brought the first event, so that the key can be known
	Service string     // to which the client's new request goes
	Route   buildlog.Route
}

// Find tells which build began a stream that a client takes up again.
func (k *Keeper) Find(ctx context.Context, t TakeUp) origin.Verdict {
	ctx, cancel := context.WithTimeout(ctx, maxFindTime)
	defer cancel()
	v := k.find(ctx, t)
	if _, known := v.Record(); !known {
		k.unknown.Inc(1)
	} else if v.Grounds() != origin.OnlyBuild {
		k.found.Inc(1)
	}
	return v
}

func (k *Keeper) find(ctx context.Context, t TakeUp) origin.Verdict {
	peers := origin.Verdict{}
	if t.IsNamed {
		if r, ok := k.table.get(k.opts.Now(), t.Key); ok {
			return origin.KnownBy(origin.OwnRecord, r)
		}
		if peers = k.ask(ctx, t); peers.IsKnown() {
			return peers
		}
	}
	return k.findStored(ctx, t).WithPeers(peers.Peers())
}

// findStored tells what the store proves. If the log is known to name several builds, only a
// record does; a log loses builds after hours, so what is known of it is not outdated then.
func (k *Keeper) findStored(ctx context.Context, t TakeUp) origin.Verdict {
	isSearched := t.IsNamed && k.logs.knowsSeveral(t.Service)
	if isSearched {
		if r, ok := k.stored.search(ctx, t); ok {
			return origin.KnownBy(origin.StoredRecord, r)
		}
	}
	verdict := k.findByLog(ctx, t)
	if verdict.IsKnown() || isSearched || !t.IsNamed || verdict.Grounds() == origin.Unread {
		return verdict
	}
	if r, ok := k.stored.search(ctx, t); ok {
		return origin.KnownBy(origin.StoredRecord, r)
	}
	return verdict
}

// findByLog tells what the logs prove. They are read for each stream, as whatever this instance
// knew of them before may be outdated.
func (k *Keeper) findByLog(ctx context.Context, t TakeUp) origin.Verdict {
	logs, err := k.logs.readFresh(ctx)
	if err != nil {
		return origin.Unknown(origin.Unread)
	}
	if k.hasOlderPeers() {
		return origin.Unknown(origin.Uncovered)
	}
	build, sole := logs.Sole(t.Service, t.Route)
	if !sole {
		return origin.Unknown(origin.Several)
	}
	return origin.KnownBy(origin.OnlyBuild, origin.Record{Key: t.Key, Service: t.Service, Build: build})
}

// ask asks the instances that may hold a record, all at once, until one of them has it.
func (k *Keeper) ask(ctx context.Context, t TakeUp) origin.Verdict {
	k.asked.Inc(1)
	defer k.finding.Add(-1)
	if k.finding.Add(1) > maxFinding {
		return origin.Unknown(origin.NoRecord)
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	candidates := k.candidates(t.Key)
	replies := make(chan *pb.OriginReply, len(candidates))
	for _, i := range candidates {
		go func() { replies <- k.askOne(i, t, false, findTimeout) }()
	}
	answered := 0
	for range candidates {
		select {
		case reply := <-replies:
			if reply != nil {
				answered++
			}
			if reply.GetKnown() {
				r := origin.Record{Key: t.Key, Service: reply.Service, Build: reply.Build}
				return origin.KnownBy(origin.PeersRecord, r).WithPeers(len(candidates), answered)
			}
		case <-ctx.Done():
			return origin.Unknown(origin.NoRecord).WithPeers(len(candidates), answered)
		}
	}
	return origin.Unknown(origin.NoRecord).WithPeers(len(candidates), answered)
}

// askOne asks an instance for a record, and to look into the store for it if stored is set. It
// returns nil if the instance did not answer.
func (k *Keeper) askOne(i *gossip.Instance, t TakeUp, stored bool, timeout time.Duration) *pb.OriginReply {
	reply := &pb.OriginReply{}
	ask := &pb.OriginAsk{Key: uint64(t.Key), Service: t.Service, Stored: stored}
	if err := k.opts.Peers.Call(i.PeerAddress, frame.FindOrigin, ask, reply, timeout); err != nil {
		event.NodeSideCallFailed.Log(k.opts.Log, "what", "query for a stream's build", "to", i.Name, "error", err)
		return nil
	}
	return reply
}

// ServeRecord keeps a record that a peer sends.
func (k *Keeper) ServeRecord(message []byte) proto.Message {
	m := &pb.OriginRecord{}
	if err := proto.Unmarshal(message, m); err != nil || !k.table.put(k.opts.Now(), decodeRecord(m)) {
		event.NodeMessageInvalid.Log(k.opts.Log, "what", "record of a stream's build", "from", "", "error", err)
	}
	return &pb.OriginReply{}
}

// ServeFind answers a peer that asks for a record.
func (k *Keeper) ServeFind(message []byte) proto.Message {
	m := &pb.OriginAsk{}
	if err := proto.Unmarshal(message, m); err != nil {
		event.NodeMessageInvalid.Log(k.opts.Log, "what", "query for a stream's build", "from", "", "error", err)
		return &pb.OriginReply{}
	}
	key := origin.Key(m.Key)
	r, ok := k.table.get(k.opts.Now(), key)
	searched := false
	if !ok && m.Stored {
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		defer cancel()
		r, ok, searched = k.stored.readShard(ctx, key)
	}
	if !ok {
		// An instance without logs of builds takes "not several" for a proof of one build.
		return &pb.OriginReply{Several: true, Searched: searched}
	}
	return &pb.OriginReply{Known: true, Service: r.Service, Build: r.Build}
}
