package node

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"testing"
)

// Events are forwarded complete and unchanged, and a stream that breaks off is not taken
// for a complete one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2\nda"))
	f.Fuzz(func(t *testing.T, data []byte) {
		events := newEventReader(bytes.NewReader(data))
		var passed []byte
		for {
			e, err := events.next()
			if err != nil {
				rest := data[len(passed):]
				if err == io.EOF && len(rest) > 0 {
					t.Errorf("%q ends as complete before %q", data, rest)
				}
				break
			}
			passed = append(passed, e.bytes...)
			if len(e.bytes) == 0 || !bytes.HasSuffix(e.bytes, []byte("\n")) {
				t.Errorf("event %q", e.bytes)
			}
		}
		if !bytes.HasPrefix(data, passed) {
			t.Errorf("%q is forwarded as %q", data, passed)
		}
	})
}

// A client that reads nothing holds up the replica once the queue is full, however much the
// replica sends, and all slow clients together hold no more than the bound.
func TestSlowReadersHoldBoundedBytes(t *testing.T) {
	const (
		clients   = 40
		eventSize = 1000
		limit     = 10 * maxHeldPerAnswer
	)
	held := &heldAnswers{limit: limit}
	var queues []*eventQueue
	waiting := make(chan struct{}, clients)
	var replicas sync.WaitGroup
	for range clients {
		q := newEventQueue(held)
		queues = append(queues, q)
		replicas.Go(func() {
			for i := range 10 * maxHeldPerAnswer / eventSize {
				e := streamEvent{bytes: make([]byte, eventSize), id: strconv.Itoa(i)}
				if !q.push(e, func() { waiting <- struct{}{} }) {
					return
				}
			}
			q.end(nil)
		})
	}
	for range clients {
		<-waiting
	}
	if held.Bytes() > limit {
		t.Errorf("%d bytes are held, more than %d", held.Bytes(), limit)
	}
	for _, q := range queues {
		if len(q.events)*eventSize > maxHeldPerAnswer+eventSize {
			t.Errorf("%d events are held for one client", len(q.events))
		}
	}
	// The clients that read on get everything in order, also while others don't.
	for _, q := range queues[:clients/2] {
		count := 0
		for {
			e, ok, err := q.first()
			if !ok {
				if err != nil {
					t.Fatal(err)
				}
				break
			}
			if e.id != strconv.Itoa(count) {
				t.Fatalf("event %s after %d others", e.id, count)
			}
			count++
			q.removeFirst()
			for len(waiting) > 0 {
				<-waiting
			}
		}
		if count != 10*maxHeldPerAnswer/eventSize {
			t.Errorf("%d events arrived", count)
		}
	}
	for _, q := range queues {
		q.close()
	}
	replicas.Wait()
	if held.Bytes() != 0 {
		t.Errorf("%d bytes are held after all clients have gone", held.Bytes())
	}
}

// A stream of one endless line ends as broken instead of filling the memory.
func TestEndlessEventIsBroken(t *testing.T) {
	events := newEventReader(io.LimitReader(endlessLine{}, 100*maxEventBytes))
	e, err := events.next()
	if err != errStreamBroken || len(e.bytes) > 2*maxEventBytes {
		t.Errorf("%d bytes are held, %v", len(e.bytes), err)
	}
}

type endlessLine struct{}

func (endlessLine) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}
