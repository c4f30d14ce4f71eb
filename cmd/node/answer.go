package node

import (
	"errors"
	"io"
	"net/http"
	"time"

	"quinceroad/cmd/node/eventstream"
	"quinceroad/platform"
	"quinceroad/state/catalog"
)

const (
	// Bytes up to which an answer is read in full before the client gets it, so that the
	// request can be sent to another replica if it breaks off. A longer one is passed on as
	// it arrives.
	maxBufferedAnswer = 256 << 10
	forwardChunk      = 32 << 10 // bytes of a long answer that are read at a time
	// Bytes of an answer's body, or of all events of a stream, after which it is taken for one without
	// end. Answers and streams in use are far shorter.
	maxAnswerBytes = 16 << 20
	// Bytes of the body of a refusal that are read, so that its connection can be used again, and
	// the time for them. The head has said everything.
	maxRefusalBytes = 64 << 10
	maxRefusalTime  = 100 * time.Millisecond
)

// forwardAnswer passes an answer to the client after its headers have arrived.
func (a *attempt) forwardAnswer(timer *time.Timer) error {
	status := a.exchange.Header.StatusCode()
	if a.head.NotRun {
		a.conn.RecordRefused(a.req.ID)
		if !a.isOwnRefusal() {
			a.conn.Close()
			return errRefusalUnnamed
		}
	}
	switch {
	case a.head.NotRun && status == http.StatusConflict:
		a.skipRefusalBody()
		return errMissingInputs
	case a.head.NotRun:
		a.skipRefusalBody()
		return errReplicaRefused
	case isPromise(status) && !a.canFailOver():
		a.skipRefusalBody()
		return errPromiseUnproven
	case status < http.StatusMultipleChoices && !a.head.HasSignature(), a.exchange.Header.ContentLength() > maxAnswerBytes:
		return errAnswerBroken
	case status < http.StatusMultipleChoices && a.route.Kind == catalog.Stream:
		return a.forwardStream(timer)
	}
	held, err := a.readHeld()
	defer held.release()
	if err != nil {
		return a.abortReasonOr(errAnswerBroken)
	}
	body, isLong := held.body, !a.exchange.IsComplete()
	timer.Stop()
	a.answerBegan.Store(len(body) > 0)
	if !isLong {
		if err := a.checkUnframedEnd(); err != nil {
			return err
		}
	}
	if status >= http.StatusInternalServerError && a.shouldRetryFailure() {
		return errReplicaFailed
	}
	if a.stream.headersSent {
		return errStreamBroken
	}
	a.copyHeaders()
	a.node.counters.answersWithStatus(status).Inc(1)
	control := http.NewResponseController(a.w)
	a.limitWriteTime(control)
	a.w.WriteHeader(status)
	_, _ = a.w.Write(body) // an error is that of a client that has gone
	a.countAnswerBytes(len(body))
	if isLong {
		return a.forwardRest(len(body))
	}
	_ = control.SetWriteDeadline(time.Time{})
	return nil
}

// heldAnswer is the beginning of an answer, which is held until it is passed on.
type heldAnswer struct {
	body    []byte
	release func() // ends the counting of its bytes
}

// readHeld reads an answer's body up to the bytes that are held before the client gets it. The process
// holds only so much of all answers: where no more has room, less is held of a long one.
func (a *attempt) readHeld() (heldAnswer, error) {
	h := heldAnswer{release: func() {}}
	var err error
	h.body, err = io.ReadAll(io.LimitReader(a.exchange, eventstream.FreeBytes))
	if err != nil || a.exchange.IsComplete() || !a.node.heldAnswers.Reserve(maxBufferedAnswer) {
		return h, err
	}
	h.release = func() { a.node.heldAnswers.Release(maxBufferedAnswer) }
	rest, err := io.ReadAll(io.LimitReader(a.exchange, maxBufferedAnswer-eventstream.FreeBytes))
	h.body = append(h.body, rest...)
	return h, err
}

// errRefusalUnnamed is the error of a refusal that may be that of an earlier exchange.
var errRefusalUnnamed = errors.New("a refusal that names no request came on a connection that was used before")

// errPromiseUnproven is the error of an answer that would tell the client that its request was
// not run, though the replica does not state that.
var errPromiseUnproven = errors.New("the replica's status says that it did not run the request, but it does not state so")

// isPromise reports whether a status promises a client that its request was not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// isOwnRefusal reports whether a refusal is one of this request: it names it, or no other
// answer can come on its connection. Another replica at the address refuses whatever is sent.
func (a *attempt) isOwnRefusal() bool {
	return string(a.exchange.Header.Peek(platform.HeaderRequestID)) == a.req.ID || !a.conn.IsReused() || a.head.WrongReplica
}

// skipRefusalBody reads what follows the head of a refusal. If that does not end soon, the
// connection is closed with the exchange.
func (a *attempt) skipRefusalBody() {
	_ = a.conn.SetDeadline(time.Now().Add(maxRefusalTime))
	_, _ = io.Copy(io.Discard, io.LimitReader(a.exchange, maxRefusalBytes))
}

// forwardRest passes on the rest of a long answer, of which the given bytes are passed on already,
// as it arrives. A client that reads slowly holds up the replica.
func (a *attempt) forwardRest(passed int) error {
	a.stream.headersSent, a.stream.isAnswer = true, true // if it breaks off, it must not look complete
	control := http.NewResponseController(a.w)
	chunk := make([]byte, forwardChunk)
	for {
		n, err := a.exchange.Read(chunk)
		a.limitWriteTime(control)
		if _, writeErr := a.w.Write(chunk[:n]); writeErr != nil {
			return errClientGone
		}
		a.countAnswerBytes(n)
		passed += n
		if err == io.EOF {
			_ = control.SetWriteDeadline(time.Time{})
			return a.checkUnframedEnd()
		}
		if err != nil || passed > maxAnswerBytes {
			return a.abortReasonOr(errStreamBroken)
		}
	}
}

// copyHeaders copies the replica's headers to the client's answer.
func (a *attempt) copyHeaders() {
	h := a.w.Header()
	for name, value := range a.exchange.Header.All() {
		if platform.IsForwardedHeader(string(name)) {
			h.Add(string(name), string(value))
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing a type
	}
}
