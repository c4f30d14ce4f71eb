package event

import "github.com/hashicorp/go-hclog"

// Events of rollouts, which nodes lead.
var (
	RolloutOrdered      = add(3140, hclog.Warn, "roll-out ordered", "service, target, order, for, from", "An operator wants a service moved to a version of its software.", "follow it with quincectl rollouts")
	RolloutEnded        = add(3141, hclog.Warn, "roll-out order ended", "service, target, order, phase, from", "The order was taken back, or another one came for its service: what was not completed gets nothing more.", noAction)
	RolloutOrderInvalid = add(3142, hclog.Error, "roll-out order can't be read", "service, error", "The order is passed over; an earlier one for the service stands.", "mend the order")
	RolloutPhase        = add(3143, hclog.Warn, "roll-out phase", "service, target, order, phase, from, age", "From now on the version gets a small part (open), more in steps (trusted), everything (done) or nothing (bad).", "for bad, see event 3144 of whoever judged")
	RolloutJudged       = add(3144, hclog.Info, "roll-out judged", "service, target, order, verdict, why, route, new, new_bad, old, old_bad, granted, against, accepted, age", "What those who judge have seen of the version; the route is the one that most speaks against it.", noAction)
	RolloutStatus       = add(3145, hclog.Info, "roll-out status", "service, target, order, did, state, revision, error", "Whoever leads has read or written the order's status in the store.", "when errors last, see to the platform's store")
	RolloutWaits        = add(3146, hclog.Info, "roll-out waits", "service, target, order, why, age", "Why the order is not taken further now.", noAction)
	RolloutJudgedHere   = add(3147, hclog.Info, "roll-out judged here", "service, order, rank", "This instance judges the version; the one of rank 0 leads, the others follow up when it is silent.", noAction)
	RolloutShare        = add(3148, hclog.Info, "roll-out share", "service, target, order, share, replicas", "The part of its own requests that this instance gives the version, and to how many of its replicas.", noAction)
)
