package node

import (
	"io"
	"net/http"
	"time"

	"quinceroad/cmd/node/eventstream"
	"quinceroad/protocol/event"
)

// streamState tracks the part of a stream that the client has received, over all
// attempts.
type streamState struct {
	headersSent bool
	lastEventID string // ID of the last complete event that has one
	isAnswer    bool   // what was sent is no stream, so that no other attempt can continue it
}

// forwardStream forwards events as they arrive, each one complete. A client that reads
// slowly holds up the replica only when the queue between them is full.
func (a *attempt) forwardStream(timer *time.Timer) error {
	q := eventstream.NewQueue(a.node.heldAnswers)
	received := make(chan struct{})
	go func() {
		defer close(received)
		q.End(a.receiveEvents(q, timer))
	}()
	err := a.sendEvents(q)
	if err != nil {
		q.Close()
		a.conn.Close() // ends receiveEvents
	}
	<-received
	timer.Stop()
	if q.HasWaited() {
		a.node.counters.slowReaders.Inc(1)
		event.NodeClientReadsSlowly.Log(a.node.log, "request", a.req.ID, "customer", a.customer, "replica", a.replica.ID, "complete", err == nil)
	}
	if err != nil {
		return err
	}
	_ = http.NewResponseController(a.w).SetWriteDeadline(time.Time{})
	a.startStream() // a stream without events
	return nil
}

// receiveEvents puts the replica's events into the queue. It returns nil after the last
// one of a complete stream. The timer runs only while the replica is to send.
func (a *attempt) receiveEvents(q *eventstream.Queue, timer *time.Timer) error {
	events := eventstream.NewReader(a.exchange, a.node.heldAnswers)
	defer events.Close()
	lastEventAt := time.Duration(0) // 0: no event yet
	received := 0                   // bytes
	for {
		e, err := events.Next()
		if err == io.EOF {
			return a.checkUnframedEnd()
		}
		if received += len(e.Bytes); err != nil || received > maxAnswerBytes {
			return a.abortReasonOr(errStreamBroken)
		}
		if lastEventAt == 0 {
			timer.Stop()
			a.answerStartedAt = a.node.now()
			if err := a.beginStream(); err != nil {
				return err
			}
			a.answerBegan.Store(true)
			if a.job != nil {
				a.job.reportFirstEvent()
			}
		} else {
			a.maxEventGap = max(a.maxEventGap, a.node.now()-lastEventAt)
		}
		a.countAnswerBytes(len(e.Bytes))
		if !q.Push(e, func() { timer.Stop() }) {
			return errClientGone
		}
		lastEventAt = a.node.now()
		if a.canResumeElsewhere() {
			timer.Reset(max(eventGapFactor*a.route.GapObjective, minEventGapTimeout))
		} else {
			timer.Stop()
		}
	}
}

// sendEvents sends the queued events to the client. It returns the result of the stream.
func (a *attempt) sendEvents(q *eventstream.Queue) error {
	control := http.NewResponseController(a.w)
	for {
		e, ok, err := q.First()
		if !ok {
			return err
		}
		a.startStream()
		a.limitWriteTime(control)
		if _, err := a.w.Write(e.Bytes); err != nil {
			return errClientGone
		}
		if err := control.Flush(); err != nil {
			return errClientGone
		}
		if e.ID != "" {
			a.stream.lastEventID = e.ID
		}
		q.RemoveFirst()
	}
}

// startStream sends the headers unless they were sent.
func (a *attempt) startStream() {
	if a.stream.headersSent {
		return
	}
	a.stream.headersSent = true
	a.timeToFirstEvent = a.elapsed()
	a.copyHeaders()
	status := a.exchange.Header.StatusCode()
	a.node.counters.answersWithStatus(status).Inc(1)
	a.w.WriteHeader(status)
}

// canResumeElsewhere reports whether a broken stream may continue at another replica.
func (a *attempt) canResumeElsewhere() bool {
	return a.route.Resumable && len(a.tried) < a.route.MaxAttempts
}

// limitWriteTime sets until when the client may take to read what is written next: a client
// that reads slowly is served for as long as its request may take.
func (s *requestHandler) limitWriteTime(control *http.ResponseController) {
	_ = control.SetWriteDeadline(time.Now().Add(max(s.deadline-s.node.now(), clientWriteTimeout)))
}
