package node

import (
	"net/http"
	"sync"
	"time"

	"quinceroad/platform"
)

const (
	// Bytes of one answer that are held for a client that reads slowly. It exceeds the
	// streams that engines usually send, so that an engine is seldom held up.
	maxHeldPerAnswer = 64 << 10
	// Fraction of the process's memory for all answers that are held.
	heldMemoryShare = 0.05
)

// heldAnswers bounds the bytes of all answers that this instance holds because their
// clients read slowly. Without a bound, slow clients would use up its memory.
type heldAnswers struct {
	mu    sync.Mutex
	bytes int
	limit int
}

func newHeldAnswers(s *platform.Settings) *heldAnswers {
	return &heldAnswers{limit: int(s.MemoryMB * heldMemoryShare * bytesPerMB)}
}

// reserve counts bytes as held unless that exceeds the limit.
func (h *heldAnswers) reserve(bytes int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes+bytes > h.limit {
		return false
	}
	h.bytes += bytes
	return true
}

func (h *heldAnswers) release(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes -= bytes
}

// Bytes returns the bytes that are held.
func (h *heldAnswers) Bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(h.bytes)
}

// eventQueue holds the events of a stream that have arrived and were not sent to the
// client yet. A replica can thus go on while a client reads slowly, up to the bounds;
// then push waits, and the replica is held up. One event is held in any case.
type eventQueue struct {
	held *heldAnswers

	mu       sync.Mutex
	changed  sync.Cond
	events   []streamEvent
	reserved int   // bytes of the events that are counted as held
	err      error // result of the stream once ended
	ended    bool  // no further event arrives
	closed   bool  // the client has gone
	wasFull  bool  // push has waited
}

func newEventQueue(held *heldAnswers) *eventQueue {
	q := &eventQueue{held: held}
	q.changed.L = &q.mu
	return q
}

// push adds an event. Before it waits for the client it calls beforeWait. It returns
// false once the queue is closed.
func (q *eventQueue) push(e streamEvent, beforeWait func()) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for waiting := false; !q.closed && !q.tryAppend(e); waiting = true {
		if !waiting {
			q.wasFull = true
			beforeWait()
		}
		q.changed.Wait()
	}
	return !q.closed
}

func (q *eventQueue) tryAppend(e streamEvent) bool {
	size := len(e.bytes)
	switch {
	case len(q.events) == 0: // the only one is not counted
	case q.reserved+size > maxHeldPerAnswer || !q.held.reserve(size):
		return false
	default:
		q.reserved += size
		e.isReserved = true
	}
	q.events = append(q.events, e)
	q.changed.Signal()
	return true
}

// end marks the end of the stream, with its error if it broke off.
func (q *eventQueue) end(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended, q.err = true, err
	q.changed.Signal()
}

// first returns the first event, which stays in the queue, or false with the result of the
// stream after the last one.
func (q *eventQueue) first() (e streamEvent, ok bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && !q.ended {
		q.changed.Wait()
	}
	if len(q.events) == 0 {
		return streamEvent{}, false, q.err
	}
	return q.events[0], true, nil
}

// removeFirst removes the first event, which the client has received.
func (q *eventQueue) removeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(q.events[0])
	q.events[0] = streamEvent{}
	q.events = q.events[1:]
	q.changed.Signal()
}

// close drops all events.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, e := range q.events {
		q.release(e)
	}
	q.events = nil
	q.changed.Signal()
}

func (q *eventQueue) release(e streamEvent) {
	if e.isReserved {
		q.reserved -= len(e.bytes)
		q.held.release(len(e.bytes))
	}
}

// hasWaited reports whether the stream was held up by its client.
func (q *eventQueue) hasWaited() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.wasFull
}

// limitWriteTime sets until when the client may take to read what is written next: a client
// that reads slowly is served for as long as its request may take.
func (s *requestHandler) limitWriteTime(control *http.ResponseController) {
	_ = control.SetWriteDeadline(time.Now().Add(max(s.deadline-s.node.now(), clientWriteTimeout)))
}
