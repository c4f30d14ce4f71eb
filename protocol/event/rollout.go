package event

import "github.com/hashicorp/go-hclog"

// Events of rollouts, which nodes coordinate.
var (
	RolloutOrdered      = add(3140, hclog.Warn, "roll-out ordered", "service, target, order, for, from", "An operator ordered the rollout of a software version of a service.", "follow it with quincectl rollouts")
	RolloutEnded        = add(3141, hclog.Warn, "roll-out order ended", "service, target, order, phase, from", "The order was withdrawn, or replaced by another one for its service: if the rollout was not complete, the version gets no more requests.", noAction)
	RolloutOrderInvalid = add(3142, hclog.Error, "roll-out order can't be read", "service, error", "The order is ignored; an earlier one for the service remains in force.", "mend the order")
	RolloutPhase        = add(3143, hclog.Warn, "roll-out phase", "service, target, order, phase, from, age", "From now on the version gets a small share of the requests (open), a share that grows in steps (trusted), all of them (done) or none (bad).", "for bad, see event 3144 of the instances that judge the version")
	RolloutJudged       = add(3144, hclog.Info, "roll-out judged", "service, target, order, verdict, why, route, new, new_bad, old, old_bad, granted, against, accepted, age", "The judgement of this instance on the version, based on the results that the instances report; route: the one with the strongest evidence against the version.", noAction)
	RolloutStatus       = add(3145, hclog.Info, "roll-out status", "service, target, order, did, state, revision, error", "The instance that leads the rollout has read or written the order's status in the store.", "if errors persist, check the platform's store")
	RolloutWaits        = add(3146, hclog.Info, "roll-out waits", "service, target, order, why, age", "The rollout does not advance at present; why: the reason.", noAction)
	RolloutJudgedHere   = add(3147, hclog.Info, "roll-out judged here", "service, order, rank", "The rank of this instance among those that judge the version has changed: rank 0 leads the rollout, the others take over in this order when it does not act; -1: it does not judge.", noAction)
	RolloutShare        = add(3148, hclog.Info, "roll-out share", "service, target, order, share, replicas", "The share of its own requests that this instance sends to the version, and the number of the version's replicas that it uses.", noAction)
)
