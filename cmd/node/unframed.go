package node

import (
	"context"
	"errors"
	"net/http"

	"quinceroad/coordination/answerend"
	"quinceroad/coordination/quarantine"
	"quinceroad/protocol/event"
)

// errEndDoubtful is the error of an answer that may be a part of one.
var errEndDoubtful = errors.New("nobody could tell whether the answer is complete")

// checkUnframedEnd checks an answer that was read to its end. One with neither a length nor
// chunks is complete only if its replica runs after it.
func (a *attempt) checkUnframedEnd() error {
	if a.isAnswerFramed() {
		return nil
	}
	n := a.node
	incarnation := n.quarantine.incarnationAt(a.replica.ID, a.sentAt)
	askedAt := n.now()
	end := answerend.End{Life: n.awaitLife(context.Background(), n.prober.After(&a.replica, incarnation)), Leaving: a.head.Draining}
	verdict := end.Verdict()
	n.counters.unframedAnswers[verdict].Inc(1)
	logged := event.NodeUnframedAnswerEnded
	if verdict != answerend.Whole {
		logged = event.NodeUnframedAnswerBroken
	}
	logged.Log(n.log, "request", a.req.ID, "fingerprint", a.fingerprint, "replica", a.replica.ID, "through", a.conn.RelayedBy(),
		"verdict", verdict, "life", end.Life, "leaves", a.head.Draining, "waited", n.now()-askedAt)
	switch verdict {
	case answerend.Broken:
		return errAnswerBroken
	case answerend.Doubtful:
		return errEndDoubtful
	}
	return nil
}

// recordWholeAnswer records what a complete answer shows: the request did not crash its
// replica, and if the replica wrote on the prompt, its parts don't either.
func (a *attempt) recordWholeAnswer() {
	var sound []quarantine.Fingerprint
	if a.answerBegan.Load() && a.exchange.Header.StatusCode() < http.StatusMultipleChoices {
		sound = a.parts
	}
	a.node.recordCompleteAnswer(a.fingerprint, sound)
}
