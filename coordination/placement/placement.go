// Package placement decides at which engine a stream runs.
//
// An engine reads a long prompt in pieces between the tokens of the streams
// that run there, and holds all of them up meanwhile. So the place of a request
// follows from what it costs everybody: the time until its own first event, the
// streams that its prompt would hold up, the shared parts that would be read
// again or moved, and the results that would cross halls. Streams that
// generate long keep away from engines that often read long prompts, which
// parts the two kinds by themselves. How fast the engines are is learnt from
// what they do (package speed).
//
// One Table sees all requests of its engines. It is pure: event and time in,
// decision out. It is soft state: a new owner starts with an empty one.
package placement

import (
	"cmp"
	"slices"
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/coordination/speed"
	"quinceroad/coordination/warmup"
	"quinceroad/state/catalog"
)

// Request is a stream that looks for its engine.
type Request struct {
	ID      uint64 // unique in the table while the request runs
	Service string
	Parts   []catalog.Part   // of the prompt, the last one its own
	Out     int              // tokens that it generates, about
	Slack   time.Duration    // until its first event is late
	Near    map[string]int64 // by hall: bytes of results that it reads
	Avoid   map[string]bool  // engines not to be taken
	Far     Kept             // what engines of other regions keep of it
	Ended   int              // replicas that ended under it; 0: it is no suspect
}

// Kept is how much of a prompt an engine keeps, and where.
type Kept struct {
	Address string // IP:port
	Tokens  int    // from the prompt's start
}

// Choice is where a request runs and from where its engine fetches what it lacks.
type Choice struct {
	Replica catalog.Replica
	Fetch   string // IP:port; "" for nowhere
	Reads   int    // tokens of its prompt that its engine has to read
	Moves   int    // and to fetch
	Beside  int    // suspects that run there
}

// Table is not safe for concurrent use.
type Table struct {
	opts    Options
	engines map[string]*engine
	order   map[string][]*engine // by service, by id
	speeds  map[string]*speed.Service
	runs    map[uint64]*run
	turns   pace.Turns // nil: none are counted
	cold    warmup.Limit
	sent    *warmup.Window // to cold engines
}

type engine struct {
	catalog.Replica
	most     int // requests in a second while it is cold; 0: no bound
	slots    int
	memory   int
	runs     int // that generate
	reading  int // that read their prompts
	suspects int // of both, under which replicas have ended
	trials   int // of these, under which so many have that this one decides
	busyTo   time.Duration
	usual    float64 // share of the time that it reads, lately
	usualAt  time.Duration
	speed    *speed.Service
	own      speed.Replica // how its times differ from those of the service's others
	perMoved time.Duration // to move one token from another engine
	kept     map[uint64]*part
	listed   map[string]int // by part: tokens that it kept when it was asked
	askedAt  time.Duration
	tokens   int
}

// New returns an empty table; cold bounds what engines get while they are cold.
func New(o Options, cold warmup.Limit) *Table {
	return &Table{
		opts: o, engines: make(map[string]*engine), speeds: make(map[string]*speed.Service),
		runs: make(map[uint64]*run), cold: cold, sent: warmup.NewWindow(),
	}
}

// Paced has a table's requests counted by turns.
func (t *Table) Paced(turns pace.Turns) *Table {
	t.turns = turns
	return t
}

// SetEngines takes the services and their replicas into force.
func (t *Table) SetEngines(services map[string]*catalog.Service, replicas []catalog.Replica) {
	listed := make(map[string]bool)
	for _, r := range replicas {
		s := services[r.Service]
		if s == nil || s.Engine == nil {
			continue
		}
		listed[r.ID] = true
		e := t.engines[r.ID]
		if e == nil {
			e = &engine{kept: make(map[uint64]*part)}
			t.engines[r.ID] = e
		}
		r.Leaving = r.Leaving || e.Leaving
		e.Replica = r
		e.slots = s.Engine.Slots
		e.most = 0
		if s.WarmUp != nil {
			e.most = t.cold.MaxPerSender(s.WarmUp.PerSecond)
		}
		e.memory = int(s.Engine.MemoryTokens)
		e.speed = t.speed(r.Service)
		e.perMoved = perMoved(s.Engine)
	}
	for id := range t.engines {
		if !listed[id] {
			delete(t.engines, id)
		}
	}
	t.order = make(map[string][]*engine)
	for _, e := range t.engines {
		t.order[e.Service] = append(t.order[e.Service], e)
	}
	for _, list := range t.order {
		slices.SortFunc(list, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Place returns the cheapest engine for a request.
func (t *Table) Place(now time.Duration, r *Request) (Choice, bool) {
	keys := chain(r.Parts)
	all := t.candidates(now, r)
	if len(all) == 0 {
		return Choice{}, false
	}
	kept := make([]int, len(all))
	most := 0
	for i, e := range all {
		kept[i] = e.keeps(now, &t.opts, r.Parts, keys)
		most = max(most, kept[i])
	}
	fetch := all[slices.Index(kept, most)].Address
	if e, n := t.emptiedHolder(now, r, keys); n > most {
		fetch, most = e.Address, n
	}
	if r.Far.Tokens > most {
		fetch, most = r.Far.Address, r.Far.Tokens
	}
	best, least := -1, 0.0
	for i, e := range all {
		if c := t.cost(now, r, e, kept[i], most); best < 0 || c < least {
			best, least = i, c
		}
	}
	c := Choice{Replica: all[best].Replica, Beside: all[best].suspects, Reads: r.tokens() - most, Moves: most - kept[best]}
	if c.Moves > 0 {
		c.Fetch = fetch
	}
	return c, true
}

// emptiedHolder returns the engine that keeps most of a prompt in the halls that
// are being emptied, and how much: it gets no request, but what it keeps can
// still be fetched.
func (t *Table) emptiedHolder(now time.Duration, r *Request, keys []uint64) (holder *engine, most int) {
	for _, e := range t.order[r.Service] {
		if !e.Emptied || e.Leaving {
			continue
		}
		if n := e.keeps(now, &t.opts, r.Parts, keys); n > most {
			holder, most = e, n
		}
	}
	return holder, most
}

// candidates returns the engines that may take a request, beginning at another
// one for each request so that equals share the load.
func (t *Table) candidates(now time.Duration, r *Request) []*engine {
	all := t.order[r.Service]
	out := make([]*engine, 0, len(all))
	for i := range all {
		e := all[(uint64(i)+r.ID*spread)%uint64(len(all))]
		if e.Takes() && !r.Avoid[e.ID] && t.warm(now, e) && t.hasTurn(now, e) {
			out = append(out, e)
		}
	}
	return r.apart(out)
}

// TrialFrom is how many replicas end under a request before its next one is to
// show whether it is to blame: nothing else is put beside it then.
const TrialFrom = 2

// apart returns the engines, of some, that come first for a request: none at
// which another request's trial is to show who is to blame, if there are any; for
// a suspect those with the fewest others, as whoever is beside the one to blame is
// lost with it; and for one whose own trial it is the least busy of these.
func (r *Request) apart(all []*engine) []*engine {
	var out []*engine
	for _, e := range all {
		if len(out) > 0 {
			switch c := slices.Compare(r.company(e), r.company(out[0])); {
			case c > 0:
				continue
			case c < 0:
				out = out[:0]
			}
		}
		out = append(out, e)
	}
	return out
}

// company ranks an engine by whom a request would be beside there, the least first.
func (r *Request) company(e *engine) []int {
	rank := []int{min(e.trials, 1), 0, 0}
	if r.Ended > 0 {
		rank[1] = e.suspects
	}
	if r.Ended >= TrialFrom {
		rank[2] = e.runs + e.reading
	}
	return rank
}

// hasTurn reports whether an engine may get one more request now by what it states
// that it takes.
func (t *Table) hasTurn(now time.Duration, e *engine) bool {
	return t.turns == nil || !t.turns.Any() || t.turns.Free(now, e.ID) <= now
}

// Supply returns what the engines that may take a request give of turns.
func (t *Table) Supply(now time.Duration, r *Request) (s pace.Supply) {
	if t.turns == nil || !t.turns.Any() {
		return s
	}
	first := true
	for _, e := range t.order[r.Service] {
		if !e.Takes() || r.Avoid[e.ID] {
			continue
		}
		s = s.Add(first, t.turns.Free(now, e.ID), t.turns.Gap(e.ID))
		first = false
	}
	return s
}

// warm reports whether an engine is, or may get one more request while it is cold.
func (t *Table) warm(now time.Duration, e *engine) bool {
	return e.most == 0 || now >= e.ColdUntil || t.sent.NextAllowed(now, e.ID, e.most) <= now
}

// spread takes requests that follow each other far apart.
const spread = 0x9e3779b1

// cost is what a request costs everybody at an engine that keeps so many
// tokens of its prompt, where the best keeps most.
func (t *Table) cost(now time.Duration, r *Request, e *engine, kept, most int) float64 {
	o := &t.opts
	moved := most - kept
	reads := e.readTime(r.tokens() - most)
	queue := max(e.busyTo-now, 0)
	first := queue + reads + e.moveTime(moved) + e.emptyTime()

	c := o.Second*first.Seconds() + o.Moved*float64(moved)
	if r.Slack > 0 {
		c += o.Late * ramp(first.Seconds(), 0.6*r.Slack.Seconds(), 1.1*r.Slack.Seconds())
	}
	c += o.Stall * float64(e.runs) * ramp((queue+reads).Seconds(), o.StallFrom.Seconds(), o.StallTo.Seconds())
	c += o.Beside * e.usually(now, o) * float64(r.Out) * e.speed.Figures().PerOut.Seconds()
	for hall, bytes := range r.Near {
		if hall != e.Hall {
			c += o.FarByte * float64(bytes)
		}
	}
	if e.slots > 0 {
		c += o.CrowdedCosts * ramp(float64(e.runs+e.reading)/float64(e.slots), o.Crowded, 1)
	}
	return c
}

// ramp rises from 0 at from to 1 at to.
func ramp(x, from, to float64) float64 {
	if to <= from {
		return 0
	}
	return min(max((x-from)/(to-from), 0), 1)
}

// usually returns the share of the time that an engine reads, lately.
func (e *engine) usually(now time.Duration, o *Options) float64 {
	e.usual *= max(1-(now-e.usualAt).Seconds()/o.UsualFor.Seconds(), 0)
	e.usualAt = now
	return e.usual
}
