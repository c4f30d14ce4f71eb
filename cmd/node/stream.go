package node

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"quinceroad/protocol/event"
)

// streamState tracks the part of a stream that the client has received, over all
// attempts.
type streamState struct {
	headersSent bool
	lastEventID string // ID of the last complete event that has one
}

// forwardStream forwards events as they arrive, each one complete. A client that reads
// slowly holds up the replica only when the queue between them is full.
func (a *attempt) forwardStream(timer *time.Timer) error {
	q := newEventQueue(a.node.heldAnswers)
	received := make(chan struct{})
	go func() {
		defer close(received)
		q.end(a.receiveEvents(q, timer))
	}()
	err := a.sendEvents(q)
	if err != nil {
		q.close()
		a.conn.Close() // ends receiveEvents
	}
	<-received
	timer.Stop()
	if q.hasWaited() {
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
func (a *attempt) receiveEvents(q *eventQueue, timer *time.Timer) error {
	events := newEventReader(a.exchange)
	lastEventAt := time.Duration(0) // 0: no event yet
	for {
		e, err := events.next()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return a.abortReasonOr(errStreamBroken)
		}
		if lastEventAt == 0 {
			a.answerStartedAt = a.node.now()
			a.recordOrigin()
			if a.job != nil {
				a.job.reportFirstEvent()
			}
		} else {
			a.maxEventGap = max(a.maxEventGap, a.node.now()-lastEventAt)
		}
		a.countAnswerBytes(len(e.bytes))
		if !q.push(e, func() { timer.Stop() }) {
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
func (a *attempt) sendEvents(q *eventQueue) error {
	control := http.NewResponseController(a.w)
	for {
		e, ok, err := q.first()
		if !ok {
			return err
		}
		a.startStream()
		a.limitWriteTime(control)
		if _, err := a.w.Write(e.bytes); err != nil {
			return errClientGone
		}
		if err := control.Flush(); err != nil {
			return errClientGone
		}
		if e.id != "" {
			a.stream.lastEventID = e.id
		}
		q.removeFirst()
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

// streamEvent is one event of a stream, including the blank line that ends it.
type streamEvent struct {
	bytes      []byte
	id         string
	isReserved bool // counted in heldAnswers
}

// eventReader splits a stream into complete events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

// maxEventBytes is the maximum size of an event. An event is held until it is complete.
const maxEventBytes = 1 << 20

var idField = []byte("id:")

// next returns the next complete event, io.EOF after the last one of a complete
// stream, and another error if the stream broke off.
func (e *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	lineStart := 0
	for {
		part, err := e.r.ReadSlice('\n')
		ev.bytes = append(ev.bytes, part...)
		switch {
		case len(ev.bytes) > maxEventBytes:
			return ev, errStreamBroken
		case err == bufio.ErrBufferFull: // a long line
			continue
		case err == io.EOF && len(ev.bytes) > 0:
			return ev, errStreamBroken // incomplete event
		case err != nil:
			return ev, err
		}
		text := bytes.TrimRight(ev.bytes[lineStart:], "\r\n")
		lineStart = len(ev.bytes)
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, idField); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}
