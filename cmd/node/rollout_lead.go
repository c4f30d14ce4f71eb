package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"quinceroad/cmd/process"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/rendezvous"
	"quinceroad/coordination/rollout"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/transport/datagram"
)

const (
	lookEach     = 100 * time.Millisecond // between looks at the roll-outs: a quarter of a step of their shares
	judges       = 3                      // instances that judge an order; two may be lost at once and it goes on at the next heartbeat
	leadPatience = 700 * time.Millisecond // that the next in line waits for the one before it: three heartbeats
	logJudged    = time.Second            // between log lines of a judgement
)

// followRollouts keeps the roll-outs going while any is ordered: shares that
// change with time, reports to those who judge, judgement, and the next step.
func (n *Node) followRollouts(ctx context.Context) {
	look := 0
	shares := make(map[string]rolloutShare)
	process.Every(ctx, lookEach, func() {
		n.rollouts.mu.Lock()
		standing := n.rollouts.view.Active()
		led := n.rollouts.view.Unfinished(n.now())
		n.rollouts.mu.Unlock()
		if len(standing)+len(led) == 0 {
			return
		}
		if n.openPools(standing) || n.sharesChange(standing, shares) {
			n.publish()
			n.logShares(standing, shares)
		}
		look++
		alive := n.liveInstances()
		for i := range led {
			s := &led[i]
			ranked := rankJudges(s.Service, alive)
			if look%int(heartbeatInterval/lookEach) == 0 && s.Phase < rollout.Rejected {
				n.reportTo(s, ranked)
			}
			n.lead(s, ranked)
		}
	})
}

// rolloutShare is how a service's requests are parted.
type rolloutShare struct {
	order  uint64
	share  float64
	chosen int
}

// sharesChange reports whether the world in force parts requests by older shares.
func (n *Node) sharesChange(standing []rollout.OrderState, shares map[string]rolloutShare) bool {
	now, w := n.now(), n.world.Load()
	for i := range standing {
		m := w.rolloutByService[standing[i].Service]
		if standing[i].IsFinished(now) {
			if m != nil {
				return true
			}
			continue
		}
		if m == nil || m.order != standing[i].Revision || m.share != standing[i].Share(now, n.rollouts.canary) {
			return true
		}
		if old := shares[standing[i].Service]; old.order != m.order || old.share != m.share || old.chosen != len(m.chosen) {
			return true
		}
	}
	return false
}

func (n *Node) logShares(standing []rollout.OrderState, shares map[string]rolloutShare) {
	w := n.world.Load()
	for i := range standing {
		m := w.rolloutByService[standing[i].Service]
		if m == nil {
			continue
		}
		now := rolloutShare{order: m.order, share: m.share, chosen: len(m.chosen)}
		if shares[standing[i].Service] != now {
			shares[standing[i].Service] = now
			event.RolloutShare.Log(n.log, "service", standing[i].Service, "target", m.target, "order", m.order, "share", m.share, "replicas", len(m.chosen))
		}
	}
}

// openPools finds out for which pools their new version may get a whole call,
// and reports whether that has changed.
func (n *Node) openPools(standing []rollout.OrderState) bool {
	w := n.world.Load()
	if w.config == nil {
		return false
	}
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	changed := false
	for _, s := range standing {
		service, m := w.config.Services[s.Service], w.rolloutByService[s.Service]
		if service == nil || service.Pool == nil || m == nil {
			continue
		}
		open := r.ledger.Allows(m.order, "", m.share, service.Pool.MaxBatch)
		changed = changed || open != r.open[s.Service]
		r.open[s.Service] = open
	}
	return changed
}

// rankJudges returns the instances that judge a service's roll-outs, the one that leads first.
func rankJudges(service string, alive []gossip.Instance) []gossip.Instance {
	out := slices.DeleteFunc(slices.Clone(alive), func(i gossip.Instance) bool { return i.Leaving })
	slices.SortFunc(out, func(a, b gossip.Instance) int {
		return cmp.Compare(rendezvous.Weight(service, b.Name), rendezvous.Weight(service, a.Name))
	})
	return out[:min(len(out), judges)]
}

// reportTo tells those who judge an order what this instance has seen of it.
func (n *Node) reportTo(s *rollout.OrderState, ranked []gossip.Instance) {
	n.gossipMu.Lock()
	self := encodeInstance(n.members.Self())
	n.gossipMu.Unlock()
	n.rollouts.mu.Lock()
	parts := reportNews(s.Revision, n.rollouts.report(s))
	n.rollouts.mu.Unlock()
	for _, part := range parts {
		h := &pb.Heartbeat{News: []*pb.InstanceNews{self}, Rollouts: &pb.Rollouts{Reports: []*pb.RolloutReport{part}}}
		b, err := datagram.Encode(h)
		if err != nil {
			event.NodeMessageInvalid.Log(n.log, "what", "report of a roll-out", "from", n.settings.Name, "error", err)
			return
		}
		for _, i := range ranked {
			if i.Name != n.settings.Name {
				n.socket.Send(i.HeartbeatAddress, b)
			}
		}
	}
}

// lead judges an order and takes its next step, if this instance is one of those
// who do. Two that believe to lead do no harm: phases only rise, and a status is
// written under a condition.
func (n *Node) lead(s *rollout.OrderState, ranked []gossip.Instance) {
	r := n.rollouts
	now := n.now()
	rank := slices.IndexFunc(ranked, func(i gossip.Instance) bool { return i.Name == n.settings.Name })
	r.mu.Lock()
	o := r.seen(s.Revision)
	isNew := rank != o.rank
	o.rank = rank
	ended := s.Phase >= rollout.Rejected && o.status.Ended()
	r.mu.Unlock()
	if isNew {
		event.RolloutJudgedHere.Log(n.log, "service", s.Service, "order", s.Revision, "rank", rank)
	}
	if rank < 0 || ended {
		return
	}
	facts := n.rolloutFacts(now, s)
	step := rollout.Decide(now, facts)
	if step.SetPhase == rollout.Rejected { // whoever sees it says so
		n.say(s, rollout.Rejected)
	}
	r.mu.Lock()
	if step.ReadStatus != o.step.ReadStatus || step.SetPhase != o.step.SetPhase || step.WriteState != o.step.WriteState {
		o.due = now
	}
	waits := step.Reason != o.step.Reason && step.Reason != ""
	o.step = step
	acts := now-o.due >= max(time.Duration(rank)*leadPatience, o.pause) && !o.calling
	calls := acts && (step.ReadStatus || step.WriteState != rollout.None)
	o.calling = o.calling || calls
	r.mu.Unlock()
	if waits && rank == 0 {
		event.RolloutWaits.Log(n.log, "service", s.Service, "target", s.Target, "order", s.Revision, "why", step.Reason, "age", now-s.OrderedAt)
	}
	if acts && step.SetPhase > s.Phase {
		n.say(s, step.SetPhase)
	}
	if calls {
		go n.callRollout(*s, facts.Status, step)
	}
}

func (n *Node) say(s *rollout.OrderState, w rollout.Phase) {
	n.order(n.settings.Name, func(now time.Duration, v *rollout.View) []rollout.Change { return v.SetPhase(now, s.Revision, w) })
}

// rolloutFacts gathers what is known of an order, and judges it.
func (n *Node) rolloutFacts(now time.Duration, s *rollout.OrderState) *rollout.Inputs {
	w := n.world.Load()
	r := n.rollouts
	alive := n.liveInstances()
	f := &rollout.Inputs{Order: *s, Slack: r.slack}
	f.Configured = w.config != nil && w.config.Services[s.Service] != nil
	for _, x := range w.replicas {
		switch {
		case x.Service != s.Service || x.Draining || x.HallDrained:
		case x.Version != s.Target:
			f.OldReady++
		case x.WarmingUntil <= now:
			f.NewReady++
		}
	}
	n.gossipMu.Lock()
	self := n.members.Self()
	n.gossipMu.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.seen(s.Revision)
	o.reports.Merge(self.Name, self.Incarnation, r.report(s))
	rows, sent, longest := o.reports.Sums()
	f.Status, f.Sent, f.LongestRequest = o.status, sent, longest
	for _, i := range alive {
		rep, ok := o.reports.Latest(i.Name, i.Incarnation)
		if !ok || !rep.FullyShifted {
			f.Lagging++
		}
		f.Pinned += rep.Pinned
		f.InFlight += rep.InFlight
	}
	before := o.judge.Latest()
	f.Judgement = o.judge.Observe(now, rows, s.Phase == rollout.Promoted)
	if f.Judgement.Verdict != before.Verdict || now-o.logged >= logJudged && s.Phase < rollout.Rejected {
		o.logged = now
		n.logJudgement(now, s, &f.Judgement)
	}
	return f
}

func (n *Node) logJudgement(now time.Duration, s *rollout.OrderState, j *rollout.Judgement) {
	x := j.Worst()
	event.RolloutJudged.Log(n.log, "service", s.Service, "target", s.Target, "order", s.Revision, "verdict", j.Verdict, "why", j.Reason,
		"route", x.Route, "new", x.New, "new_bad", x.NewBad, "old", x.Old, "old_bad", x.OldBad, "granted", x.GrantedRate,
		"against", x.Against, "accepted", x.Accepted, "age", now-s.OrderedAt)
}

// callRollout reads or writes an order's status. After a write it is read
// again, whatever became of it, before anything else is decided.
func (n *Node) callRollout(s rollout.OrderState, status rollout.Status, step rollout.Step) {
	did := "read"
	var err error
	if step.ReadStatus {
		status, err = n.store.RolloutStatus(s.Order)
	} else {
		did = "write " + step.WriteState.String()
		err = n.store.WriteRollout(s, status, step.WriteState)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			n.logRolloutCall(&s, did, status, err)
		}
		status, err = n.store.RolloutStatus(s.Order)
	}
	n.logRolloutCall(&s, did, status, err)
	r := n.rollouts
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.seen(s.Revision)
	o.status, o.calling = status, false
	o.due, o.pause = n.now(), 0
	if err != nil {
		o.wait = min(max(2*o.wait, minStoreRetryDelay), maxStoreRetryDelay)
		o.pause = o.wait
		return
	}
	o.wait = 0
}

func (n *Node) logRolloutCall(s *rollout.OrderState, did string, status rollout.Status, err error) {
	event.RolloutStatus.Log(n.log, "service", s.Service, "target", s.Target, "order", s.Revision, "did", did,
		"state", status.State, "revision", status.Revision, "error", err)
}
