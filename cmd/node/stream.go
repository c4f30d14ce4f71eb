package node

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"
)

// streamState tracks the part of a stream that the client has received, over all
// attempts.
type streamState struct {
	headersSent bool
	lastEventID string // ID of the last complete event that has one
}

// forwardStream forwards events as they arrive, each one complete.
func (a *attempt) forwardStream(timer *time.Timer) error {
	control := http.NewResponseController(a.w)
	events := newEventReader(a.exchange)
	lastEventAt := time.Duration(0) // 0: no event yet
	for {
		e, err := events.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return a.abortReasonOr(errStreamBroken)
		}
		if a.canResumeElsewhere() {
			timer.Reset(max(eventGapFactor*a.route.GapObjective, minEventGapTimeout))
		} else {
			timer.Stop()
		}
		isFirst := lastEventAt == 0
		if !isFirst {
			a.maxEventGap = max(a.maxEventGap, a.node.now()-lastEventAt)
		}
		lastEventAt = a.node.now()
		if isFirst {
			a.answerStartedAt = lastEventAt
		}
		if !a.stream.headersSent {
			a.stream.headersSent = true
			a.timeToFirstEvent = a.elapsed()
			a.copyHeaders()
			a.node.counters.answersWithStatus(a.exchange.Header.StatusCode()).Inc(1)
			a.w.WriteHeader(a.exchange.Header.StatusCode())
		}
		if isFirst && a.job != nil {
			a.job.reportFirstEvent()
		}
		if e.id != "" {
			a.stream.lastEventID = e.id
		}
		_ = control.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		a.countRemoteBytes(len(e.bytes))
		if _, err := a.w.Write(e.bytes); err != nil {
			return errClientGone
		}
		if err := control.Flush(); err != nil {
			return errClientGone
		}
	}
	timer.Stop()
	_ = control.SetWriteDeadline(time.Time{})
	if !a.stream.headersSent { // a stream without events
		a.stream.headersSent = true
		a.copyHeaders()
		a.w.WriteHeader(a.exchange.Header.StatusCode())
	}
	return nil
}

// canResumeElsewhere reports whether a broken stream may continue at another replica.
func (a *attempt) canResumeElsewhere() bool {
	return a.route.Resumable && len(a.tried) < a.route.MaxAttempts
}

// streamEvent is one event of a stream, including the blank line that ends it.
type streamEvent struct {
	bytes []byte
	id    string
}

// eventReader splits a stream into complete events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

var idField = []byte("id:")

// next returns the next complete event, io.EOF after the last one of a complete
// stream, and another error if the stream broke off.
func (e *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	for {
		line, err := e.r.ReadBytes('\n')
		ev.bytes = append(ev.bytes, line...)
		if err != nil {
			if err == io.EOF && len(ev.bytes) > 0 {
				return ev, errStreamBroken // incomplete event
			}
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(text, idField); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}
