package node

import (
	"context"
	"errors"
	"time"

	"quinceroad/cmd/node/slotlease"
	"quinceroad/coordination/advisory"
	"quinceroad/coordination/gossip"
	"quinceroad/coordination/sendresult"
	"quinceroad/protocol/frame"
	"quinceroad/state/catalog"
)

// slotDenial reports that a brittle replica has no free slot, as its grantor says.
type slotDenial struct{ wait time.Duration } // until the grantor may be asked again

// Error implements the error interface.
func (e *slotDenial) Error() string { return "the replica is brittle and has no free slot" }

// newSlotService returns the service that leases slots of brittle replicas.
func (n *Node) newSlotService() *slotlease.Service {
	return slotlease.New(slotlease.Options{
		Name: n.settings.Name, Now: n.now, Peers: n.links, Grantors: n.grantorsOfIncarnation, LiveCount: n.liveInstanceCount,
		Log: n.log, Registry: n.registry,
	})
}

// grantorsOfIncarnation returns the grantor of a listed replica and its deputies.
func (n *Node) grantorsOfIncarnation(incarnation string) []gossip.Instance {
	r, ok := n.snapshot.Load().replicaByIncarnation(incarnation)
	if !ok {
		return nil
	}
	return n.grantorLookup().grantorsOf(&r)
}

// acquireSlot obtains a lease on a slot of a replica if its service states that it is brittle;
// nil: none is needed, or none is to be had from anybody and the tracker bounds the request.
// It waits for a slot for at most maxWait, and returns a slotDenial if there is none by then.
// The request needs the slot for at most hold.
func (n *Node) acquireSlot(ctx context.Context, r *catalog.Replica, hold, maxWait time.Duration) (*slotlease.Lease, error) {
	a := n.advisories
	if !a.hasBrittle.Load() {
		return nil, nil
	}
	for {
		ask, rank, ok := a.nextSlotAsk(n.now(), r)
		if !ok {
			return nil, nil
		}
		ask.Hold, ask.MaxWait = hold, max(maxWait, 0)
		lease, wait, err := n.slots.Acquire(ctx, ask, rank)
		if err == nil && lease != nil {
			return lease, nil
		}
		if isDone(ctx) {
			return nil, ctx.Err()
		}
		now := n.now()
		switch {
		case err == nil:
			a.withTracker(func(t *advisory.Tracker) { t.RecordLeaseDenied(now, r.ID, now+max(wait, backoffPollInterval)) })
			return nil, &slotDenial{wait: wait}
		case errors.Is(err, frame.ErrUnknownKind): // a build without leases
			a.withTracker(func(t *advisory.Tracker) { t.RecordNoLeases(now, r.ID, now+grantorLostDelay) })
			return nil, nil
		case errors.Is(err, slotlease.ErrSlow): // another request may be luckier
			a.withTracker(func(t *advisory.Tracker) { t.RecordLeaseDenied(now, r.ID, now+backoffPollInterval) })
			return nil, &slotDenial{wait: backoffPollInterval}
		default:
			n.logSideCallFailure("slot lease", r.ID, err)
			a.withTracker(func(t *advisory.Tracker) { t.RecordGrantorLost(now, r.ID, rank, now+grantorLostDelay) })
		}
	}
}

// nextSlotAsk returns the request for a lease of a replica and the rank of the grantor to ask,
// or false if none is needed or none can be asked now.
func (a *advisories) nextSlotAsk(now time.Duration, r *catalog.Replica) (ask advisory.SlotAsk, rank int, ok bool) {
	a.withTracker(func(t *advisory.Tracker) {
		if ask, ok = t.SlotAsk(r.Service, r.ID); ok {
			rank, ok = t.NextGrantor(now, r.ID)
		}
	})
	return ask, rank, ok
}

// leaseEnd returns what an attempt's end means for the slot that it used.
func leaseEnd(kind sendresult.Kind, isBackoff bool) advisory.LeaseEnd {
	switch kind {
	case sendresult.Refused:
		if isBackoff {
			return advisory.LeaseCompleted
		}
		return advisory.LeaseRefused
	case sendresult.Succeeded, sendresult.Failed, sendresult.MissingInputs:
		return advisory.LeaseCompleted
	}
	return advisory.LeaseAbandoned
}
