package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/history"
	"quinceroad/coordination/rendezvous"
	"quinceroad/coordination/rollout"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/transport/datagram"
)

const (
	// Interval of rollout updates: a quarter of the interval at which shares increase.
	rolloutInterval = 100 * time.Millisecond
	// Number of instances that judge an order. If two are lost at once, the rollout
	// continues at the next heartbeat.
	maxJudges = 3
	// Delay after which the next judge in rank acts instead of the one before it: more than
	// three heartbeat intervals.
	leadTimeout = 700 * time.Millisecond
	// Interval between log lines of an unchanged verdict.
	judgementLogInterval = time.Second
)

// followRollouts drives the active rollouts: it updates shares that change with
// time, sends reports to the judges, judges, and takes the next step.
func (n *Node) followRollouts(ctx context.Context) {
	ticks := 0
	loggedShares := make(map[string]loggedShare)
	process.Every(ctx, rolloutInterval, func() {
		n.rollouts.mu.Lock()
		active := n.rollouts.view.Active()
		unfinished := n.rollouts.view.Unfinished(n.now())
		n.rollouts.mu.Unlock()
		if len(active)+len(unfinished) == 0 {
			return
		}
		if n.updateBatchAllowed(active) || n.sharesChanged(active, loggedShares) {
			n.publishSnapshot()
			n.logShareChanges(active, loggedShares)
		}
		ticks++
		alive := n.liveInstances()
		for i := range unfinished {
			s := &unfinished[i]
			ranked := rankJudges(s.Service, alive)
			if ticks%int(heartbeatInterval/rolloutInterval) == 0 && s.Phase < rollout.Rejected {
				n.sendRolloutReport(s, ranked)
			}
			n.leadRollout(s, ranked)
		}
	})
}

// loggedShare is the traffic share of a service's rollout that was last logged.
type loggedShare struct {
	order    history.Point
	share    float64
	selected int
}

// sharesChanged reports whether the current snapshot uses outdated shares.
func (n *Node) sharesChanged(active []rollout.OrderState, logged map[string]loggedShare) bool {
	now, snap := n.now(), n.snapshot.Load()
	for i := range active {
		shift := snap.rolloutByService[active[i].Service]
		if active[i].IsFinished(now) {
			if shift != nil {
				return true
			}
			continue
		}
		if shift == nil || shift.order != active[i].At || shift.share != active[i].Share(now, n.rollouts.canaryShare) {
			return true
		}
		if old := logged[active[i].Service]; old.order != shift.order || old.share != shift.share || old.selected != len(shift.selected) {
			return true
		}
	}
	return false
}

func (n *Node) logShareChanges(active []rollout.OrderState, logged map[string]loggedShare) {
	snap := n.snapshot.Load()
	for i := range active {
		shift := snap.rolloutByService[active[i].Service]
		if shift == nil {
			continue
		}
		now := loggedShare{order: shift.order, share: shift.share, selected: len(shift.selected)}
		if logged[active[i].Service] != now {
			logged[active[i].Service] = now
			event.RolloutShare.Log(n.log, "service", active[i].Service, "target", shift.target, "order", shift.order.Revision, "share", shift.share, "replicas", len(shift.selected))
		}
	}
}

// updateBatchAllowed updates the set of pools whose target version may get a full batch,
// and reports whether it has changed.
func (n *Node) updateBatchAllowed(active []rollout.OrderState) bool {
	snap := n.snapshot.Load()
	if snap.config == nil {
		return false
	}
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, s := range active {
		service, shift := snap.config.Services[s.Service], snap.rolloutByService[s.Service]
		if service == nil || service.Pool == nil || shift == nil {
			continue
		}
		allowed := history.Point{}
		if r.splitter.Allows(shift.order, "", shift.share, service.Pool.MaxBatch) {
			allowed = shift.order
		}
		changed = changed || allowed != r.batchAllowed[s.Service]
		r.batchAllowed[s.Service] = allowed
	}
	return changed
}

// rankJudges returns the instances that judge a service's rollouts, the leader first.
func rankJudges(service string, alive []gossip.Instance) []gossip.Instance {
	out := slices.DeleteFunc(slices.Clone(alive), func(i gossip.Instance) bool { return i.Leaving })
	slices.SortFunc(out, func(a, b gossip.Instance) int {
		return cmp.Compare(rendezvous.Weight(service, b.Name), rendezvous.Weight(service, a.Name))
	})
	return out[:min(len(out), maxJudges)]
}

// sendRolloutReport sends this instance's report on an order to its judges.
func (n *Node) sendRolloutReport(s *rollout.OrderState, ranked []gossip.Instance) {
	n.gossipMu.Lock()
	self := encodeInstance(n.members.Self())
	n.gossipMu.Unlock()
	n.rollouts.mu.Lock()
	messages := encodeRolloutReport(s.At, n.rollouts.buildReport(s))
	n.rollouts.mu.Unlock()
	for _, message := range messages {
		h := &pb.Heartbeat{News: []*pb.InstanceNews{self}, Rollouts: &pb.Rollouts{Reports: []*pb.RolloutReport{message}}}
		b, err := datagram.Encode(h)
		if err != nil {
			event.NodeMessageInvalid.Log(n.log, "what", "rollout report", "from", n.settings.Name, "error", err)
			return
		}
		for _, i := range ranked {
			if i.Name != n.settings.Name {
				n.socket.Send(i.HeartbeatAddress, b)
			}
		}
	}
}

// leadRollout judges an order and takes its next step if this instance is one of its
// judges. Two leaders at once do no harm: phases never decrease, and the status is
// written by compare-and-swap.
func (n *Node) leadRollout(s *rollout.OrderState, ranked []gossip.Instance) {
	r := n.rollouts
	now := n.now()
	rank := slices.IndexFunc(ranked, func(i gossip.Instance) bool { return i.Name == n.settings.Name })
	r.mu.Lock()
	o := r.progress(s.At)
	rankChanged := rank != o.rank
	o.rank = rank
	ended := s.Phase >= rollout.Rejected && o.status.Ended()
	r.mu.Unlock()
	if rankChanged {
		event.RolloutJudgedHere.Log(n.log, "service", s.Service, "order", s.At.Revision, "rank", rank)
	}
	if rank < 0 || ended {
		return
	}
	inputs := n.rolloutInputs(now, s)
	step := rollout.Decide(now, inputs)
	if step.SetPhase == rollout.Rejected { // any judge may reject, not only the leader
		n.setRolloutPhase(s, rollout.Rejected)
	}
	r.mu.Lock()
	if step.ReadStatus != o.step.ReadStatus || step.SetPhase != o.step.SetPhase || step.WriteState != o.step.WriteState {
		o.stepSince = now
	}
	newReason := step.Reason != o.step.Reason && step.Reason != ""
	o.step = step
	due := now-o.stepSince >= max(time.Duration(rank)*leadTimeout, o.retryPause) && !o.callPending
	callStore := due && (step.ReadStatus || step.WriteState != rollout.None)
	o.callPending = o.callPending || callStore
	r.mu.Unlock()
	if newReason && rank == 0 {
		event.RolloutWaits.Log(n.log, "service", s.Service, "target", s.Target, "order", s.At.Revision, "why", step.Reason, "age", now-s.OrderedAt)
	}
	if due && step.SetPhase > s.Phase {
		n.setRolloutPhase(s, step.SetPhase)
	}
	if callStore {
		go n.syncRolloutStatus(*s, inputs.Status, step)
	}
}

func (n *Node) setRolloutPhase(s *rollout.OrderState, phase rollout.Phase) {
	n.changeRollouts(n.settings.Name, func(now time.Duration, v *rollout.View) []rollout.Change { return v.SetPhase(now, s.At, phase) })
}

// rolloutInputs collects the inputs for the decision on an order, and judges it.
func (n *Node) rolloutInputs(now time.Duration, s *rollout.OrderState) *rollout.Inputs {
	snap := n.snapshot.Load()
	r := n.rollouts
	alive := n.liveInstances()
	in := &rollout.Inputs{Order: *s, Slack: r.canarySlack}
	in.Configured = snap.config != nil && snap.config.Services[s.Service] != nil
	for x := range snap.list.OfService(s.Service) {
		switch {
		case x.Draining || x.HallDrained:
		case x.Version != s.Target:
			in.OldReady++
		case x.WarmingUntil <= now:
			in.NewReady++
		}
	}
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.progress(s.At)
	o.reports.Merge(self.Name, self.Incarnation, r.buildReport(s))
	rows, sent, longest := o.reports.Sums()
	in.Status, in.Sent, in.LongestRequest = o.status, sent, longest
	for _, i := range alive {
		rep, ok := o.reports.Latest(i.Name, i.Incarnation)
		if !ok || !rep.FullyShifted {
			in.Lagging++
		}
		in.Pinned += rep.Pinned
		in.InFlight += rep.InFlight
	}
	previous := o.judge.Latest()
	in.Judgement = o.judge.Observe(now, rows, s.Phase == rollout.Promoted)
	if in.Judgement.Verdict != previous.Verdict || now-o.loggedAt >= judgementLogInterval && s.Phase < rollout.Rejected {
		o.loggedAt = now
		n.logJudgement(now, s, &in.Judgement)
	}
	return in
}

func (n *Node) logJudgement(now time.Duration, s *rollout.OrderState, j *rollout.Judgement) {
	worst := j.Worst()
	event.RolloutJudged.Log(n.log, "service", s.Service, "target", s.Target, "order", s.At.Revision, "verdict", j.Verdict, "why", j.Reason,
		"route", worst.Route, "new", worst.New, "new_bad", worst.NewBad, "old", worst.Old, "old_bad", worst.OldBad, "granted", worst.GrantedRate,
		"against", worst.Against, "accepted", worst.Accepted, "age", now-s.OrderedAt)
}

// syncRolloutStatus reads or writes an order's status in the store. After a write,
// successful or not, it reads the status again before the next decision.
func (n *Node) syncRolloutStatus(s rollout.OrderState, status rollout.Status, step rollout.Step) {
	operation := "read"
	var err error
	if step.ReadStatus {
		status, err = n.store.RolloutStatus(s.Order)
	} else {
		operation = "write " + step.WriteState.String()
		err = n.store.WriteRolloutStatus(s, status, step.WriteState)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			n.logRolloutStatus(&s, operation, status, err)
		}
		status, err = n.store.RolloutStatus(s.Order)
	}
	n.logRolloutStatus(&s, operation, status, err)
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.progress(s.At)
	o.status, o.callPending = status, false
	o.stepSince, o.retryPause = n.now(), 0
	if err != nil {
		o.backoff = min(max(2*o.backoff, minStoreRetryDelay), maxStoreRetryDelay)
		o.retryPause = o.backoff
		return
	}
	o.backoff = 0
}

func (n *Node) logRolloutStatus(s *rollout.OrderState, operation string, status rollout.Status, err error) {
	event.RolloutStatus.Log(n.log, "service", s.Service, "target", s.Target, "order", s.At.Revision, "did", operation,
		"state", status.State, "revision", status.Revision, "error", err)
}
