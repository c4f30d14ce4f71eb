package node

import (
	"context"
	"net/http"

	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
)

// checkUnframedEnd checks an answer that was read to its end. One with neither a length nor
// chunks ends with its connection, and so does one whose replica crashes: if the replica does
// not run any more, the answer has broken off.
func (a *attempt) checkUnframedEnd() error {
	if a.isAnswerFramed() {
		return nil
	}
	n := a.node
	incarnation := n.quarantine.incarnationAt(a.replica.ID, a.sentAt)
	p := n.probeLivenessNow(&a.replica, incarnation)
	began := n.now()
	ended := n.awaitLivenessProbe(context.Background(), p)
	event.NodeUnframedAnswerEnded.Log(n.log, "request", a.req.ID, "replica", a.replica.ID, "through", a.conn.RelayedBy(),
		"end", a.exchange.EndError(), "ended", ended, "runs", p.isAlive(), "waited", n.now()-began)
	switch {
	case ended && !a.head.Draining: // one that drains may end after its last answer
		event.NodeUnframedAnswerBroken.Log(n.log, "request", a.req.ID, "fingerprint", a.fingerprint, "replica", a.replica.ID)
		n.counters.unframedBroken.Inc(1)
		return errStreamBroken
	case ended || !p.isAlive():
		a.endIsUncertain = true
	}
	return nil
}

// recordWholeAnswer records what a complete answer shows: the request did not crash its
// replica, and if the replica wrote on the prompt and certainly ended, its parts don't either.
func (a *attempt) recordWholeAnswer() {
	if a.endIsUncertain {
		a.node.recordAbandonedRequest(a.replica.ID, a.sentAt, a.features(), a.heldTrials())
		return
	}
	var sound []quarantine.Fingerprint
	if a.answerBegan.Load() && a.exchange.Header.StatusCode() < http.StatusMultipleChoices {
		sound = a.parts
	}
	a.node.recordCompleteAnswer(a.fingerprint, sound)
}
