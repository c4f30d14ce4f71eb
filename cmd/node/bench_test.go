package node

import (
	"fmt"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"

	"quinceroad/coordination/changes"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/regions"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
	"quinceroad/transport/datagram"
)

// fleetNode returns a node with a view of the given numbers of instances and
// replicas.
func fleetNode(b testing.TB, instances, replicas int) *Node {
	n := New(&platform.Settings{Name: "n", Hall: "hall-0", StoreAddress: "127.0.0.1:1"}, hclog.NewNullLogger())
	for i := range instances - 1 {
		n.members.Merge(n.now(), gossip.Instance{
			Name: fmt.Sprintf("edge-hall-%d-%d", i%9, i), Hall: fmt.Sprintf("hall-%d", i%9), Incarnation: uint64(time.Now().UnixNano()), HeartbeatCount: 100,
			ClientAddress: fmt.Sprintf("10.%d.0.%d:8625", i%9, i), PeerAddress: fmt.Sprintf("10.%d.0.%d:7740", i%9, i), HeartbeatAddress: fmt.Sprintf("10.%d.0.%d:7741", i%9, i), CPUShare: 400,
		})
	}
	entries := make(map[string][]byte, replicas)
	for i := range replicas {
		entries[fmt.Sprintf("i-%08x", i)] = replicaEntry(b, &catalog.Replica{
			Service: fmt.Sprint("s", i%17), Address: fmt.Sprintf("10.1.64.%d:8080", i%250), Hall: fmt.Sprint("hall-", i%9), Version: "v1", Slots: 8,
		})
	}
	n.config = benchmarkConfiguration()
	n.replicas.divided = true
	n.replicas.changeLog.Replace(0, entries, pointAt(100))
	n.publishSnapshot()
	return n
}

// benchmarkConfiguration returns a configuration of 17 services: eight pools, five services
// of engines, four plain ones.
func benchmarkConfiguration() *catalog.Configuration {
	c := &catalog.Configuration{Version: 1, Services: make(map[string]*catalog.Service)}
	for i := range 17 {
		s := &catalog.Service{Name: fmt.Sprint("s", i)}
		switch {
		case i < 8:
			s.Pool = &catalog.Pool{Slots: 1, MaxBatch: 8, BatchTime: time.Millisecond, ItemTime: time.Millisecond, ResultMemory: 1 << 20, ResultTTL: time.Second}
		case i < 13:
			s.Engine = &catalog.Engine{Slots: 8, MemoryTokens: 1000}
		}
		c.Services[s.Name] = s
	}
	return c
}

// heartbeatOf returns a heartbeat with a gossip message and nothing else.
func heartbeatOf(m gossip.Message) *pb.Heartbeat {
	h := &pb.Heartbeat{}
	for _, i := range m.Entries {
		h.News = append(h.News, encodeInstance(i))
	}
	for _, beat := range m.Heartbeats {
		h.Keys = append(h.Keys, beat.Key)
		h.Counts = append(h.Counts, beat.Count)
	}
	return h
}

// BenchmarkHeartbeat measures one gossip round: choosing the targets and the
// entries, and encoding the message. A node makes five rounds a second and sends
// each message to four others.
func BenchmarkHeartbeat(b *testing.B) {
	for _, instances := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			n := fleetNode(b, instances, 0)
			size, now := 0, n.now() // a fixed time keeps the others alive
			for b.Loop() {
				_, m := n.members.Round(now, newRandom())
				data, err := datagram.Encode(heartbeatOf(m))
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "bytes/message")
		})
	}
}

// BenchmarkReplicaChange measures one change of the replica list that an instance
// receives from a peer, at an instance that owns the cell of the replica.
func BenchmarkReplicaChange(b *testing.B) {
	for _, replicas := range []int{600, 10000, 20000} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			n := fleetNode(b, 6, replicas)
			cell, _ := n.snapshot.Load().cellOfReplica("i-00000001")
			n.owner.cell(cell).prepare()
			b.ReportAllocs()
			at := uint64(100)
			for b.Loop() {
				at++
				value := replicaEntry(b, &catalog.Replica{Service: "s1", Address: "10.1.64.1:8080", Hall: "hall-1", Version: "v1", Slots: int(at%7 + 1)})
				n.replicas.changeLog.ApplyUpdate(n.now(), changes.Update{At: pointAt(at), LastChange: pointAt(at), Entries: []changes.Entry{{ID: "i-00000001", Value: value, Revision: at}}})
				n.publishSnapshot()
			}
		})
	}
}

// BenchmarkOwner measures how a request finds the owner of its cell.
func BenchmarkOwner(b *testing.B) {
	for _, instances := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			n := fleetNode(b, instances, 0)
			req := &stagesRequest{ask: &pb.StagesAsk{Cell: 3}, allowedRegions: func() regions.Allowed { return regions.Allowed{} }}
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := n.nextOwner(req, nil); !ok {
					b.Fatal("no owner")
				}
			}
		})
	}
}

// BenchmarkAddresses measures an answer to a client that resolves addresses.
func BenchmarkAddresses(b *testing.B) {
	for _, instances := range []int{100, 1000, 2000} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			n := fleetNode(b, instances, 0)
			c := addressClient{hall: "hall-1", name: "10.9.0.1"}
			b.ReportAllocs()
			for b.Loop() {
				if len(selectAddresses(n.live(), c)) == 0 {
					b.Fatal("no addresses")
				}
			}
		})
	}
}

// replicaEntry returns a replica's entry as in the store.
func replicaEntry(t testing.TB, r *catalog.Replica) []byte {
	t.Helper()
	value, err := platform.FormatReplica(r, 4)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// BenchmarkListLoad measures how an instance that has just started takes over the list of
// replicas.
func BenchmarkListLoad(b *testing.B) {
	for _, replicas := range []int{600, 10000} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			from := fleetNode(b, 6, replicas)
			update := from.replicas.changeLog.UpdateSince(pointAt(0))
			b.ReportAllocs()
			for b.Loop() {
				n := fleetNode(b, 6, 0)
				n.replicas.changeLog.ApplyUpdate(n.now(), update)
				n.publishSnapshot()
			}
		})
	}
}

// BenchmarkListGrowth measures how an instance follows the list of replicas while it grows
// to 10,000 after a start of all, and then divides it among cells.
func BenchmarkListGrowth(b *testing.B) {
	const batches, batch = 22, 450
	services := []string{"s8", "s8", "s8", "s8", "s0", "s1", "s2"}
	var entries []changes.Entry
	for i := range batches * batch {
		value := replicaEntry(b, &catalog.Replica{Service: services[i%len(services)], Address: fmt.Sprintf("10.1.%d.%d:8080", i/250, i%250), Hall: fmt.Sprint("hall-", i%9), Version: "v1", Slots: 8})
		entries = append(entries, changes.Entry{ID: fmt.Sprintf("i-%08x", i), Revision: uint64(i + 2), Value: value})
	}
	b.ReportAllocs()
	for b.Loop() {
		n := fleetNode(b, 6, 0)
		n.replicas.divided = false
		n.replicas.changeLog.Replace(0, map[string][]byte{}, pointAt(1))
		n.publishSnapshot()
		for at := 0; at < len(entries); at += batch {
			last := entries[at+batch-1].Revision
			n.replicas.changeLog.ApplyUpdate(n.now(), changes.Update{At: pointAt(last), LastChange: pointAt(last), Entries: entries[at : at+batch]})
			n.publishSnapshot()
		}
		n.dividedSnapshot()
	}
}
