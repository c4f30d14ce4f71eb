package node

import (
	"fmt"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"

	"quinceroad/coordination/changes"
	"quinceroad/coordination/gossip"
	"quinceroad/platform"
	"quinceroad/protocol/pb"
	"quinceroad/transport/datagram"
)

// fleetNode returns a node that knows of so many instances and replicas.
func fleetNode(instances, replicas int) *Node {
	n := New(&platform.Settings{Name: "n", Hall: "hall-0", Store: "127.0.0.1:1"}, hclog.NewNullLogger())
	for i := range instances - 1 {
		n.members.Merge(n.now(), gossip.Instance{
			Name: fmt.Sprintf("edge-hall-%d-%d", i%9, i), Hall: fmt.Sprintf("hall-%d", i%9), Incarnation: uint64(time.Now().UnixNano()), Count: 100,
			Front: fmt.Sprintf("10.%d.0.%d:8625", i%9, i), Link: fmt.Sprintf("10.%d.0.%d:7740", i%9, i), Datagram: fmt.Sprintf("10.%d.0.%d:7741", i%9, i), Share: 400,
		})
	}
	rows := make(map[string][]byte, replicas)
	for i := range replicas {
		rows[fmt.Sprintf("i-%08x", i)] = fmt.Appendf(nil, `{"service":"s%d","address":"10.1.64.%d:8080","zone":"hall-%d","version":"v1","slots":8,"state":"ready","warmup_left_ms":0,"sequence":4}`, i%17, i%250, i%9)
	}
	n.replicas.log.Replace(rows, 100)
	n.publish()
	return n
}

// heartbeatOf is a heartbeat that tells nothing of replicas.
func heartbeatOf(m gossip.Message) *pb.Heartbeat {
	h := &pb.Heartbeat{}
	for _, i := range m.News {
		h.News = append(h.News, newsOf(i))
	}
	for _, beat := range m.Beats {
		h.Keys = append(h.Keys, beat.Key)
		h.Counts = append(h.Counts, beat.Count)
	}
	return h
}

// BenchmarkHeartbeat is one round: whom to tell, what, and its bytes. A node
// makes five rounds a second and sends each to four others.
func BenchmarkHeartbeat(b *testing.B) {
	for _, instances := range []int{6, 74, 390} {
		b.Run(fmt.Sprint("instances=", instances), func(b *testing.B) {
			n := fleetNode(instances, 0)
			size, now := 0, n.now() // the others stay alive
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

// BenchmarkReplicaChange is one change of the list at an instance that is told
// of it by a peer.
func BenchmarkReplicaChange(b *testing.B) {
	for _, replicas := range []int{30, 145, 600} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			n := fleetNode(6, replicas)
			at := uint64(100)
			for b.Loop() {
				at++
				value := fmt.Appendf(nil, `{"service":"s1","address":"10.1.64.1:8080","zone":"hall-1","version":"v1","slots":%d,"state":"ready","warmup_left_ms":0,"sequence":4}`, at%7+1)
				n.replicas.log.Take(changes.Answer{At: at, Changed: at, Entries: []changes.Entry{{ID: "i-00000001", Value: value, Revision: at}}})
				n.publish()
			}
		})
	}
}
