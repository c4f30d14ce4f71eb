package node

import (
	"quinceroad/protocol/event"
	"quinceroad/transport/answerhead"
)

// exchangeInfo names an exchange with a replica in the log.
type exchangeInfo struct {
	replica string // its incarnation
	service string
	asked   string // the route of a request, or the path of a call
	through string // the peer that relayed the connection; "": none
}

// recordBrokenHead counts and logs the bytes of a replica that are not the head of an answer, if these are
// what an error reports.
func (n *Node) recordBrokenHead(x exchangeInfo, err error) (isBroken bool) {
	reason, isBroken := answerhead.ReasonOf(err)
	if isBroken {
		n.counters.brokenHeads.Inc(1)
		event.NodeAnswerHeadBroken.Log(n.log, "replica", x.replica, "service", x.service, "asked", x.asked, "through", x.through, "reason", reason)
	}
	return isBroken
}
