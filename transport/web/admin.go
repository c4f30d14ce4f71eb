package web

import (
	"bytes"
	"fmt"
	"strings"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"
)

// Admin provides what a process serves on its admin listener.
type Admin struct {
	Registry           metrics.Registry
	Ready              func() error                   // returns nil when the process may receive requests
	State              func() any                     // returns a consistent dump without secrets
	ReleaseQuarantined func(fingerprint string) error // releases a quarantined request; nil in processes without a quarantine
}

// Handler serves /healthz, /readyz, /metrics, /debug/state, /debug/pprof/ and
// POST /debug/acquit.
func (a *Admin) Handler(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/debug/pprof/") {
		pprofhandler.PprofHandler(ctx)
		return
	}
	switch path {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		if err := a.Ready(); err != nil {
			ctx.SetStatusCode(503)
			ctx.SetBodyString(err.Error() + "\n")
			return
		}
		ctx.SetBodyString("ready\n")
	case "/metrics":
		ctx.SetContentType("text/plain; version=0.0.4")
		ctx.SetBody(exportMetrics(a.Registry))
	case "/debug/state":
		JSON(ctx, 200, a.State())
	case "/debug/acquit":
		a.handleRelease(ctx)
	default:
		ctx.SetStatusCode(404)
		ctx.SetBodyString("have /healthz /readyz /metrics /debug/state /debug/pprof/\n")
	}
}

func (a *Admin) handleRelease(ctx *fasthttp.RequestCtx) {
	if a.ReleaseQuarantined == nil || !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if err := a.ReleaseQuarantined(string(ctx.QueryArgs().Peek("fingerprint"))); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error() + "\n")
	}
}

// exportMetrics returns the registry in the Prometheus text format.
func exportMetrics(r metrics.Registry) []byte {
	var b bytes.Buffer
	r.Each(func(name string, m any) {
		name = "quince_" + strings.ReplaceAll(name, ".", "_")
		switch m := m.(type) {
		case metrics.Counter:
			fmt.Fprintf(&b, "%s_total %d\n", name, m.Count())
		case metrics.Gauge:
			fmt.Fprintf(&b, "%s %d\n", name, m.Value())
		case metrics.GaugeFloat64:
			fmt.Fprintf(&b, "%s %g\n", name, m.Value())
		case metrics.Histogram:
			s := m.Snapshot()
			for _, q := range []float64{0.5, 0.95, 0.99} {
				fmt.Fprintf(&b, "%s{quantile=\"%g\"} %g\n", name, q, s.Percentile(q))
			}
			fmt.Fprintf(&b, "%s_count %d\n", name, s.Count())
		}
	})
	return b.Bytes()
}
