package node

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"
)

// streamState is what the client has of a stream, over all attempts.
type streamState struct {
	headSent  bool
	lastEvent string // id of the last whole event
}

// passStream passes events on as they come, each whole.
func (a *attempt) passStream(watch *time.Timer) error {
	control := http.NewResponseController(a.w)
	events := newEventReader(a.x)
	last := time.Duration(0) // 0: no event yet
	for {
		e, err := events.next()
		if err == io.EOF {
			break
		}
		if err != nil {
			return a.broken(errCutOff)
		}
		if a.mayMoveOn() {
			watch.Reset(max(gapTimes*a.route.GapObjective, leastGap))
		} else {
			watch.Stop()
		}
		first := last == 0
		if !first {
			a.gap = max(a.gap, a.node.now()-last)
		}
		last = a.node.now()
		if first {
			a.began = last
		}
		if !a.stream.headSent {
			a.stream.headSent = true
			a.first = a.since()
			a.copyHead()
			a.node.counters.answers(a.x.Header.StatusCode()).Inc(1)
			a.w.WriteHeader(a.x.Header.StatusCode())
		}
		if first && a.job != nil {
			a.job.first()
		}
		if e.id != "" {
			a.stream.lastEvent = e.id
		}
		_ = control.SetWriteDeadline(time.Now().Add(clientWrite))
		a.countAnswer(len(e.bytes))
		if _, err := a.w.Write(e.bytes); err != nil {
			return errLeft
		}
		if err := control.Flush(); err != nil {
			return errLeft
		}
	}
	watch.Stop()
	_ = control.SetWriteDeadline(time.Time{})
	if !a.stream.headSent { // a stream without events
		a.stream.headSent = true
		a.copyHead()
		a.w.WriteHeader(a.x.Header.StatusCode())
	}
	return nil
}

func (a *attempt) mayMoveOn() bool {
	return a.route.Resumable && len(a.tried) < a.route.MaxAttempts
}

// streamEvent is one event of a stream with the blank line that ends it.
type streamEvent struct {
	bytes []byte
	id    string
}

// eventReader cuts a stream into whole events.
type eventReader struct{ r *bufio.Reader }

func newEventReader(r io.Reader) *eventReader { return &eventReader{r: bufio.NewReader(r)} }

var idField = []byte("id:")

// next returns the next whole event; io.EOF after the last one of a whole
// stream, another error when the stream broke off.
func (e *eventReader) next() (streamEvent, error) {
	var ev streamEvent
	for {
		line, err := e.r.ReadBytes('\n')
		ev.bytes = append(ev.bytes, line...)
		if err != nil {
			if err == io.EOF && len(ev.bytes) > 0 {
				return ev, errCutOff // an event without its end
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
