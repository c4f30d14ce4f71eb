package placement

import "time"

// run is a request at its engine.
type run struct {
	engine *engine
	began  time.Duration
	moves  time.Duration // of the prompt's parts that are fetched
	reads  int           // tokens before its first event, others' that were there before it included
	out    int           // tokens that it generates, about
	cold   bool          // its engine was when it began
	isRead bool          // its first event has come
	read   time.Duration // when
	ended  int           // replicas that ended under it before
}

// Begin counts a request at its engine and takes its prompt for kept there.
func (t *Table) Begin(now time.Duration, r *Request, c Choice) {
	e := t.engines[c.Replica.ID]
	if e == nil {
		return
	}
	o := &t.opts
	keys := chain(r.Parts)
	for i, p := range r.Parts {
		e.keep(now, keys[i], p.Tokens)
	}
	e.evict(int(float64(e.memory) * o.KeptShare))
	n := &run{
		engine: e, began: now, moves: e.moveTime(c.Moves), reads: c.Reads + e.unread(now), out: r.Out,
		cold: now < e.ColdUntil, ended: r.Ended,
	}
	e.count(n.ended, 1)
	reads := e.readTime(c.Reads)
	e.busyTo = max(e.busyTo, now) + reads
	e.usual = e.usually(now, o) + reads.Seconds()/o.UsualFor.Seconds()
	e.reading++
	if e.most > 0 && n.cold {
		t.sent.Record(now, e.ID)
	}
	if t.turns != nil && t.turns.Any() {
		t.turns.Spend(now, e.ID)
	}
	t.runs[r.ID] = n
}

// count counts a request that begins or ends among the suspects.
func (e *engine) count(ended, by int) {
	if ended > 0 {
		e.suspects += by
	}
	if ended >= TrialFrom {
		e.trials += by
	}
}

// First notes a request's first event: its prompt is read.
func (t *Table) First(now time.Duration, id uint64) {
	r := t.runs[id]
	if r == nil || r.isRead {
		return
	}
	r.isRead, r.read = true, now
	e := r.engine
	e.reading--
	e.runs++
	if e.reading == 0 {
		e.busyTo = now
	}
	e.speed.Observe(now, &e.own, r.reads, now-r.began-r.moves, r.cold)
}

// End notes the end of a request, whole or not.
func (t *Table) End(now time.Duration, id uint64) {
	r := t.runs[id]
	if r == nil {
		return
	}
	delete(t.runs, id)
	r.engine.count(r.ended, -1)
	if r.isRead {
		r.engine.runs--
		r.engine.speed.Generated(r.out, now-r.read)
		return
	}
	r.engine.reading--
	if r.engine.reading == 0 {
		r.engine.busyTo = now
	}
}

// Running returns the number of requests that the table counts.
func (t *Table) Running() int { return len(t.runs) }
