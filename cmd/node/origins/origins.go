// Package origins keeps which build began a stream, so that a client may take the stream up
// again at any instance, also after the loss of the one that served it. An instance gives the
// record of a stream to others when the first event arrives (see package origin for which),
// and asks them for the record of a stream that it did not serve.
//
// Records are soft state. One that is lost costs the stream, as it can't be continued then,
// but never mixes two builds.
package origins

import (
	"context"
	"sync/atomic"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"quinceroad/coordination/featurelevel"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/origin"
	"quinceroad/protocol/event"
	"quinceroad/protocol/frame"
	"quinceroad/protocol/pb"
)

const (
	recordTimeout = 300 * time.Millisecond // for a peer to take a record; then another peer gets it
	findTimeout   = 250 * time.Millisecond // for peers to answer; a fraction of the time for which clients wait
	maxSending    = 1024                   // records that are being given to peers at a time
	maxFinding    = 256                    // streams whose records are asked for at a time
)

// Peers makes calls to other instances.
type Peers interface {
	Call(address string, k frame.Kind, request, reply proto.Message, timeout time.Duration) error
}

// Options are what a Keeper uses of its instance.
type Options struct {
	Name     string // of this instance
	Region   string
	Now      func() time.Duration
	Live     func() *gossip.Live
	Peers    Peers
	Log      hclog.Logger
	Registry metrics.Registry
	// HasSeveralBuilds reports whether the replicas of a service have had several builds
	// lately.
	HasSeveralBuilds func(service string) bool
}

// Keeper holds the records of this instance.
type Keeper struct {
	opts  Options
	table lockedTable

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
	metrics.NewRegisteredFunctionalGauge("node.origins.kept", o.Registry, k.table.len)
	return k
}

// Expire drops the records whose time is over.
func (k *Keeper) Expire() { k.table.expire(k.opts.Now()) }

// Record keeps the record of a stream whose first event has arrived, and gives it to other
// instances without waiting for them.
func (k *Keeper) Record(r origin.Record) {
	k.table.put(k.opts.Now(), r)
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
	message := &pb.OriginRecord{Key: uint64(r.Key), Service: r.Service, Build: r.Build}
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

// candidates returns the other instances that should hold a record, in order.
func (k *Keeper) candidates(key origin.Key) []*gossip.Instance {
	all := origin.Holders(k.opts.Live(), k.opts.Region, key, holderRole, holdsRecords)
	out := make([]*gossip.Instance, 0, len(all))
	for _, i := range all {
		if i.Name != k.opts.Name {
			out = append(out, i)
		}
	}
	return out
}

// holderRole is the role of the instances that hold records.
const holderRole = "origins"

// holdsRecords reports whether an instance's build knows records of streams.
func holdsRecords(i *gossip.Instance) bool { return i.Level >= featurelevel.StreamOrigins }

// Finding is what a search for the record of a stream has found.
type Finding struct {
	Record          origin.Record
	Known           bool // there is a record
	Several         bool // there is none, and the service's replicas have had several builds lately, as far as is known
	Asked, Answered int  // peers that were asked for the record, and of these the ones that answered
}

// Find searches for the record of a stream that a client takes up again.
func (k *Keeper) Find(ctx context.Context, key origin.Key, service string) Finding {
	if r, ok := k.table.get(k.opts.Now(), key); ok {
		k.found.Inc(1)
		return Finding{Record: r, Known: true}
	}
	k.asked.Inc(1)
	f := k.ask(ctx, key, service)
	if f.Known {
		k.found.Inc(1)
		return f
	}
	k.unknown.Inc(1)
	f.Several = f.Several || k.opts.HasSeveralBuilds(service)
	return f
}

// ask asks the instances that may hold a record, all at once, until one of them has it.
func (k *Keeper) ask(ctx context.Context, key origin.Key, service string) (f Finding) {
	defer k.finding.Add(-1)
	if k.finding.Add(1) > maxFinding {
		return Finding{Several: true}
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	candidates := k.candidates(key)
	f.Asked = len(candidates)
	replies := make(chan *pb.OriginReply, len(candidates))
	for _, i := range candidates {
		go func() { replies <- k.askOne(i, key, service) }()
	}
	for range candidates {
		select {
		case reply := <-replies:
			if reply != nil {
				f.Answered++
			}
			if reply.GetKnown() {
				f.Record, f.Known = origin.Record{Key: key, Service: reply.Service, Build: reply.Build}, true
				return f
			}
			f.Several = f.Several || reply.GetSeveral()
		case <-ctx.Done():
			return f
		}
	}
	return f
}

// askOne asks an instance for a record. It returns nil if the instance did not answer.
func (k *Keeper) askOne(i *gossip.Instance, key origin.Key, service string) *pb.OriginReply {
	reply := &pb.OriginReply{}
	if err := k.opts.Peers.Call(i.PeerAddress, frame.FindOrigin, &pb.OriginAsk{Key: uint64(key), Service: service}, reply, findTimeout); err != nil {
		event.NodeSideCallFailed.Log(k.opts.Log, "what", "query for a stream's build", "to", i.Name, "error", err)
		return nil
	}
	return reply
}

// ServeRecord keeps a record that a peer sends.
func (k *Keeper) ServeRecord(message []byte) proto.Message {
	m := &pb.OriginRecord{}
	if err := proto.Unmarshal(message, m); err != nil || !k.table.put(k.opts.Now(), origin.Record{Key: origin.Key(m.Key), Service: m.Service, Build: m.Build}) {
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
	r, ok := k.table.get(k.opts.Now(), origin.Key(m.Key))
	if !ok {
		return &pb.OriginReply{Several: k.opts.HasSeveralBuilds(m.Service)}
	}
	return &pb.OriginReply{Known: true, Service: r.Service, Build: r.Build}
}
