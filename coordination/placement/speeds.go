package placement

import (
	"time"

	"quinceroad/coordination/speed"
	"quinceroad/state/catalog"
)

// serviceSpeed returns the speed estimator of a service's engines.
func (p *Placer) serviceSpeed(service string) *speed.ServiceEstimator {
	s := p.speeds[service]
	if s == nil {
		s = speed.New(p.opts.Speed)
		p.speeds[service] = s
	}
	return s
}

// Speeds returns the speed estimators by service.
func (p *Placer) Speeds() map[string]*speed.ServiceEstimator { return p.speeds }

// SeedSpeed uses the estimate of peers for a service while the placer has few
// observations of its own, and reports whether it did.
func (p *Placer) SeedSpeed(now time.Duration, service string, e speed.Estimate) bool {
	return p.serviceSpeed(service).Seed(now, e)
}

// TimeToFirstEvent returns the expected time from the end of a request's
// earlier stages to its first event on the chosen engine, as a high quantile of
// requests with the same prefill and transfer. Current prefills are ignored, as
// they will have ended by then.
func (p *Placer) TimeToFirstEvent(r *Request, c Choice) time.Duration {
	e := p.engines[c.Replica.ID]
	if e == nil {
		return p.serviceSpeed(r.Service).UpperBound(r.promptTokens())
	}
	return e.speed.UpperBound(c.PrefillTokens) + e.transferTime(c.TransferTokens)
}

// promptTokens returns the length of a request's prompt.
func (r *Request) promptTokens() int {
	n := 0
	for _, p := range r.Parts {
		n += p.Tokens
	}
	return n
}

// baseTime returns the engine's typical time to first event for an empty
// prompt.
func (e *engine) baseTime() time.Duration {
	return time.Duration(float64(e.speed.Median(0)) * e.speed.Factor(&e.replicaSpeed))
}

// prefillTime returns the typical time that an engine needs for the given
// number of prompt tokens, without baseTime.
func (e *engine) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(e.speed.Median(tokens)-e.speed.Median(0)) * e.speed.Factor(&e.replicaSpeed))
}

// transferTime returns the time to fetch the given number of cached tokens.
func (e *engine) transferTime(tokens int) time.Duration {
	return time.Duration(tokens) * e.transferPerToken
}

// pendingPrefill estimates the tokens that an engine still has to prefill.
func (e *engine) pendingPrefill(now time.Duration) int {
	perToken := float64(e.speed.Estimate().Median.PerToken) * e.speed.Factor(&e.replicaSpeed)
	return int(float64(max(e.busyUntil-now, 0)) / max(perToken, 1))
}

// transferTimePerToken returns the time to transfer one token over the engines'
// configured links.
func transferTimePerToken(e *catalog.Engine) time.Duration {
	if e.LinkMbps <= 0 {
		return defaultTransferPerToken
	}
	const bitsPerByte, nanosPerMicro = 8, 1e3 // 1 Mbit/s is 1 bit per microsecond
	return time.Duration(float64(e.BytesPerToken) * bitsPerByte / e.LinkMbps * nanosPerMicro)
}

// defaultTransferPerToken is the time to transfer one token if the
// configuration states no link bandwidth.
const defaultTransferPerToken = 9 * time.Microsecond
