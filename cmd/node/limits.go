package node

import (
	"fmt"
	"time"

	"quinceroad/coordination/pace"
	"quinceroad/platform"
	"quinceroad/protocol/event"
	"quinceroad/protocol/pb"
	"quinceroad/state/catalog"
)

const (
	freshLimit = 3 * time.Second // that a new word is told by each heartbeat: five rounds reach 390 instances in a second
	mostLimits = 16              // words in a heartbeat, which is to stay one datagram
)

// takeLimit takes in what an answer says of how much its replica takes.
func (n *Node) takeLimit(from stater, h *platform.Head) {
	switch {
	case h.Unclear != "":
		n.noteUnread(from.service, h.Unclear, "answer")
	case h.Limit.Stated, !from.aside && n.statements.paced.Load():
		n.hearLimit(pace.Report{Incarnation: from.life, Limit: h.Limit}, itsOwn)
	}
}

// hearLimit takes in what a replica states, to this instance or to the one named,
// and tells the others what is new.
func (n *Node) hearLimit(w pace.Report, by string) {
	var was pace.Limit
	change, isNoted := pace.Unchanged, false
	n.statements.withPaces(func(b *pace.Tracker) {
		was = b.Limit(w.Incarnation)
		change = b.Record(n.now(), w)
		isNoted = change != pace.Unchanged && b.ShouldLog(n.now(), w.Incarnation)
	})
	if change != pace.Unchanged && by == itsOwn {
		n.tellKeeper(w.Incarnation)
	}
	if !isNoted {
		return
	}
	switch change {
	case pace.Added, pace.Updated:
		before := -1.0
		if was.Stated {
			before = was.PerSecond
		}
		event.NodeReplicaLimits.Log(n.log, "replica", w.Incarnation, "service", n.serviceOf(w.Incarnation), "per_second", w.Limit.PerSecond, "was", before, "by", by)
	case pace.Removed:
		event.NodeReplicaUnlimited.Log(n.log, "replica", w.Incarnation, "by", by)
	}
	if by == itsOwn {
		n.tell()
	}
}

// itsOwn stands in log lines for a replica's own answer to this instance.
const itsOwn = "its own"

// replicaOf returns a listed replica by its life.
func (w *world) replicaOf(life string) (catalog.Replica, bool) {
	for _, r := range w.all {
		if r.ID == life {
			return r, true
		}
	}
	return catalog.Replica{}, false
}

func (n *Node) serviceOf(life string) string {
	r, _ := n.world.Load().replicaOf(life)
	return r.Service
}

// limitWord is what this instance knows of a replica's limit, as it is told.
func (n *Node) limitWord(life string) *pb.ReplicaLimit {
	out := &pb.ReplicaLimit{Id: life}
	n.statements.withPaces(func(b *pace.Tracker) {
		for _, w := range b.Reports(n.now(), life) {
			out = limitOf(w)
		}
	})
	return out
}

// limitNews returns what is worth telling others of limits.
func (n *Node) limitNews() []*pb.ReplicaLimit {
	var out []*pb.ReplicaLimit
	n.statements.withPaces(func(b *pace.Tracker) {
		for _, w := range b.Updates(n.now(), freshLimit, mostLimits) {
			out = append(out, limitOf(w))
		}
	})
	return out
}

func limitOf(w pace.Report) *pb.ReplicaLimit {
	return &pb.ReplicaLimit{Id: w.Incarnation, PerSecond: w.Limit.PerSecond, Ended: !w.Limit.Stated, AgeMs: uint32(w.Age.Milliseconds())}
}

// takeLimits takes in what a peer tells of limits.
func (n *Node) takeLimits(from string, all []*pb.ReplicaLimit) {
	for _, l := range all {
		if l.GetId() == "" || len(l.GetId()) > mostLife || !pace.IsValidRate(l.GetPerSecond()) {
			continue
		}
		limit := pace.Limit{}
		if !l.Ended {
			limit = pace.Limit{PerSecond: l.PerSecond, Stated: true}
		}
		n.hearLimit(pace.Report{Incarnation: l.Id, Limit: limit, Age: time.Duration(l.AgeMs) * time.Millisecond}, from)
	}
}

// mostLife bounds a replica's name from a peer, in bytes.
const mostLife = 256

// tellKeeper tells the keeper of a replica what is known of limits, as it gives
// turns by them.
func (n *Node) tellKeeper(life string) {
	r, ok := n.world.Load().replicaOf(life)
	if !ok || n.socket == nil {
		return
	}
	keeper, ok := n.keepers().of(&r)
	if !ok || keeper.Name == n.settings.Name {
		return
	}
	n.introduce([]string{keeper.HeartbeatAddress})
}

// sweepLimits takes in what time and views have changed of limits.
func (n *Node) sweepLimits() {
	s := n.statements
	was := s.unlimited
	s.withPaces(func(b *pace.Tracker) { s.unlimited = b.Empty() })
	if s.unlimited && was {
		return
	}
	w, now := n.world.Load(), n.now()
	listed := make(map[string]catalog.Replica, len(w.all))
	for _, r := range w.all {
		listed[r.ID] = r
	}
	var lives []string
	s.withPaces(func(b *pace.Tracker) {
		s.told.Expire(now)
		b.Expire(now, func(life string) bool { _, ok := listed[life]; return ok })
		lives = b.LimitedIncarnations()
	})
	limited := make(map[string]int64)
	who := n.keepers()
	for _, life := range lives {
		r, ok := listed[life]
		if !ok {
			continue
		}
		limited[r.Service]++
		keeps := who.isSelf(&r)
		s.withPaces(func(b *pace.Tracker) { b.SetGrantor(now, life, keeps) })
	}
	n.counters.stated("limited", limited)
}

// limitedStates tells, for the dump, what replicas state that they take and who
// gives their turns.
func (n *Node) limitedStates(w *world) map[string]string {
	var limited map[string]float64
	n.statements.withPaces(func(b *pace.Tracker) { limited = b.Limits() })
	who := n.keepers()
	out := make(map[string]string, len(limited))
	for life, perSecond := range limited {
		keeper := "nobody"
		if r, ok := w.replicaOf(life); ok {
			if k, ok := who.of(&r); ok {
				keeper = k.Name
			}
		}
		out[life] = fmt.Sprintf("%g a second, turns by %s", perSecond, keeper)
	}
	return out
}
