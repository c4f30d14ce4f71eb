package link

import metrics "github.com/rcrowley/go-metrics"

// Register shows the traffic among a process's metrics.
func (t *Traffic) Register(r metrics.Registry) {
	metrics.NewRegisteredFunctionalGauge("link.in_bytes", r, t.In.Load)
	metrics.NewRegisteredFunctionalGauge("link.out_bytes", r, t.Out.Load)
}
