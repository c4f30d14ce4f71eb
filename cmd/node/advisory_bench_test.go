package node

import (
	"fmt"
	"testing"

	hclog "github.com/hashicorp/go-hclog"
	"github.com/valyala/fasthttp"

	"quinceroad/coordination/advisory"
	"quinceroad/coordination/pace"
	"quinceroad/platform"
)

// BenchmarkAnswerHead measures the cost of reading an answer's headers while no
// replica has an advisory in force.
func BenchmarkAnswerHead(b *testing.B) {
	n := New(&platform.Settings{Name: "n1", Hall: "h1"}, hclog.NewNullLogger())
	var h fasthttp.ResponseHeader
	h.SetStatusCode(fasthttp.StatusOK)
	for name, value := range map[string]string{
		platform.HeaderRequestID: "9c41d07be2a35f68", "Content-Type": "text/event-stream", "Date": "Thu, 01 Jan 2026 00:00:00 GMT",
		"Keep-Alive": "timeout=6", "Cache-Control": "no-store", "Vary": "Accept",
	} {
		h.Set(name, value)
	}
	from := answerSource{incarnation: "i-7f3a91c2", service: "s"}
	b.ReportAllocs()
	for b.Loop() {
		n.recordAnswerHead(from, advisory.Attempt{}, &h)
	}
}

// BenchmarkSweepLimits measures one sweep of the rate limits, of which there are
// five a second, while a fifth of a large fleet's replicas state limits.
func BenchmarkSweepLimits(b *testing.B) {
	n := fleetNode(b, 295, 287)
	for i := range 57 {
		n.recordLimit(pace.Report{Incarnation: fmt.Sprintf("i-%08x", i), Limit: pace.Limit{PerSecond: 1, Stated: true}}, "peer")
	}
	b.ReportAllocs()
	for b.Loop() {
		n.sweepLimits()
	}
}
