package eventstream

import "sync"

const (
	// Bytes of one answer that are held for a client that reads slowly. It exceeds the
	// streams that engines usually send, so that an engine is seldom held up.
	maxHeldPerAnswer = 64 << 10
	// Fraction of the process's memory for all answers that are held.
	heldMemoryShare = 0.05
)

// Held bounds the bytes of all answers that this instance holds, because their clients read slowly or
// as they are not complete. Without a bound, slow clients or faulty replicas would use up its memory.
type Held struct {
	mu    sync.Mutex
	bytes int
	limit int
}

// NewHeld returns the bound for a process with the given memory in bytes.
func NewHeld(memory float64) *Held { return &Held{limit: int(memory * heldMemoryShare)} }

// Reserve counts bytes as held unless that exceeds the limit. Release ends that.
func (h *Held) Reserve(bytes int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.bytes+bytes > h.limit {
		return false
	}
	h.bytes += bytes
	return true
}

// Release ends the counting of bytes.
func (h *Held) Release(bytes int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes -= bytes
}

// Bytes returns the bytes that are held.
func (h *Held) Bytes() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return int64(h.bytes)
}

// Queue holds the events of a stream that have arrived and were not sent to the
// client yet. A replica can thus go on while a client reads slowly, up to the bounds;
// then push waits, and the replica is held up. One event is held in any case.
type Queue struct {
	held *Held

	mu       sync.Mutex
	changed  sync.Cond
	events   []Event
	reserved int   // bytes of the events that are counted as held
	err      error // result of the stream once ended
	ended    bool  // no further event arrives
	closed   bool  // the client has gone
	wasFull  bool  // Push has waited
}

// NewQueue returns an empty queue whose bytes count in held.
func NewQueue(held *Held) *Queue {
	q := &Queue{held: held}
	q.changed.L = &q.mu
	return q
}

// Push adds an event. Before it waits for the client it calls beforeWait. It returns
// false once the queue is closed.
func (q *Queue) Push(e Event, beforeWait func()) bool {
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

func (q *Queue) tryAppend(e Event) bool {
	size := len(e.Bytes)
	switch {
	case len(q.events) == 0: // the only one is not counted
	case q.reserved+size > maxHeldPerAnswer || !q.held.Reserve(size):
		return false
	default:
		q.reserved += size
		e.isReserved = true
	}
	q.events = append(q.events, e)
	q.changed.Signal()
	return true
}

// End marks the end of the stream, with its error if it broke off.
func (q *Queue) End(err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended, q.err = true, err
	q.changed.Signal()
}

// First returns the first event, which stays in the queue, or false with the result of the
// stream after the last one.
func (q *Queue) First() (e Event, ok bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && !q.ended {
		q.changed.Wait()
	}
	if len(q.events) == 0 {
		return Event{}, false, q.err
	}
	return q.events[0], true, nil
}

// RemoveFirst removes the first event, which the client has received.
func (q *Queue) RemoveFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(q.events[0])
	q.events[0] = Event{}
	q.events = q.events[1:]
	q.changed.Signal()
}

// Close drops all events.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, e := range q.events {
		q.release(e)
	}
	q.events = nil
	q.changed.Signal()
}

func (q *Queue) release(e Event) {
	if e.isReserved {
		q.reserved -= len(e.Bytes)
		q.held.Release(len(e.Bytes))
	}
}

// HasWaited reports whether the stream was held up by its client.
func (q *Queue) HasWaited() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.wasFull
}
