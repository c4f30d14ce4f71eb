package placement

import "time"

// run is a request running on an engine.
type run struct {
	engine        *engine
	startedAt     time.Duration
	transfer      time.Duration // estimated time to fetch cached parts
	prefillTokens int           // tokens prefilled before its first event, including those queued ahead of it
	outputTokens  int           // expected
	warming       bool          // whether the engine was warming when the request started
	hasFirstEvent bool
	firstEventAt  time.Duration // valid if hasFirstEvent
	replicaEnds   int           // Request.ReplicaEnds
}

// Begin records the start of a request on its engine. Its prompt counts as cached
// there from now on.
func (p *Placer) Begin(now time.Duration, r *Request, c Choice) {
	e := p.engines[c.Replica.ID]
	if e == nil {
		return
	}
	o := &p.opts
	keys := prefixKeys(r.Parts)
	for i, p := range r.Parts {
		e.cachePart(now, keys[i], p.Tokens)
	}
	e.evict(int(float64(e.memory) * o.CacheShare))
	n := &run{
		engine: e, startedAt: now, transfer: e.transferTime(c.TransferTokens), prefillTokens: c.PrefillTokens + e.pendingPrefill(now), outputTokens: r.OutputTokens,
		warming: now < e.WarmingUntil, replicaEnds: r.ReplicaEnds,
	}
	e.countSuspect(n.replicaEnds, 1)
	prefill := e.prefillTime(c.PrefillTokens)
	e.busyUntil = max(e.busyUntil, now) + prefill
	e.prefillShare = e.decayedPrefillShare(now, o) + prefill.Seconds()/o.PrefillShareWindow.Seconds()
	e.prefilling++
	if e.warmUpRate > 0 && n.warming {
		p.warmUpSends.Record(now, e.ID)
	}
	if p.grants != nil && p.grants.HasLimits() {
		p.grants.Consume(now, e.ID)
	}
	p.runs[r.ID] = n
}

// countSuspect adds delta to the engine's suspect and trial counts, as far as
// they apply to a request during which that many replicas ended.
func (e *engine) countSuspect(replicaEnds, delta int) {
	if replicaEnds > 0 {
		e.suspects += delta
	}
	if replicaEnds >= TrialThreshold {
		e.trials += delta
	}
}

// FirstEvent records a request's first event, which ends its prefill.
func (p *Placer) FirstEvent(now time.Duration, id uint64) {
	r := p.runs[id]
	if r == nil || r.hasFirstEvent {
		return
	}
	r.hasFirstEvent, r.firstEventAt = true, now
	e := r.engine
	e.prefilling--
	e.generating++
	if e.prefilling == 0 {
		e.busyUntil = now
	}
	e.speed.Observe(now, &e.replicaSpeed, r.prefillTokens, now-r.startedAt-r.transfer, r.warming)
}

// End records the end of a request, successful or not.
func (p *Placer) End(now time.Duration, id uint64) {
	r := p.runs[id]
	if r == nil {
		return
	}
	delete(p.runs, id)
	r.engine.countSuspect(r.replicaEnds, -1)
	if r.hasFirstEvent {
		r.engine.generating--
		r.engine.speed.ObserveGeneration(r.outputTokens, now-r.firstEventAt)
		return
	}
	r.engine.prefilling--
	if r.engine.prefilling == 0 {
		r.engine.busyUntil = now
	}
}

// Running returns the number of running requests.
func (p *Placer) Running() int { return len(p.runs) }
