package eventstream

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
		events := NewReader(bytes.NewReader(data), &Held{limit: maxEventBytes})
		var passed []byte
		for {
			e, err := events.Next()
			if err != nil {
				rest := data[len(passed):]
				if err == io.EOF && len(rest) > 0 {
					t.Errorf("%q ends as complete before %q", data, rest)
				}
				break
			}
			passed = append(passed, e.Bytes...)
			if len(e.Bytes) == 0 || !bytes.HasSuffix(e.Bytes, []byte("\n")) {
				t.Errorf("event %q", e.Bytes)
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
	held := &Held{limit: limit}
	var queues []*Queue
	waiting := make(chan struct{}, clients)
	var replicas sync.WaitGroup
	for range clients {
		q := NewQueue(held)
		queues = append(queues, q)
		replicas.Go(func() {
			for i := range 10 * maxHeldPerAnswer / eventSize {
				e := Event{Bytes: make([]byte, eventSize), ID: strconv.Itoa(i)}
				if !q.Push(e, func() { waiting <- struct{}{} }) {
					return
				}
			}
			q.End(nil)
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
			e, ok, err := q.First()
			if !ok {
				if err != nil {
					t.Fatal(err)
				}
				break
			}
			if e.ID != strconv.Itoa(count) {
				t.Fatalf("event %s after %d others", e.ID, count)
			}
			count++
			q.RemoveFirst()
			for len(waiting) > 0 {
				<-waiting
			}
		}
		if count != 10*maxHeldPerAnswer/eventSize {
			t.Errorf("%d events arrived", count)
		}
	}
	for _, q := range queues {
		q.Close()
	}
	replicas.Wait()
	if held.Bytes() != 0 {
		t.Errorf("%d bytes are held after all clients have gone", held.Bytes())
	}
}

// A stream of one endless line ends as broken instead of filling the memory.
func TestEndlessEventIsBroken(t *testing.T) {
	events := NewReader(io.LimitReader(endlessLine{}, 100*maxEventBytes), &Held{limit: maxEventBytes})
	e, err := events.Next()
	if err != ErrBroken || len(e.Bytes) > 2*maxEventBytes {
		t.Errorf("%d bytes are held, %v", len(e.Bytes), err)
	}
}

type endlessLine struct{}

func (endlessLine) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	return len(b), nil
}

// Streams whose events stop just below their bound hold no more together than the process bears, however many
// they are; small events are not counted, and nothing is once the streams have ended.
func TestUnfinishedEventsHoldBoundedBytes(t *testing.T) {
	const limit = 4 * maxEventBytes
	for _, streams := range []int{8, 80} {
		held := &Held{limit: limit}
		var readers []*Reader
		read, broken := 0, 0 // bytes, streams
		for range streams {
			source := &countingReader{r: io.LimitReader(endlessLine{}, maxEventBytes-1)}
			r := NewReader(source, held)
			readers = append(readers, r)
			if _, err := r.Next(); err != ErrBroken {
				t.Fatal(err)
			}
			if source.read < maxEventBytes-1 {
				broken++
			}
			read += source.read
		}
		if held.Bytes() > limit || held.Bytes() < limit-maxEventBytes {
			t.Errorf("%d streams: %d bytes are counted", streams, held.Bytes())
		}
		if most := limit + streams*(FreeBytes+4<<10); read > most || broken < streams-limit/maxEventBytes-1 {
			t.Errorf("%d streams: %d bytes were read, more than %d; %d given up", streams, read, most, broken)
		}
		small := NewReader(bytes.NewReader(append(bytes.Repeat([]byte("x"), FreeBytes-2), "\n\n"...)), held)
		if e, err := small.Next(); err != nil || len(e.Bytes) != FreeBytes {
			t.Errorf("%d streams: a small event of %d bytes: %v", streams, len(e.Bytes), err)
		}
		for _, r := range readers {
			r.Close()
		}
		if held.Bytes() != 0 {
			t.Errorf("%d streams: %d bytes are counted after their end", streams, held.Bytes())
		}
	}
}

type countingReader struct {
	r    io.Reader
	read int // bytes
}

func (c *countingReader) Read(b []byte) (int, error) {
	n, err := c.r.Read(b)
	c.read += n
	return n, err
}
