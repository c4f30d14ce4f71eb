package slotlease

import (
	"context"
	"net"
	"testing"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	metrics "github.com/rcrowley/go-metrics"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/gossip"
	"quinceroad/protocol/frame"
	"quinceroad/transport/link"
)

func freeAddress(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// BenchmarkRemoteLease measures a lease from another instance over a link: its time, and the
// bytes that both sides send.
func BenchmarkRemoteLease(b *testing.B) {
	var grantor *Service
	serve := func(_ frame.Kind, first []byte, stream net.Conn) { grantor.Serve(first, stream) }
	var ignored, traffic link.Traffic
	address := freeAddress(b)
	server, err := link.Listen(address, serve, &ignored)
	if err != nil {
		b.Fatal(err)
	}
	defer server.Stop()
	instances := []gossip.Instance{{Name: "grantor", PeerAddress: address}}
	start := time.Now()
	service := func(name string) *Service {
		return New(Options{
			Name: name, Now: func() time.Duration { return time.Since(start) }, Peers: link.NewPool(&traffic), Log: hclog.NewNullLogger(), Registry: metrics.NewRegistry(),
			Grantors: func(string) []gossip.Instance { return instances }, LiveCount: func() int { return 2 },
		})
	}
	grantor = service("grantor")
	sender := service("sender")
	ask := advisory.SlotAsk{Incarnation: "i-4cdf912808@1764803781000", Tolerated: 3, Slots: 4096, Hold: 2 * time.Second, MaxWait: 2 * time.Second}
	lease, _, err := sender.Acquire(context.Background(), ask, 0)
	for ; err == nil && lease == nil; lease, _, err = sender.Acquire(context.Background(), ask, 0) {
	}
	if err != nil {
		b.Fatal(err)
	}
	r := metrics.NewRegistry()
	traffic.Register(r)
	bytes := func() int64 {
		return r.Get("link.in_bytes").(metrics.Gauge).Value() + r.Get("link.out_bytes").(metrics.Gauge).Value()
	}
	before := bytes()
	for b.Loop() {
		lease, _, err := sender.Acquire(context.Background(), ask, 0)
		if err != nil || lease == nil {
			b.Fatal("no lease", err)
		}
		lease.End(advisory.LeaseCompleted)
	}
	b.ReportMetric(float64(bytes()-before)/float64(b.N), "bytes/op")
}
