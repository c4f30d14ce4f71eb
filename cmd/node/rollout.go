package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"quinceroad/coordination/rollout"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// rollouts is what this instance knows of the roll-outs that are ordered, what
// it sends in them, and what it has seen of the versions.
type rollouts struct {
	canary float64 // share of a version that is not trusted
	slack  float64 // requests beside that

	mu     sync.Mutex
	view   *rollout.View
	ledger *rollout.TrafficSplitter
	orders map[uint64]*orderSeen // by revision
	others map[string]bool       // services that replicas of another version than the ordered one could serve
	moved  map[string]bool       // services whose requests all go to the new version, in the world in force
	open   map[string]bool       // services whose new pool replicas may get a call
	held   map[string]*held      // by replica
}

// orderSeen is what is seen of one order.
type orderSeen struct {
	own     rollout.Report // rows of this life
	reports *rollout.Reports
	judge   *rollout.Judge
	status  rollout.Status
	calling bool          // a call to the store is under way
	due     time.Duration // since when the same step is due
	wait    time.Duration // after the last failed call, doubled by each
	pause   time.Duration // until the next call
	step    rollout.Step
	logged  time.Duration // the judgement, last
	rank    int           // among those who judge
}

func newRollouts(s *platform.Settings) *rollouts {
	return &rollouts{
		canary: s.CanaryShare,
		slack:  s.CanarySlack,
		view:   rollout.NewView(),
		ledger: rollout.NewTrafficSplitter(newRandom().Float64()),
		orders: make(map[uint64]*orderSeen),
		others: make(map[string]bool),
		moved:  make(map[string]bool),
		open:   make(map[string]bool),
		held:   make(map[string]*held),
	}
}

// seen returns what is seen of an order. It needs mu.
func (r *rollouts) seen(order uint64) *orderSeen {
	o := r.orders[order]
	if o == nil {
		o = &orderSeen{
			own:     rollout.Report{Rows: make(map[rollout.RowKey]*rollout.Tally)},
			reports: rollout.NewReports(),
			judge:   rollout.NewJudge(),
			rank:    -1,
		}
		r.orders[order] = o
	}
	return o
}

// ordered reports whether a roll-out of a service stands.
func (r *rollouts) ordered(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.view.Current(service)
	return ok
}

// startedAgain takes in that replicas have started again, by the world in which
// their last life served.
func (r *rollouts) startedAgain(now time.Duration, w *world, replicas []catalog.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range replicas {
		x := &replicas[i]
		if m := w.moves[x.Service]; m != nil && m.chosen[x.ID] {
			r.view.RecordRestart(now, x.Service, x.Version)
		}
	}
}

// forget drops what was seen of orders that are no longer known.
func (r *rollouts) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.Prune(r.view.Has)
	maps.DeleteFunc(r.orders, func(order uint64, _ *orderSeen) bool { return !r.view.Has(order) })
}

// replaceRollouts takes in the orders as they were read whole at a revision. One
// that can't be read stands as it was known before.
func (n *Node) replaceRollouts(items []platform.Item, at uint64) {
	orders := make([]rollout.Order, 0, len(items))
	for i := range items {
		o, err := items[i].Rollout()
		if err == nil {
			orders = append(orders, o)
			continue
		}
		service, _ := items[i].RolloutService()
		event.RolloutBroken.Log(n.log, "service", service, "error", err)
		n.rollouts.mu.Lock()
		if s, ok := n.rollouts.view.Current(service); ok {
			orders = append(orders, s.Order)
		}
		n.rollouts.mu.Unlock()
	}
	n.order(fromStore, func(now time.Duration, v *rollout.View) []rollout.Change { return v.Replace(now, orders, at) })
}

// applyRollouts takes in what a watch brought, after which all up to a revision
// is known.
func (n *Node) applyRollouts(items []platform.Item, at uint64) {
	var entries []rollout.Entry
	for i := range items {
		service, ok := items[i].RolloutService()
		if !ok {
			continue
		}
		e := rollout.Entry{Order: rollout.Order{Service: service, Revision: items[i].Revision}, Deleted: items[i].Gone}
		if !e.Deleted {
			var err error
			if e.Order, err = items[i].Rollout(); err != nil {
				event.RolloutBroken.Log(n.log, "service", service, "error", err)
				continue
			}
		}
		entries = append(entries, e)
	}
	n.order(fromStore, func(now time.Duration, v *rollout.View) []rollout.Change { return v.Apply(now, entries, at) })
}

// order takes in news of roll-outs and puts what they change into force at once.
func (n *Node) order(from string, take func(now time.Duration, v *rollout.View) []rollout.Change) {
	r := n.rollouts
	now := n.now()
	r.mu.Lock()
	changes := take(now, r.view)
	r.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	n.publish()
	for _, c := range changes {
		n.logRollout(now, from, &c)
	}
	n.tell()
	if from == fromStore || from == n.settings.Name {
		n.tellHall()
	}
}

func (n *Node) logRollout(now time.Duration, from string, c *rollout.Change) {
	switch {
	case c.New:
		event.RolloutOrdered.Log(n.log, "service", c.Service, "target", c.Target, "order", c.Revision, "for", c.TimeLimit, "from", from)
	case c.Ended:
		event.RolloutEnded.Log(n.log, "service", c.Service, "target", c.Target, "order", c.Revision, "phase", c.Phase, "from", from)
	default:
		n.rolloutCounter(c.Service, c.Target, "phase_"+c.Phase.String()).Inc(1)
		event.RolloutWord.Log(n.log, "service", c.Service, "target", c.Target, "order", c.Revision, "phase", c.Phase, "from", from, "age", now-c.OrderedAt)
	}
}

// rolloutNews is what this instance tells others of the roll-outs; nil until one
// was ordered.
func (n *Node) rolloutNews() *pb.Rollouts {
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Empty() {
		return nil
	}
	now := n.now()
	news := r.view.Update(now)
	out := &pb.Rollouts{Revision: news.Revision}
	for _, s := range news.Orders {
		out.Orders = append(out.Orders, &pb.RolloutOrder{
			Service: s.Service, Target: s.Target, Revision: s.Revision, ForMs: s.TimeLimit.Milliseconds(), AgeMs: uint32(s.OrderedAt.Milliseconds()),
			Phase: uint32(s.Phase), PhaseMs: uint32(s.PhaseSince.Milliseconds()), Ended: s.Ended,
		})
	}
	return out
}

// takeRollouts takes in what a peer tells of the roll-outs.
func (n *Node) takeRollouts(h *pb.Heartbeat) {
	if h.Rollouts == nil {
		return
	}
	n.takeRolloutOrders(senderOf(h), h.Rollouts)
	if len(h.News) == 0 {
		return
	}
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range h.Rollouts.Reports {
		if !r.view.Has(p.Order) {
			continue // what is told later holds it all
		}
		r.seen(p.Order).reports.Merge(h.News[0].Name, h.News[0].Incarnation, reportOf(p))
	}
}

// takeRolloutOrders takes in which roll-outs are ordered, and what is said of them.
func (n *Node) takeRolloutOrders(from string, p *pb.Rollouts) {
	if p == nil {
		return
	}
	news := rollout.Update{Revision: p.Revision}
	for _, o := range p.Orders {
		news.Orders = append(news.Orders, rollout.OrderState{
			Order:      rollout.Order{Service: o.Service, Target: o.Target, Revision: o.Revision, TimeLimit: time.Duration(o.ForMs) * time.Millisecond},
			OrderedAt:  time.Duration(o.AgeMs) * time.Millisecond,
			Phase:      rollout.Phase(min(o.Phase, uint32(rollout.Done))),
			PhaseSince: time.Duration(o.PhaseMs) * time.Millisecond,
			Ended:      o.Ended,
		})
	}
	n.order(from, func(now time.Duration, v *rollout.View) []rollout.Change { return v.Merge(now, news) })
}

// rowsTold of a report go into one message, so that it is one packet: some 75
// bytes each where all buckets hold answers.
const rowsTold = 12

// reportNews returns the messages that tell a report.
func reportNews(order uint64, rep rollout.Report) []*pb.RolloutReport {
	var out []*pb.RolloutReport
	var part *pb.RolloutReport
	add := func() {
		part = &pb.RolloutReport{
			Order: order, Count: rep.Sequence, Moved: rep.FullyShifted, Bound: uint32(rep.Pinned), InFlight: uint32(rep.InFlight),
			LongestMs: uint32(rep.LongestRequest.Milliseconds()), Sent: uint32(rep.Sent),
		}
		out = append(out, part)
	}
	add()
	for k, t := range rep.Rows {
		if len(part.Rows) == rowsTold {
			add()
		}
		part.Rows = append(part.Rows, rowNews(k, t))
	}
	return out
}

func rowNews(k rollout.RowKey, t *rollout.Tally) *pb.RolloutRow {
	last := 0
	for b, c := range t.Latencies {
		if c > 0 {
			last = b + 1
		}
	}
	return &pb.RolloutRow{Route: k.Route, Replica: k.Replica, Failed: t.Failed, Ended: t.ReplicaEnds, Times: slices.Clone(t.Latencies[:last])}
}

// reportOf reads a report. Its rows keep the names that the sender gave them: a name
// that stood for another life with each birth would count its answers once for each.
func reportOf(p *pb.RolloutReport) rollout.Report {
	out := rollout.Report{
		Sequence: p.Count, FullyShifted: p.Moved, Pinned: int(p.Bound), InFlight: int(p.InFlight),
		LongestRequest: time.Duration(p.LongestMs) * time.Millisecond, Sent: int(p.Sent),
		Rows: make(map[rollout.RowKey]*rollout.Tally, len(p.Rows)),
	}
	for _, row := range p.Rows {
		t := &rollout.Tally{Failed: row.Failed, ReplicaEnds: row.Ended}
		copy(t.Latencies[:], row.Times)
		out.Rows[rollout.RowKey{Route: row.Route, Replica: row.Replica}] = t
	}
	return out
}
