package node

import (
	"maps"
	"slices"
	"sync"
	"time"

	"quinceroad/coordination/history"
	"quinceroad/coordination/rollout"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

// rollouts holds the rollout orders known to this instance, the traffic that it
// sends in them, and its observations of the versions.
type rollouts struct {
	canaryShare float64 // share of requests for a version that is not promoted yet
	canarySlack float64 // number of requests allowed beyond that share

	mu           sync.Mutex
	view         *rollout.View
	splitter     *rollout.TrafficSplitter
	orders       map[history.Point]*rolloutProgress
	othersReady  map[string]bool             // services for which replicas of other versions than the target accept work
	fullyShifted map[string]bool             // services whose requests all go to the target version in the current snapshot
	batchAllowed map[string]history.Point    // by pool service: order whose target replicas may get a full batch
	inFlight     map[string]*replicaInFlight // by replica ID
	withholds    bool                        // the list of replicas has some that get no work
}

// rolloutProgress is the progress of one order as seen by this instance.
type rolloutProgress struct {
	ownReport   rollout.Report // counts of this incarnation
	reports     *rollout.Reports
	judge       *rollout.Judge
	status      rollout.Status
	callPending bool          // a call to the store is in flight
	stepSince   time.Duration // time since which the same step is due
	backoff     time.Duration // retry backoff, doubled by each failed store call
	retryPause  time.Duration // wait before the next store call
	step        rollout.Step
	loggedAt    time.Duration // time at which the judgement was last logged
	rank        int           // rank of this instance among the judges; -1: not a judge
}

func newRollouts(s *platform.Settings) *rollouts {
	return &rollouts{
		canaryShare:  s.CanaryShare,
		canarySlack:  s.CanarySlack,
		view:         rollout.NewView(),
		splitter:     rollout.NewTrafficSplitter(newRandom().Float64()),
		orders:       make(map[history.Point]*rolloutProgress),
		othersReady:  make(map[string]bool),
		fullyShifted: make(map[string]bool),
		batchAllowed: make(map[string]history.Point),
		inFlight:     make(map[string]*replicaInFlight),
	}
}

// progress returns the progress of an order, which it creates if needed. The caller
// holds mu.
func (r *rollouts) progress(order history.Point) *rolloutProgress {
	o := r.orders[order]
	if o == nil {
		o = &rolloutProgress{
			ownReport: rollout.Report{Rows: make(map[rollout.RowKey]*rollout.Tally)},
			reports:   rollout.NewReports(),
			judge:     rollout.NewJudge(),
			rank:      -1,
		}
		r.orders[order] = o
	}
	return o
}

// isActive reports whether a service has an active rollout.
func (r *rollouts) isActive(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.view.Current(service)
	return ok
}

// recordRestarts records restarts of replicas that got requests in a rollout. snap is
// the snapshot in which their previous incarnation served.
func (r *rollouts) recordRestarts(now time.Duration, snap *snapshot, replicas []catalog.Replica) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range replicas {
		x := &replicas[i]
		if shift := snap.rolloutByService[x.Service]; shift != nil && shift.selected[x.ID] {
			r.view.RecordRestart(now, x.Service, x.Version)
		}
	}
}

// prune removes the progress of orders that the view no longer has.
func (r *rollouts) prune() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.splitter.Prune(r.view.Has)
	maps.DeleteFunc(r.orders, func(order history.Point, _ *rolloutProgress) bool { return !r.view.Has(order) })
}

// rename moves what is known of orders to the points at which they were written again after
// the store's return. Their status in the store has to be read again. The caller holds mu.
func (r *rollouts) rename(all []rollout.Renamed) {
	for _, renamed := range all {
		r.splitter.Rename(renamed)
		o := r.progress(renamed.Was)
		delete(r.orders, renamed.Was)
		o.status = rollout.Status{}
		r.orders[renamed.Is] = o
	}
}

// replaceRollouts applies a full list of the orders, read at a point. For
// an entry that can't be parsed, the previous order stays in force.
func (n *Node) replaceRollouts(items []platform.Entry, at history.Point) {
	orders := make([]rollout.Order, 0, len(items))
	for i := range items {
		o, err := items[i].RolloutOrder(at.Era)
		if err == nil {
			orders = append(orders, o)
			continue
		}
		service, _ := items[i].RolloutService()
		event.RolloutOrderInvalid.Log(n.log, "service", service, "error", err)
		n.rollouts.mu.Lock()
		if s, ok := n.rollouts.view.Current(service); ok {
			orders = append(orders, s.Order)
		}
		n.rollouts.mu.Unlock()
	}
	n.changeRollouts(fromStore, func(now time.Duration, v *rollout.View) []rollout.Change { return v.Replace(now, orders, at) })
}

// applyRollouts applies the changes that a watch returned, which include all up to a
// revision.
func (n *Node) applyRollouts(items []platform.Entry, at history.Point) {
	var entries []rollout.Entry
	for i := range items {
		service, ok := items[i].RolloutService()
		if !ok {
			continue
		}
		e := rollout.Entry{Order: rollout.Order{Service: service, At: history.Point{Era: at.Era, Revision: items[i].Revision}}, Deleted: items[i].Deleted}
		if !e.Deleted {
			var err error
			if e.Order, err = items[i].RolloutOrder(at.Era); err != nil {
				event.RolloutOrderInvalid.Log(n.log, "service", service, "error", err)
				continue
			}
		}
		entries = append(entries, e)
	}
	n.changeRollouts(fromStore, func(now time.Duration, v *rollout.View) []rollout.Change { return v.Apply(now, entries, at) })
}

// changeRollouts applies changes of rollout orders, publishes a new snapshot and
// announces the changes to peers.
func (n *Node) changeRollouts(from string, apply func(now time.Duration, v *rollout.View) []rollout.Change) {
	r := n.rollouts
	now := n.now()
	r.mu.Lock()
	changes := apply(now, r.view)
	r.rename(r.view.TakeRenamed())
	r.mu.Unlock()
	if len(changes) == 0 {
		return
	}
	n.publishSnapshot()
	for _, c := range changes {
		n.logRolloutChange(now, from, &c)
	}
	n.sendHeartbeats()
	if from == fromStore || from == n.settings.Name {
		n.announceToHall()
	}
}

func (n *Node) logRolloutChange(now time.Duration, from string, c *rollout.Change) {
	switch {
	case c.New:
		event.RolloutOrdered.Log(n.log, "service", c.Service, "target", c.Target, "order", c.At.Revision, "for", c.TimeLimit, "from", from)
	case c.Ended:
		event.RolloutEnded.Log(n.log, "service", c.Service, "target", c.Target, "order", c.At.Revision, "phase", c.Phase, "from", from)
	default:
		n.rolloutCounter(c.Service, c.Target, "phase_"+c.Phase.String()).Inc(1)
		event.RolloutPhase.Log(n.log, "service", c.Service, "target", c.Target, "order", c.At.Revision, "phase", c.Phase, "from", from, "age", now-c.OrderedAt)
	}
}

// rolloutUpdate returns the rollout orders for heartbeats, or nil if there was never one.
func (n *Node) rolloutUpdate() *pb.Rollouts {
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.Empty() {
		return nil
	}
	now := n.now()
	update := r.view.Update(now)
	out := &pb.Rollouts{Revision: update.At.Revision, Era: update.At.Era}
	for _, s := range update.Orders {
		out.Orders = append(out.Orders, &pb.RolloutOrder{
			Service: s.Service, Target: s.Target, Revision: s.At.Revision, Era: s.At.Era, ForMs: s.TimeLimit.Milliseconds(), AgeMs: uint32(s.OrderedAt.Milliseconds()),
			Phase: uint32(s.Phase), PhaseMs: uint32(s.PhaseSince.Milliseconds()), Ended: s.Ended,
		})
	}
	return out
}

// mergeRollouts merges the rollout orders and reports of a peer's heartbeat.
func (n *Node) mergeRollouts(h *pb.Heartbeat) {
	if h.Rollouts == nil {
		return
	}
	n.mergeRolloutOrders(senderOf(h), h.Rollouts)
	if len(h.News) == 0 {
		return
	}
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range h.Rollouts.Reports {
		order := history.Point{Era: p.Era, Revision: p.Order}
		if !r.view.Has(order) {
			continue // later reports contain all counts
		}
		r.progress(order).reports.Merge(h.News[0].Name, h.News[0].Incarnation, decodeRolloutReport(p))
	}
}

// mergeRolloutOrders merges a peer's rollout orders and their phases.
func (n *Node) mergeRolloutOrders(from string, p *pb.Rollouts) {
	if p == nil {
		return
	}
	update := rollout.Update{At: history.Point{Era: p.Era, Revision: p.Revision}}
	for _, o := range p.Orders {
		update.Orders = append(update.Orders, rollout.OrderState{
			Order:      rollout.Order{Service: o.Service, Target: o.Target, At: history.Point{Era: o.Era, Revision: o.Revision}, TimeLimit: time.Duration(o.ForMs) * time.Millisecond},
			OrderedAt:  time.Duration(o.AgeMs) * time.Millisecond,
			Phase:      rollout.Phase(min(o.Phase, uint32(rollout.Done))),
			PhaseSince: time.Duration(o.PhaseMs) * time.Millisecond,
			Ended:      o.Ended,
		})
	}
	n.changeRollouts(from, func(now time.Duration, v *rollout.View) []rollout.Change { return v.Merge(now, update) })
}

// maxReportRows is the maximum number of rows in a message, so that it fits one
// packet. A row with answers in all latency buckets takes about 75 bytes.
const maxReportRows = 12

// encodeRolloutReport encodes a report, split into messages that each fit one packet.
func encodeRolloutReport(order history.Point, rep rollout.Report) []*pb.RolloutReport {
	var out []*pb.RolloutReport
	var message *pb.RolloutReport
	addMessage := func() {
		message = &pb.RolloutReport{
			Order: order.Revision, Era: order.Era, Count: rep.Sequence, Moved: rep.FullyShifted, Bound: uint32(rep.Pinned), InFlight: uint32(rep.InFlight),
			LongestMs: uint32(rep.LongestRequest.Milliseconds()), Sent: uint32(rep.Sent),
		}
		out = append(out, message)
	}
	addMessage()
	for k, t := range rep.Rows {
		if len(message.Rows) == maxReportRows {
			addMessage()
		}
		message.Rows = append(message.Rows, encodeRolloutRow(k, t))
	}
	return out
}

func encodeRolloutRow(k rollout.RowKey, t *rollout.Tally) *pb.RolloutRow {
	used := 0
	for b, c := range t.Latencies {
		if c > 0 {
			used = b + 1
		}
	}
	return &pb.RolloutRow{Route: k.Route, Replica: k.Replica, Failed: t.Failed, Ended: t.ReplicaEnds, Times: slices.Clone(t.Latencies[:used])}
}

// decodeRolloutReport decodes a report. Its rows keep the replica IDs of the sender: if
// names were mapped to the incarnation listed now, each restart of a replica would count
// its answers again.
func decodeRolloutReport(p *pb.RolloutReport) rollout.Report {
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
